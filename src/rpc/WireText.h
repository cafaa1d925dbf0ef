#pragma once

#include <capnp/blob.h>
#include <string>

namespace banyanlock
{

// Texts may hold any byte, also zero. Neither Cap'n Proto's conversion from std::string nor cStr() reads beyond a zero byte.

/// Prepares a text for a message.
/// @param text The text, which must outlive the reader.
/// @return A reader of all its bytes.
inline capnp::Text::Reader readerOf(const std::string &text)
{
    return {text.c_str(), text.size()};
}

/// Copies a received text.
/// @param text The received text.
/// @return All its bytes.
inline std::string textOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

} // namespace banyanlock
