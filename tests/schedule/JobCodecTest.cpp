#include "schedule/JobCodec.h"
#include "schedule/EndedJobs.h"
#include "schedule/JobTable.h"
#include "schedule/WorkerCodec.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

void checkError(const std::string &text, const std::string &fault)
{
    const Result<JobSpec> result = decodeJobSpec(text);
    BOOST_REQUIRE(!isOk(result));
    BOOST_TEST((errorOf(result).code == ResultCode::InvalidJob));
    BOOST_TEST(errorOf(result).detail.find(fault) != std::string::npos, errorOf(result).detail);
}

JobRecord makeRecord(std::uint64_t version, JobState state)
{
    JobRecord record;
    record.id = "job-1";
    record.spec.workspace = "audits";
    record.spec.name = "stains";
    record.spec.shape = {3, 4, 2, 1024, Adjacency::Rack};
    record.state = state;
    record.cell = "fd-a";
    record.tasks = {{"w1", 0xF}, {"w2", 0xF0}};
    record.version = version;
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobCodecTest)

BOOST_AUTO_TEST_CASE(errorsNameTheField)
{
    checkError("", "parse error");
    checkError(R"({"name": "a"})", "workspace: must be a string");
    checkError(R"({"workspace": "w", "name": "a", "tasks": 0})", "tasks: must be a whole number from 1 to 512");
    checkError(R"({"workspace": "w", "name": "a", "tasks": 513})", "tasks: must be");
    checkError(R"({"workspace": "w", "name": "a", "accelerators": 1e300})", "accelerators: must be");
    checkError(R"({"workspace": "w", "name": "a", "urgency": "now"})", "urgency: must be one of normal, urgent");
    checkError(R"({"workspace": "w", "name": "a", "can_checkpoint": 1})", "can_checkpoint: must be true or false");
    checkError(R"({"workspace": "w", "name": "a", "color": 1})", "color: unknown field");
}

BOOST_AUTO_TEST_CASE(recordRoundTripsThroughJson)
{
    const JobRecord record = makeRecord(5, JobState::Running);
    const Result<JobRecord> decoded = decodeJobRecord({jobTable, "job-1", 9, encodeJobRecord(record)});
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).version == 9U);
    BOOST_TEST(encodeJobRecord(valueOf(decoded)) == encodeJobRecord(record));
    BOOST_TEST(!isOk(decodeJobRecord({jobTable, "job-1", 9, "{}"})));
}

BOOST_AUTO_TEST_CASE(workerMessageAndReportRoundTripThroughJson)
{
    WorkerMessage message;
    message.cell = "fd-a";
    message.epoch = 12;
    message.boot = 0xFFFFFFFFFFFFFFFFULL;
    message.validUntil = TimePoint(Duration(-5));
    message.lease = Duration(7);
    message.knownTasks = 8;
    message.commands = {{TaskCommandKind::Checkpoint, {"j", 2, 3}, 0xF, 1, 2, 3, true}};
    const Result<WorkerMessage> decoded = decodeWorkerMessage(encodeWorkerMessage(message));
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(encodeWorkerMessage(valueOf(decoded)) == encodeWorkerMessage(message));
    BOOST_TEST((valueOf(decoded).commands[0] == message.commands[0]));
    WorkerReport report{3, TimePoint(Duration(4)), 5, true, 6, false, {{{"j", 2, 3}, TaskState::Checkpointed, 0xF}}};
    const Result<WorkerReport> decodedReport = decodeWorkerReport(encodeWorkerReport(report));
    BOOST_REQUIRE(isOk(decodedReport));
    BOOST_TEST(encodeWorkerReport(valueOf(decodedReport)) == encodeWorkerReport(report));
    BOOST_TEST(!valueOf(decodedReport).tasksOmitted);
    const Result<WorkerReport> omitted = decodeWorkerReport(encodeWorkerReport({3, TimePoint(Duration(4)), 5, true, 6, true, {}}));
    BOOST_REQUIRE(isOk(omitted));
    BOOST_TEST(valueOf(omitted).tasksOmitted);
    BOOST_TEST(valueOf(omitted).tasksNumber == 6U);
}

