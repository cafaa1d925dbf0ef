#include "pool/OwnerRow.h"

#include <nlohmann/json.hpp>

namespace banyanlock
{

std::string encodeOwnerRow(const OwnerRow &row)
{
    return nlohmann::json{{"owner", row.owner},
                          {"incarnation", row.incarnation},
                          {"epoch", row.epoch},
                          {"settled", row.earlierOwnersExpired},
                          {"renewal_ms", row.renewalMilliseconds},
                          {"beat", row.writeNumber}}
        .dump();
}

std::optional<OwnerRow> decodeOwnerRow(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        return OwnerRow{json.at("owner").get<std::string>(),       json.at("incarnation").get<std::uint64_t>(),
                        json.at("epoch").get<std::uint64_t>(),     json.at("settled").get<bool>(),
                        json.value("renewal_ms", std::int64_t{0}), json.at("beat").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace banyanlock
