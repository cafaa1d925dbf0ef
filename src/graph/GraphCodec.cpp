#include "graph/GraphCodec.h"

#include "core/Endpoint.h"
#include "core/InputLimits.h"
#include "core/JsonInput.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <system_error>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxSteps = 64;
constexpr std::size_t maxPayloadBytes = 4000;
constexpr std::uint32_t maxOccurrences = 10000;

// Above the number of entries of a transaction, so above what can be written at once.
constexpr std::uint32_t maxContinuations = 100;

// The encoder writes the keys in alphabetical order, so the units come last.
constexpr std::string_view unitsKey = ",\"units\":";

constexpr std::array<const char *, 5> stateNames{"queued", "running", "completed", "failed", "cancelled"};

Json stepToJson(const StepSpec &step)
{
    Json json{
        {"n", step.tasks}, {"d", {step.demand.processors, step.demand.memory, step.demand.accelerators}}, {"e", step.estimate.count()}};
    if (!step.after.empty()) {
        json["a"] = step.after;
    }
    const std::uint32_t flags = (step.gang ? 1U : 0U) | (step.preferOneRack ? 2U : 0U) | (step.checkpoints ? 4U : 0U)
        | (step.speculative ? 8U : 0U) | (step.longRunning ? 16U : 0U);
    if (flags != 0) {
        json["f"] = flags;
    }
    if (!step.requiredLabel.empty()) {
        json["l"] = step.requiredLabel;
    }
    if (!step.homeRack.empty()) {
        json["h"] = step.homeRack;
    }
    if (step.spreadLimit != 0) {
        json["s"] = step.spreadLimit;
    }
    return json;
}

StepSpec stepFromJson(const Json &json)
{
    StepSpec step;
    step.tasks = readWhole<std::uint32_t>(json.at("n"), "n");
    const Json &demand = json.at("d");
    step.demand = {readWhole<std::int64_t>(demand.at(0), "d"), readWhole<std::int64_t>(demand.at(1), "d"),
                   readWhole<std::int64_t>(demand.at(2), "d")};
    step.estimate = Duration(readWhole<std::int64_t>(json.at("e"), "e"));
    if (const auto after = json.find("a"); after != json.end()) {
        step.after = readWholeList<std::uint32_t>(*after, "a");
    }
    const auto flags = json.contains("f") ? readWhole<std::uint32_t>(json["f"], "f") : 0;
    step.gang = (flags & 1U) != 0;
    step.preferOneRack = (flags & 2U) != 0;
    step.checkpoints = (flags & 4U) != 0;
    step.speculative = (flags & 8U) != 0;
    step.longRunning = (flags & 16U) != 0;
    step.requiredLabel = json.value("l", "");
    step.homeRack = json.value("h", "");
    step.spreadLimit = json.contains("s") ? readWhole<std::uint32_t>(json["s"], "s") : 0;
    return step;
}

QueueTerms termsFromJson(const Json &json)
{
    QueueTerms terms;
    terms.queue = json.at("queue").get<std::string>();
    terms.workspace = json.at("workspace").get<std::string>();
    terms.service = json.at("service").get<std::string>();
    terms.priority = readWhole<std::uint32_t>(json.at("priority"), "priority");
    terms.attemptLimit = readWhole<std::uint32_t>(json.at("attempts"), "attempts");
    terms.slackFactor = readReal(json.at("slack"), "slack", 0.0, InputLimits::slackFactor);
    terms.targetLatency = Duration(readWhole<std::int64_t>(json.at("target"), "target", 0, InputLimits::span.count()));
    return terms;
}

Json unitToJson(const UnitKey &key, const UnitProgress &unit)
{
    Json places = Json::array();
    for (const TaskPlace &place : unit.places) {
        places.push_back({place.incarnation.worker, place.incarnation.startedUnixMilliseconds, place.agent});
    }
    return {key.occurrence, key.step, key.index, unit.succeeded, unit.failures, unit.run, unit.checkpoint, places};
}

