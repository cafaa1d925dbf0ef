#include "pool/OwnerRow.h"

#include "core/InputLimits.h"
#include "core/JsonInput.h"

namespace banyanlock
{
namespace
{

constexpr std::int64_t maxRenewalMilliseconds = 60'000; // fifty times the longest interval; others would wait for it before a takeover
constexpr std::int64_t maxLagMilliseconds = 60'000; // an owner that is further behind has lost the pool

} // namespace

std::string encodeOwnerRow(const OwnerRow &row)
{
    return nlohmann::json{{"owner", row.owner},
                          {"incarnation", row.incarnation},
                          {"epoch", row.epoch},
                          {"settled", row.earlierOwnersExpired},
                          {"renewal_ms", row.renewalMilliseconds},
                          {"beat", row.writeNumber},
                          {"processors", row.processors},
                          {"lag_ms", row.lagMilliseconds},
                          {"successor", row.successor}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<OwnerRow> decodeOwnerRow(const std::string &text, std::uint64_t version)
{
    try {
        const nlohmann::json json = parseJson(text);
        OwnerRow row;
        row.owner = json.at("owner").get<std::string>();
        row.incarnation = readWhole<std::uint64_t>(json.at("incarnation"), "incarnation");
        row.epoch = readWhole<std::uint64_t>(json.at("epoch"), "epoch", 0, version);
        row.earlierOwnersExpired = json.at("settled").get<bool>();
        row.renewalMilliseconds = readMeasure(json, "renewal_ms", 0, 0, maxRenewalMilliseconds);
        row.writeNumber = readWhole<std::uint64_t>(json.at("beat"), "beat");
        row.processors = readMeasure(json, "processors", 0, 0, InputLimits::resource); // earlier versions do not write it
        row.lagMilliseconds = readMeasure(json, "lag_ms", 0, 0, maxLagMilliseconds);
        if (const auto successor = json.find("successor"); successor != json.end()) {
            row.successor = successor->get<std::string>();
        }
        return row;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace banyanlock
