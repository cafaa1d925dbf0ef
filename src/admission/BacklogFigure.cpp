#include "admission/BacklogFigure.h"

#include "core/InputLimits.h"
#include "core/JsonInput.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr std::int64_t maxRate = InputLimits::resource * 1000; // 10^9 accelerators, in thousandths
constexpr std::int64_t maxWork
    = maxRate * 1000; // a thousand seconds of the largest pool; with all figures at their limits the text has 700 bytes

Json workToJson(const BacklogWork &work, std::int64_t limit)
{
    return Json::array({std::clamp<std::int64_t>(work.processors, 0, limit), std::clamp<std::int64_t>(work.accelerators, 0, limit)});
}

BacklogWork workFromJson(const Json &json, const char *name, std::int64_t limit)
{
    if (!json.is_array() || json.size() != 2) {
        refuseJson(name, "must be a list of two numbers");
    }
    return {readWhole<std::int64_t>(json[0], name, 0, limit), readWhole<std::int64_t>(json[1], name, 0, limit)};
}

} // namespace

std::string encodeBacklog(const BacklogFigure &figure)
{
    Json priorities = Json::array();
    const std::size_t count = std::min(figure.priorities.size(), maxBacklogPriorities);
    for (std::size_t priority = 0; priority < count; ++priority) {
        const PriorityBacklog &backlog = figure.priorities[priority];
        priorities.push_back(Json::array({workToJson(backlog.waiting, maxWork), workToJson(backlog.drained, maxRate)}));
    }
    return Json{{"epoch", figure.epoch},
                {"owned_ms", std::clamp<std::int64_t>(figure.ownedMilliseconds, 0, InputLimits::spanMilliseconds)},
                {"capacity", workToJson(figure.capacity, maxRate)},
                {"priorities", std::move(priorities)}}
        .dump();
}

std::optional<BacklogFigure> decodeBacklog(const std::string &text)
{
    if (text.size() > maxBacklogBytes) {
        return std::nullopt;
    }
    try {
        const Json json = parseJson(text);
        BacklogFigure figure;
        figure.epoch = readWhole<std::uint64_t>(json.at("epoch"), "epoch");
        figure.ownedMilliseconds = readWhole<std::int64_t>(json.at("owned_ms"), "owned_ms", 0, InputLimits::spanMilliseconds);
        figure.capacity = workFromJson(json.at("capacity"), "capacity", maxRate);
        const Json &priorities = json.at("priorities");
        if (!priorities.is_array() || priorities.size() > maxBacklogPriorities) {
            refuseJson("priorities", "must be a list of at most " + std::to_string(maxBacklogPriorities) + " entries");
        }
        for (const Json &entry : priorities) {
            figure.priorities.push_back({workFromJson(entry.at(0), "waiting", maxWork), workFromJson(entry.at(1), "drained", maxRate)});
        }
        return figure;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace banyanlock