void addUnit(const Json &json, GraphProgress &progress)
{
    const auto numberAt = [&](std::size_t index) {
        return readWhole<std::uint32_t>(json.at(index), "unit");
    };
    const UnitKey key{numberAt(0), numberAt(1), numberAt(2)};
    UnitProgress &unit = progress.units[key];
    unit.succeeded = json.at(3).get<bool>();
    unit.failures = numberAt(4);
    unit.run = numberAt(5);
    unit.checkpoint = json.at(6).get<std::string>();
    for (const Json &place : json.at(7)) {
        const std::string agent = place.at(2).get<std::string>();
        if (!Endpoint::parse(agent)) {
            refuseJson("agent", "must be an IPv4 address with a port");
        }
        unit.places.push_back({{place.at(0).get<std::string>(), readWhole<std::int64_t>(place.at(1), "place")}, agent});
    }
}

bool isDemand(std::int64_t amount)
{
    return amount >= 0 && amount <= InputLimits::resource;
}

std::string checkStep(const StepSpec &step, std::size_t index)
{
    const std::string name = "step " + std::to_string(index) + ": ";
    if (step.tasks == 0 || step.tasks > maxTasksOfJob) {
        return name + "number of tasks must be 1 to " + std::to_string(maxTasksOfJob);
    }
    if (!isDemand(step.demand.processors) || !isDemand(step.demand.memory) || !isDemand(step.demand.accelerators)) {
        return name + "resource demand of a task must be 0 to " + std::to_string(InputLimits::resource);
    }
    if (step.estimate < Duration::zero() || step.estimate > InputLimits::span) {
        return name + "estimate must be 0 to " + std::to_string(InputLimits::spanMilliseconds) + " ms";
    }
    for (const std::uint32_t earlier : step.after) {
        if (earlier >= index) {
            return name + "depends on step " + std::to_string(earlier) + ", which does not precede it";
        }
    }
    return {};
}

} // namespace

