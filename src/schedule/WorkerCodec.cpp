#include "schedule/WorkerCodec.h"

#include "core/JsonInput.h"

#include <array>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr std::array<const char *, 5> commandNames{"prepare", "commit", "checkpoint", "stop", "forget"};
constexpr std::array<const char *, 6> taskStateNames{"prepared", "running", "succeeded", "failed", "checkpointed", "stopped"};

template <typename Value, std::size_t Size> Value valueFromName(const std::array<const char *, Size> &names, const std::string &name)
{
    std::size_t index = 0;
    while (index + 1 < Size && name != names[index]) {
        ++index;
    }
    return static_cast<Value>(index);
}

Json writeKey(const TaskKey &key)
{
    return {{"job", key.job}, {"run", key.run}, {"index", key.index}};
}

TaskKey readKey(const Json &json)
{
    TaskKey key;
    key.job = json.at("job");
    readField(json, "run", key.run);
    readField(json, "index", key.index);
    return key;
}

std::int64_t microsecondsOf(TimePoint point)
{
    return point.time_since_epoch().count();
}

Duration readMicroseconds(const Json &json)
{
    constexpr std::int64_t limit = 1LL << 53U; // 285 years; sums of two fit
    return Duration(readWhole<std::int64_t>(json, "time", -limit, limit));
}

TimePoint readTimePoint(const Json &json)
{
    return TimePoint(readMicroseconds(json));
}

template <typename Value, typename Read> Result<Value> decodeWith(const std::string &text, Read read)
{
    try {
        return read(parseJson(text));
    } catch (const Json::exception &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    }
}

TaskCommand readCommand(const Json &json)
{
    TaskCommand command;
    command.kind = valueFromName<TaskCommandKind>(commandNames, json.at("kind"));
    command.task = readKey(json.at("task"));
    readField(json, "accelerators", command.accelerators);
    readField(json, "processors", command.processors);
    readField(json, "memory_megabytes", command.memoryMegabytes);
    readField(json, "duration_hint_milliseconds", command.durationHintMilliseconds);
    command.fromCheckpoint = json.at("from_checkpoint");
    return command;
}

Json writeCommand(const TaskCommand &command)
{
    return {{"kind", commandNames[static_cast<std::size_t>(command.kind)]},
            {"task", writeKey(command.task)},
            {"accelerators", command.accelerators},
            {"processors", command.processors},
            {"memory_megabytes", command.memoryMegabytes},
            {"duration_hint_milliseconds", command.durationHintMilliseconds},
            {"from_checkpoint", command.fromCheckpoint}};
}

} // namespace

std::string encodeWorkerMessage(const WorkerMessage &message)
{
    Json commands = Json::array();
    for (const TaskCommand &command : message.commands) {
        commands.push_back(writeCommand(command));
    }
    return Json{{"cell", message.cell},
                {"epoch", message.epoch},
                {"boot", message.boot},
                {"valid_until_microseconds", microsecondsOf(message.validUntil)},
                {"lease_microseconds", message.lease.count()},
                {"known_tasks", message.knownTasks},
                {"commands", commands}}
        .dump();
}

Result<WorkerMessage> decodeWorkerMessage(const std::string &text)
{
    return decodeWith<WorkerMessage>(text, [](const Json &json) {
        WorkerMessage message;
        message.cell = json.at("cell");
        readField(json, "epoch", message.epoch);
        readField(json, "boot", message.boot);
        message.validUntil = readTimePoint(json.at("valid_until_microseconds"));
        message.lease = readMicroseconds(json.at("lease_microseconds"));
        readField(json, "known_tasks", message.knownTasks);
        for (const Json &command : json.at("commands")) {
            message.commands.push_back(readCommand(command));
        }
        return message;
    });
}

std::string encodeWorkerReport(const WorkerReport &report)
{
    Json tasks = Json::array();
    for (const TaskReport &task : report.tasks) {
        tasks.push_back({{"task", writeKey(task.task)},
                         {"state", taskStateNames[static_cast<std::size_t>(task.state)]},
                         {"accelerators", task.accelerators}});
    }
    Json json = {{"boot", report.boot},
                 {"clock_microseconds", microsecondsOf(report.clock)},
                 {"highest_epoch", report.highestEpoch},
                 {"accepted", report.accepted},
                 {"tasks_number", report.tasksNumber}};
    if (!report.tasksOmitted) {
        json["tasks"] = std::move(tasks);
    }
    return json.dump();
}

Result<WorkerReport> decodeWorkerReport(const std::string &text)
{
    return decodeWith<WorkerReport>(text, [](const Json &json) {
        WorkerReport report;
        readField(json, "boot", report.boot);
        report.clock = readTimePoint(json.at("clock_microseconds"));
        readField(json, "highest_epoch", report.highestEpoch);
        report.accepted = json.at("accepted");
        readField(json, "tasks_number", report.tasksNumber);
        report.tasksOmitted = !json.contains("tasks");
        if (report.tasksOmitted) {
            return report;
        }
        for (const Json &task : json.at("tasks")) {
            report.tasks.push_back({readKey(task.at("task")), valueFromName<TaskState>(taskStateNames, task.at("state")),
                                    readWhole<AcceleratorMask>(task.at("accelerators"), "accelerators")});
        }
        return report;
    });
}

std::string encodeWorkerInfo(const WorkerInfo &worker)
{
    return Json{{"name", worker.name},
                {"address", worker.address},
                {"failure_domain", worker.failureDomain},
                {"rack", worker.rack},
                {"accelerators", worker.accelerators},
                {"processors", worker.processors},
                {"memory_megabytes", worker.memoryMegabytes}}
        .dump();
}

Result<WorkerInfo> decodeWorkerInfo(const std::string &text)
{
    return decodeWith<WorkerInfo>(text, [](const Json &json) {
        WorkerInfo worker;
        worker.name = json.at("name");
        worker.address = json.at("address");
        worker.failureDomain = json.at("failure_domain");
        worker.rack = json.at("rack");
        readField(json, "accelerators", worker.accelerators);
        readField(json, "processors", worker.processors);
        readField(json, "memory_megabytes", worker.memoryMegabytes);
        return worker;
    });
}

} // namespace banyanlock
