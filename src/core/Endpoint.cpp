#include "core/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace banyanlock
{

std::optional<Endpoint> Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    in_addr number{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &number) != 1) {
        return std::nullopt;
    }
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace banyanlock