const char *graphStateName(GraphState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::string encodeGraphSpec(const GraphRecord &record)
{
    Json steps = Json::array();
    for (const StepSpec &step : record.spec.steps) {
        steps.push_back(stepToJson(step));
    }
    const QueueTerms &terms = record.terms;
    Json json{{"payload", record.spec.payload},
              {"steps", steps},
              {"queue", terms.queue},
              {"workspace", terms.workspace},
              {"service", terms.service},
              {"priority", terms.priority},
              {"attempts", terms.attemptLimit},
              {"slack", terms.slackFactor},
              {"target", terms.targetLatency.count()},
              {"accepted", record.acceptedUnixMilliseconds}};
    const Repetition &repetition = record.spec.repetition;
    if (repetition.count != 0) {
        json["repeat"] = {repetition.count, repetition.firstUnixMilliseconds, repetition.intervalMilliseconds};
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool decodeGraphSpec(const std::string &text, GraphRecord &record)
{
    try {
        const Json json = parseJson(text);
        GraphSpec spec;
        spec.payload = json.at("payload").get<std::string>();
        for (const Json &step : json.at("steps")) {
            spec.steps.push_back(stepFromJson(step));
        }
        if (const auto repeat = json.find("repeat"); repeat != json.end()) {
            spec.repetition = {readWhole<std::uint32_t>(repeat->at(0), "repeat"), readWhole<std::int64_t>(repeat->at(1), "repeat"),
                               readWhole<std::int64_t>(repeat->at(2), "repeat")};
        }
        if (!checkGraphSpec(spec).empty()) {
            return false;
        }
        record.terms = termsFromJson(json);
        record.acceptedUnixMilliseconds = readWhole<std::int64_t>(json.at("accepted"), "accepted", 0, InputLimits::unixMilliseconds);
        record.spec = std::move(spec);
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

std::string encodeGraphProgress(const GraphProgress &progress)
{
    Json units = Json::array();
    for (const auto &[key, unit] : progress.units) {
        units.push_back(unitToJson(key, unit));
    }
    return Json{{"state", graphStateName(progress.state)}, {"finished", progress.finishedOccurrences}, {"units", units}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

std::optional<GraphProgress> decodeGraphProgress(const std::string &text)
{
    try {
        const Json json = parseJson(text);
        GraphProgress progress;
        const auto state = std::find(stateNames.begin(), stateNames.end(), json.at("state").get<std::string>());
        if (state == stateNames.end()) {
            return std::nullopt;
        }
        progress.state = static_cast<GraphState>(state - stateNames.begin());
        progress.finishedOccurrences = readWhole<std::uint32_t>(json.at("finished"), "finished");
        for (const Json &unit : json.at("units")) {
            addUnit(unit, progress);
        }
        return progress;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::size_t ProgressRows::bytes() const
{
    std::size_t total = head.size();
    for (const std::string &text : continuations) {
        total += text.size();
    }
    return total;
}

ProgressRows encodeProgressRows(const GraphProgress &progress, std::size_t maxRowBytes)
{
    ProgressRows rows;
    rows.head = encodeGraphProgress(progress);
    if (rows.head.size() <= maxRowBytes) {
        return rows;
    }
    const std::size_t begin = rows.head.find(unitsKey) + unitsKey.size();
    const std::string units = rows.head.substr(begin, rows.head.size() - begin - 1); // without the closing brace
    for (std::size_t offset = 0; offset < units.size(); offset += maxRowBytes) {
        rows.continuations.push_back(units.substr(offset, maxRowBytes));
    }
    rows.head = rows.head.substr(0, begin) + std::to_string(rows.continuations.size()) + "}";
    return rows;
}

std::string joinProgressRows(const std::string &head, const std::vector<std::string> &continuations)
{
    std::string text = head.substr(0, head.find(unitsKey)) + std::string(unitsKey);
    for (const std::string &continuation : continuations) {
        text += continuation;
    }
    return text + "}";
}

std::uint32_t continuationCountOf(const std::string &head)
{
    const std::size_t units = head.find(unitsKey);
    if (units == std::string::npos) {
        return 0;
    }
    std::uint32_t count = 0;
    const char *const begin = head.data() + units + unitsKey.size();
    const auto [end, error] = std::from_chars(begin, head.data() + head.size(), count);
    return error == std::errc() && count <= maxContinuations ? count : 0;
}

std::optional<GraphProgress> decodeGraphProgressHead(const std::string &text)
{
    const std::size_t units = text.find(unitsKey);
    std::optional<GraphProgress> head
        = decodeGraphProgress(units == std::string::npos ? text : text.substr(0, units) + std::string(unitsKey) + "[]}");
    if (head) {
        head->units.clear();
    }
    return head;
}

std::string checkGraphSpec(const GraphSpec &spec)
{
    if (spec.payload.size() > maxPayloadBytes) {
        return "payload has more than " + std::to_string(maxPayloadBytes) + " bytes";
    }
    if (spec.steps.empty() || spec.steps.size() > maxSteps) {
        return "number of steps must be 1 to " + std::to_string(maxSteps);
    }
    if (spec.repetition.count > maxOccurrences || (spec.repetition.count > 1 && spec.repetition.intervalMilliseconds <= 0)) {
        return "repetition needs a positive interval and at most " + std::to_string(maxOccurrences) + " occurrences";
    }
    const std::int64_t first = spec.repetition.firstUnixMilliseconds;
    const std::int64_t interval = spec.repetition.intervalMilliseconds;
    if (first < 0 || first > InputLimits::unixMilliseconds || interval < 0 || interval > InputLimits::spanMilliseconds) {
        return "repetition needs a first time from 1970 to 2100 and an interval of at most ten years";
    }
    std::uint32_t total = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        if (std::string reason = checkStep(spec.steps[index], index); !reason.empty()) {
            return reason;
        }
        total += spec.steps[index].tasks;
    }
    return total > maxTasksOfJob ? "more than " + std::to_string(maxTasksOfJob) + " tasks" : "";
}

bool matches(const GraphProgress &progress, const GraphSpec &spec)
{
    const std::uint32_t occurrences = occurrencesOf(spec);
    return progress.finishedOccurrences <= occurrences && std::ranges::all_of(progress.units, [&](const auto &entry) {
               const auto &[key, unit] = entry;
               if (key.occurrence >= occurrences || key.step >= spec.steps.size()) {
                   return false;
               }
               const StepSpec &step = spec.steps[key.step];
               return key.index < unitsOf(step) && (unit.places.empty() || unit.places.size() == membersOf(step));
           });
}

} // namespace banyanlock
