#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace banyanlock
{

/// Finds the announced length of a request's body in bytes that arrive in parts of any size.
///
/// Only an estimate for the memory budget, since RESTinio reserves room for the announced length: a field with this name that is found in
/// the wrong place raises the charge of its connection and has no other effect.
class AnnouncedLength
{
public:
    /// Reads a part of the request.
    /// @param bytes The part.
    void feed(std::string_view bytes)
    {
        for (const char byte : bytes) {
            feed(byte);
        }
    }

    /// @return The largest length found, in bytes; zero if none was found.
    std::uint64_t value() const
    {
        return m_value;
    }

private:
    static constexpr std::string_view name = "\ncontent-length:";
    static constexpr std::uint64_t maxValue = std::uint64_t{1} << 40; // bounds the number while digits are added

    void feed(char byte)
    {
        if (m_matched == name.size()) {
            if (byte >= '0' && byte <= '9') {
                m_number = m_number < maxValue ? m_number * 10 + static_cast<std::uint64_t>(byte - '0') : m_number;
                m_value = m_number > m_value ? m_number : m_value;
                return;
            }
            if (byte == ' ' || byte == '\t') {
                return;
            }
            m_matched = 0;
        }
        const char lower = byte >= 'A' && byte <= 'Z' ? static_cast<char>(byte - 'A' + 'a') : byte;
        if (lower == name[m_matched]) {
            ++m_matched;
        } else {
            m_matched = lower == name[0] ? 1 : 0;
        }
        m_number = 0;
    }

    std::size_t m_matched = 0; // characters of `name`
    std::uint64_t m_number = 0;
    std::uint64_t m_value = 0;
};

} // namespace banyanlock
