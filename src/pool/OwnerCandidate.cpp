#include "pool/OwnerCandidate.h"

#include "core/InputLimits.h"
#include "core/JsonInput.h"

#include <algorithm>
#include <functional>

namespace banyanlock
{

std::string encodeOwnerCandidate(const OwnerCandidate &candidate)
{
    return nlohmann::json{
        {"name", candidate.name}, {"incarnation", candidate.incarnation}, {"epoch", candidate.epoch}, {"processors", candidate.processors}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<OwnerCandidate> decodeOwnerCandidate(const std::string &text)
{
    try {
        const nlohmann::json json = parseJson(text);
        OwnerCandidate candidate;
        candidate.name = json.at("name").get<std::string>();
        candidate.incarnation = readWhole<std::uint64_t>(json.at("incarnation"), "incarnation");
        candidate.epoch = readWhole<std::uint64_t>(json.at("epoch"), "epoch");
        candidate.processors = readWhole<std::int64_t>(json.at("processors"), "processors", 0, InputLimits::resource);
        return candidate;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

bool isClearlyStronger(std::int64_t processors, std::int64_t other)
{
    constexpr std::int64_t factor = 2;
    return processors > 0 && processors >= factor * other;
}

Duration attemptDelay(const EntryIdentity &entry, const OwnerRow &row, const AttemptDelays &delays)
{
    if (!row.successor.empty() && row.successor == entry.name) {
        return Duration::zero();
    }
    // An offset derived from the name differs between entries and stays the same for each.
    Duration delay = delays.slot * static_cast<std::int64_t>(std::hash<std::string>()(entry.name) % delays.slots);
    if (!row.successor.empty()) {
        delay += delays.successor;
    }
    if (row.epoch == 0) {
        constexpr std::int64_t core = 1000;
        delay += delays.firstStart * (core - std::min(entry.processors, core)) / core;
    } else if (isClearlyStronger(row.processors, entry.processors)) {
        delay += delays.weaker;
    }
    return delay;
}

} // namespace banyanlock
