#include "schedule/JobCodec.h"

#include "contract/JsonFields.h"
#include "core/JsonInput.h"

#include <array>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr std::uint32_t maxTasks = 512;
constexpr std::uint32_t maxAcceleratorsPerTask = 32;
constexpr std::uint32_t maxProcessorsPerTask = 1024;
constexpr std::uint32_t maxMemoryMegabytesPerTask = 16U * 1024 * 1024;
constexpr std::uint32_t maxDurationHintMilliseconds = 30U * 24 * 3600 * 1000;

constexpr std::array<const char *, 5> stateNames{"queued", "running", "succeeded", "failed", "cancelled"};

JobSpec readSpec(const Json &json, std::string &fault)
{
    JobSpec spec;
    JsonFields fields(json, "", fault);
    fields.rejectUnknown({"workspace", "name", "tasks", "accelerators", "processors", "memory_megabytes", "adjacency", "urgency",
                          "can_checkpoint", "duration_hint_milliseconds"});
    fields.readName("workspace", spec.workspace);
    fields.readName("name", spec.name);
    fields.readNumber("tasks", spec.shape.tasks, 1, maxTasks);
    fields.readNumber("accelerators", spec.shape.accelerators, 0, maxAcceleratorsPerTask);
    fields.readNumber("processors", spec.shape.processors, 1, maxProcessorsPerTask);
    fields.readNumber("memory_megabytes", spec.shape.memoryMegabytes, 0, maxMemoryMegabytesPerTask);
    fields.readNumber("duration_hint_milliseconds", spec.durationHintMilliseconds, 0, maxDurationHintMilliseconds);
    fields.readBool("can_checkpoint", spec.canCheckpoint);
    std::string adjacency = adjacencyName(spec.shape.adjacency);
    fields.readEnum("adjacency", adjacency, {"worker", "rack", "failure_domain"});
    adjacencyFromName(adjacency, spec.shape.adjacency);
    std::string urgency = "normal";
    fields.readEnum("urgency", urgency, {"normal", "urgent"});
    spec.urgency = urgency == "urgent" ? Urgency::Urgent : Urgency::Normal;
    return spec;
}

Json writeSpec(const JobSpec &spec)
{
    return {{"workspace", spec.workspace},
            {"name", spec.name},
            {"tasks", spec.shape.tasks},
            {"accelerators", spec.shape.accelerators},
            {"processors", spec.shape.processors},
            {"memory_megabytes", spec.shape.memoryMegabytes},
            {"adjacency", adjacencyName(spec.shape.adjacency)},
            {"urgency", spec.urgency == Urgency::Urgent ? "urgent" : "normal"},
            {"can_checkpoint", spec.canCheckpoint},
            {"duration_hint_milliseconds", spec.durationHintMilliseconds}};
}

JobState stateFromName(const std::string &name)
{
    for (std::size_t index = 0; index < stateNames.size(); ++index) {
        if (name == stateNames[index]) {
            return static_cast<JobState>(index);
        }
    }
    return JobState::Failed;
}

} // namespace

const char *jobStateName(JobState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

Result<JobSpec> decodeJobSpec(const std::string &text)
{
    const Result<Json> parsed = parseJsonObject(text, ResultCode::InvalidJob);
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    std::string fault;
    JobSpec spec = readSpec(valueOf(parsed), fault);
    if (!fault.empty()) {
        return Error{ResultCode::InvalidJob, fault};
    }
    return spec;
}

std::string encodeJobRecord(const JobRecord &record)
{
    Json tasks = Json::array();
    for (const RecordedTask &task : record.tasks) {
        tasks.push_back({{"worker", task.worker}, {"accelerators", task.accelerators}});
    }
    const Json json = {{"id", record.id},
                       {"spec", writeSpec(record.spec)},
                       {"state", jobStateName(record.state)},
                       {"cell", record.cell},
                       {"run", record.run},
                       {"start_epoch", record.startEpoch},
                       {"failures", record.failures},
                       {"tasks", tasks},
                       {"cancel_requested", record.cancelRequested},
                       {"from_checkpoint", record.fromCheckpoint},
                       {"reason", record.reason},
                       {"submitted", record.submitted}};
    return json.dump();
}

Result<JobRecord> decodeJobRecord(const TableRow &row)
{
    try {
        const Json json = parseJson(row.value);
        std::string fault;
        JobRecord record;
        record.id = json.at("id");
        record.spec = readSpec(json.at("spec"), fault);
        record.state = stateFromName(json.at("state"));
        record.cell = json.at("cell");
        readField(json, "run", record.run);
        readField(json, "start_epoch", record.startEpoch);
        readField(json, "failures", record.failures);
        for (const Json &task : json.at("tasks")) {
            record.tasks.push_back({task.at("worker"), readWhole<AcceleratorMask>(task.at("accelerators"), "accelerators")});
        }
        record.cancelRequested = json.at("cancel_requested");
        record.fromCheckpoint = json.at("from_checkpoint");
        record.reason = json.at("reason");
        readField(json, "submitted", record.submitted);
        record.version = row.version;
        if (!fault.empty()) {
            return Error{ResultCode::InvalidJob, fault};
        }
        return record;
    } catch (const Json::exception &error) {
        return Error{ResultCode::InvalidJob, error.what()};
    }
}

} // namespace banyanlock
