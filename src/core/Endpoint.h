#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace banyanlock
{

/// An IPv4 address with a TCP port.
struct Endpoint {
    std::string address; ///< IPv4 address in dotted-decimal form.
    std::uint16_t port = 0; ///< TCP port.

    /// Parses an endpoint such as `127.0.0.1:8080`.
    /// @param text Text to parse.
    /// @return The endpoint, or an empty value if the text is not an IPv4 address with a port from 1 to 65535.
    static std::optional<Endpoint> parse(const std::string &text);

    /// @return The endpoint as `address:port`.
    std::string toString() const
    {
        return address + ":" + std::to_string(port);
    }
};

} // namespace banyanlock
