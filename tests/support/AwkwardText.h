#pragma once

#include <string>
#include <string_view>

namespace banyanlock
{

using namespace std::string_view_literals;

/// A text that every JSON string may hold, and that is cut or changed wherever it is read as a C string, pasted into a document without
/// escapes, or taken for ASCII: U+0000, quotes, control characters, characters of two to four bytes.
inline constexpr std::string_view awkwardText = "\0 \"\\/\r\n\t\x01\x1f\x7f \xc3\xa9 \xe2\x80\xa8 \xef\xbf\xbf \xf0\x9f\x9a\x80 \0"sv;

/// @param begin Begin of the text.
/// @return The text followed by `awkwardText`.
inline std::string withAwkwardText(const std::string &begin)
{
    return begin + std::string(awkwardText);
}

} // namespace banyanlock
