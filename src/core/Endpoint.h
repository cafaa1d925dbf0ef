#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace banyanlock
{

/// An IP number with a port.
struct Endpoint {
    std::string address; ///< IP number as text.
    std::uint16_t port = 0; ///< TCP port.

    /// Parses `127.0.0.1:8080`.
    /// @param text Text to parse.
    /// @return The endpoint, or nothing if the text is no IP number with a port.
    static std::optional<Endpoint> parse(const std::string &text);

    /// @return The endpoint as `address:port`.
    std::string toString() const
    {
        return address + ":" + std::to_string(port);
    }
};

} // namespace banyanlock