BOOST_AUTO_TEST_CASE(impossibleNumbersAndNestingAreRejected)
{
    const auto withOdd = [](std::string text, const std::string &field, const std::string &odd) {
        const std::size_t begin = text.find("\"" + field + "\":") + field.size() + 3;
        return text.replace(begin, text.find_first_of(",}]", begin) - begin, odd);
    };
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string job = encodeJobRecord(makeRecord(5, JobState::Running));
    WorkerMessage sent;
    sent.commands = {{TaskCommandKind::Checkpoint, {"j", 2, 3}, 0xF, 1, 2, 3, true}};
    const std::string message = encodeWorkerMessage(sent);
    const std::string report = encodeWorkerReport({3, TimePoint(Duration(4)), 5, true, 6, false, {{{"j", 2, 3}, TaskState::Stopped, 0xF}}});
    const std::string worker = encodeWorkerInfo({"w", "10.0.0.1:7000", "fd", "rack", 8, 64, 1024});
    for (const std::string odd : {"1e300", "-1e300", "18446744073709551616", "1e400", "null", "true", "\"7\"", "1.5", nested.c_str()}) {
        for (const char *field : {"run", "start_epoch", "failures", "submitted", "accelerators"}) {
            BOOST_TEST(!isOk(decodeJobRecord({jobTable, "job-1", 9, withOdd(job, field, odd)})), field << " " << odd.substr(0, 30));
        }
        for (const char *field : {"epoch", "boot", "valid_until_microseconds", "lease_microseconds", "known_tasks", "run", "processors"}) {
            BOOST_TEST(!isOk(decodeWorkerMessage(withOdd(message, field, odd))), field << " " << odd.substr(0, 30));
        }
        for (const char *field : {"boot", "clock_microseconds", "highest_epoch", "tasks_number", "index", "accelerators"}) {
            BOOST_TEST(!isOk(decodeWorkerReport(withOdd(report, field, odd))), field << " " << odd.substr(0, 30));
        }
        for (const char *field : {"accelerators", "processors", "memory_megabytes"}) {
            BOOST_TEST(!isOk(decodeWorkerInfo(withOdd(worker, field, odd))), field << " " << odd.substr(0, 30));
        }
    }
    BOOST_TEST(!isOk(decodeJobSpec(nested)));
}

BOOST_AUTO_TEST_CASE(totalsFollowRecordsAndStaleRowsAreIgnored)
{
    JobTable table;
    BOOST_TEST(table.adopt(makeRecord(1, JobState::Queued)));
    BOOST_TEST(table.demandedAccelerators("fd-a") == 12U);
    BOOST_TEST(table.runningAccelerators("audits") == 0U);
    BOOST_TEST(table.adopt(makeRecord(3, JobState::Running)));
    BOOST_TEST(table.runningAccelerators("audits") == 12U);
    BOOST_TEST(!table.adopt(makeRecord(2, JobState::Queued)));
    BOOST_TEST(table.liveJobsIn("fd-a").size() == 1U);
    BOOST_TEST(table.adopt(makeRecord(4, JobState::Succeeded)));
    BOOST_TEST(table.demandedAccelerators("fd-a") == 0U);
    BOOST_TEST(table.runningAccelerators("audits") == 0U);
    BOOST_TEST(table.liveJobsIn("fd-a").empty());
}

BOOST_AUTO_TEST_CASE(onlyEndedJobsAreErased)
{
    JobTable table;
    table.adopt(makeRecord(1, JobState::Running));
    table.erase("job-1");
    BOOST_TEST(table.find("job-1") != nullptr);
    table.adopt(makeRecord(2, JobState::Succeeded));
    table.erase("job-1");
    BOOST_TEST(table.find("job-1") == nullptr);
}

BOOST_AUTO_TEST_CASE(endedJobsExpireOldestFirst)
{
    EndedJobs ended(fromMilliseconds(100));
    const TimePoint start(fromMilliseconds(1000));
    ended.add("a", start);
    ended.add("b", start + fromMilliseconds(50));
    BOOST_TEST(ended.takeExpired(start + fromMilliseconds(99), 10).empty());
    BOOST_TEST(ended.takeExpired(start + fromMilliseconds(100), 10) == std::vector<std::string>{"a"});
    ended.add("c", start + fromMilliseconds(60));
    BOOST_TEST(ended.takeExpired(start + fromMilliseconds(500), 1) == std::vector<std::string>{"b"});
    BOOST_TEST(ended.takeExpired(start + fromMilliseconds(500), 1) == std::vector<std::string>{"c"});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
