#include "core/InputLimits.h"
#include "core/JsonInput.h"
#include "interference/InterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr double thousandths = 1000.0;
constexpr double maxLogSlowdown = 5.0; // the logarithm of 148: more than any run shows
constexpr double maxDeviation = 10.0;
constexpr double maxVariance = 1.0; // residuals are clipped below one
constexpr double maxRuns = 1e6; // decay keeps a pair below 4,000
constexpr double trustedPart = 0.5; // of an earlier owner's evidence, since programs change between two owners

std::int64_t inThousandths(double value)
{
    return std::llround(value * thousandths);
}

std::string textOf(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json kindToJson(const TaskKind &kind, double variance)
{
    return {kind.queue, kind.demand.processors, kind.demand.memory, kind.demand.accelerators, kind.gang, inThousandths(variance)};
}

TaskKind kindFromJson(const Json &json)
{
    TaskKind kind;
    kind.queue = json.at(0).get<std::string>();
    if (kind.queue.size() > InputLimits::nameBytes) {
        refuseJson("queue", "is too long");
    }
    kind.demand.processors = readWhole<std::int64_t>(json.at(1), "processors", 0, InputLimits::resource);
    kind.demand.memory = readWhole<std::int64_t>(json.at(2), "memory", 0, InputLimits::resource);
    kind.demand.accelerators = readWhole<std::int64_t>(json.at(3), "accelerators", 0, InputLimits::resource);
    kind.gang = json.at(4).get<bool>();
    return kind;
}

} // namespace

std::string InterferenceModel::encode() const
{
    std::vector<HarmfulPair> pairs;
    for (const auto &[kind, regression] : m_regressions) {
        for (const std::uint32_t neighbour : regression.neighbours()) {
            const PairEstimate known = regression.estimate(neighbour);
            const bool inRange = std::abs(known.logSlowdown) <= maxLogSlowdown && known.deviation <= maxDeviation;
            if (known.runs >= 1.0 && inThousandths(known.deviation) > 0 && inRange && findKind(neighbour) != nullptr) {
                pairs.push_back({kind, neighbour, known});
            }
        }
    }
    std::ranges::sort(pairs, {}, [this](const HarmfulPair &pair) {
        return std::tuple(!isHarmful(pair.kind, pair.neighbour), -pair.estimate.runs, pair.kind, pair.neighbour);
    });
    Json kinds = Json::array();
    Json rows = Json::array();
    std::map<std::uint32_t, std::size_t> positions;
    const auto kindJson = [this](std::uint32_t kind) {
        const auto regression = m_regressions.find(kind);
        return kindToJson(*findKind(kind), regression == m_regressions.end() ? 0.0 : regression->second.residualVariance());
    };
    std::size_t bytes = textOf({{"kinds", kinds}, {"pairs", rows}}).size();
    for (const HarmfulPair &pair : pairs) {
        std::size_t added = 0;
        std::vector<std::uint32_t> missing;
        for (const std::uint32_t kind : {pair.kind, pair.neighbour}) {
            if (!positions.contains(kind) && std::ranges::find(missing, kind) == missing.end()) {
                missing.push_back(kind);
                added += textOf(kindJson(kind)).size() + 1;
            }
        }
        const auto positionOf = [&](std::uint32_t kind) {
            const auto known = positions.find(kind);
            return known != positions.end() ? known->second
                                            : kinds.size() + static_cast<std::size_t>(std::ranges::find(missing, kind) - missing.begin());
        };
        const Json row = {positionOf(pair.kind), positionOf(pair.neighbour), inThousandths(pair.estimate.logSlowdown),
                          inThousandths(pair.estimate.deviation), std::llround(pair.estimate.runs)};
        added += textOf(row).size() + 1;
        if (bytes + added > maxRecordBytes) {
            continue;
        }
        bytes += added;
        for (const std::uint32_t kind : missing) {
            positions.emplace(kind, kinds.size());
            kinds.push_back(kindJson(kind));
        }
        rows.push_back(row);
    }
    return textOf({{"kinds", kinds}, {"pairs", rows}});
}

InterferenceModel InterferenceModel::decode(const std::string &text)
{
    if (text.size() > maxRecordBytes) {
        return {};
    }
    try {
        const Json json = parseJson(text);
        InterferenceModel model;
        std::vector<std::uint32_t> numbers;
        const Json &kinds = json.at("kinds");
        const Json &pairs = json.at("pairs");
        if (!kinds.is_array() || kinds.empty() || kinds.size() > KindTable::maxKinds || !pairs.is_array()) {
            return {};
        }
        for (const Json &kind : kinds) {
            numbers.push_back(model.kindOf(kindFromJson(kind)));
            const auto variance = readWhole<std::int64_t>(kind.at(5), "variance", 0, inThousandths(maxVariance));
            if (variance > 0) {
                model.m_regressions[numbers.back()].restoreVariance(static_cast<double>(variance) / thousandths);
            }
        }
        for (const Json &row : pairs) {
            const auto kind = numbers.at(readWhole<std::size_t>(row.at(0), "kind", 0, numbers.size() - 1));
            const auto neighbour = numbers.at(readWhole<std::size_t>(row.at(1), "neighbour", 0, numbers.size() - 1));
            PairEstimate known;
            const auto maxLog = inThousandths(maxLogSlowdown);
            known.logSlowdown = static_cast<double>(readWhole<std::int64_t>(row.at(2), "slowdown", -maxLog, maxLog)) / thousandths;
            known.deviation
                = static_cast<double>(readWhole<std::int64_t>(row.at(3), "deviation", 1, inThousandths(maxDeviation))) / thousandths;
            known.runs = static_cast<double>(readWhole<std::int64_t>(row.at(4), "runs", 0, static_cast<std::int64_t>(maxRuns)));
            known.deviation /= std::sqrt(trustedPart);
            model.m_regressions[kind].restore(neighbour, known);
        }
        return model;
    } catch (const Json::exception &) {
        return {};
    }
}

} // namespace banyanlock
