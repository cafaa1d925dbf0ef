#include "pool/PoolScheduler.h"
#include "graph/GraphCodec.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <map>
#include <string>

namespace banyanlock
{
namespace
{

constexpr std::int64_t unixOrigin = 1'700'000'000'000;
constexpr std::size_t maxTransactionEntries = 100; // of the table service
constexpr std::size_t ownerRowEntries = 2; // the host daemon checks and writes the owner row
constexpr std::size_t maxRowBytes = 65536; // of the table service, in Base64
constexpr std::size_t maxTransactionBytes = 1'000'000; // of the table service, in Base64

/// @return Size of a text in Base64.
std::size_t encodedBytes(const std::string &text)
{
    return (text.size() + 2) / 3 * 4;
}

/// An owner with workers of eight accelerators, driven event by event.
struct Fixture {
    TimePoint now{std::chrono::seconds(1000)};
    Counters counters;
    GraphTable jobs;
    OperatorView operators;
    PoolScheduler scheduler{jobs, operators, {"operators", "configuration", "out/"}, PoolTiming(), PlannerPolicy(), counters};
    std::map<std::string, WorkerStatus> statuses;
    std::map<std::string, TableRow> rows; // of the table service, as far as batches were stored
    std::uint64_t version = 1;
    std::uint64_t endNumber = 0;

    explicit Fixture(std::size_t workers = 6)
    {
        operators.configurationRowVersion = 1;
        for (std::size_t index = 0; index < workers; ++index) {
            WorkerStatus status;
            status.agentIncarnation = 1;
            status.number = 1;
            status.highestEpoch = 1;
            status.runsKnown = true;
            status.runsKnownEpoch = 1;
            status.answering = true;
            status.worker.incarnation = {"worker-" + std::to_string(index), unixOrigin};
            status.worker.service = "service";
            status.worker.failureDomain = "domain-" + std::to_string(index % 3);
            status.worker.capacity = {128000, 524288, 8};
            status.worker.labels = {"kind", "rack"};
            statuses["10.0.0." + std::to_string(index + 1) + ":7000"] = status;
        }
        scheduler.acquireOwnership(1, true, now);
        for (const auto &[agent, status] : statuses) {
            scheduler.addAgent(agent);
        }
        step();
        for (const CallAgent &call : scheduler.takeCalls()) {
            WorkerStatus status = statuses.at(call.agent);
            status.clock = now;
            scheduler.onCallAnswered(call.agent, call.call, &status, now, now);
        }
    }

    void step()
    {
        scheduler.step(now, unixOrigin + toMilliseconds(now.time_since_epoch()));
    }

    /// Adds an accepted job of tasks with one accelerator each.
    void addJob(const std::string &id, std::uint32_t tasks, std::uint32_t priority = 1, GraphState state = GraphState::Queued,
                bool gang = false)
    {
        GraphRecord record;
        record.spec.payload = "work";
        StepSpec task;
        task.tasks = tasks;
        task.gang = gang;
        task.demand = {1000, 1000, 1};
        task.estimate = fromMilliseconds(5000);
        record.spec.steps = {task};
        record.terms = {"queue", "workspace", "service", priority, 3, 2.0, fromMilliseconds(500)};
        record.acceptedUnixMilliseconds = unixOrigin;
        GraphProgress progress;
        progress.state = state;
        adopt(PoolRows::keyOf(PoolRows::specPrefix, id), encodeGraphSpec(record));
        adopt(PoolRows::keyOf(PoolRows::progressPrefix, id), encodeGraphProgress(progress));
        scheduler.onRows();
    }

    /// Adds an accepted job of gangs whose tasks need a fifth of a core each.
    void addGangs(const std::string &id, std::uint32_t gangs, std::uint32_t tasks)
    {
        GraphRecord record;
        StepSpec gang;
        gang.tasks = tasks;
        gang.gang = true;
        gang.demand = {200, 0, 0};
        gang.estimate = fromMilliseconds(5000);
        record.spec.steps.assign(gangs, gang);
        record.terms = {"queue", "workspace", "service", 1, 3, 2.0, fromMilliseconds(500)};
        record.acceptedUnixMilliseconds = unixOrigin;
        adopt(PoolRows::keyOf(PoolRows::specPrefix, id), encodeGraphSpec(record));
        adopt(PoolRows::keyOf(PoolRows::progressPrefix, id), encodeGraphProgress({}));
        scheduler.onRows();
    }

    /// Applies the writes of a committed batch to the table service's rows.
    void store(const PoolBatch &batch)
    {
        ++version;
        for (const RowWrite &write : batch.writes) {
            if (write.value) {
                rows[write.key] = {std::string(PoolRows::table), write.key, version, *write.value, false};
            } else {
                rows.erase(write.key);
            }
        }
    }

    /// Reports all active runs as ended.
    void endRuns(RunEnding ending)
    {
        for (auto &[agent, status] : statuses) {
            ++status.number;
            status.clock = now;
            status.ends.clear();
            for (const PlacedMember &placed : scheduler.workers().at(agent).members) {
                status.ends.push_back({++endNumber, placed.member->run, ending, {}});
            }
            scheduler.onCallAnswered(agent, 0, &status, now, now);
        }
    }

    void adopt(const std::string &key, const std::optional<std::string> &value)
    {
        jobs.adopt({std::string(PoolRows::table), key, ++version, value.value_or(""), !value}, true);
    }

    /// @return The newly taken batch.
    PoolBatch takeBatch()
    {
        std::optional<PoolBatch> batch = scheduler.takeBatch(now);
        BOOST_REQUIRE(batch.has_value());
        return *batch;
    }

    /// @return Places of the tasks of a job, by the row that a batch writes.
    static std::vector<std::string> placesIn(const PoolBatch &batch, const std::string &job)
    {
        std::vector<std::string> places;
        for (const RowWrite &write : batch.writes) {
            if (write.key == PoolRows::keyOf(PoolRows::progressPrefix, job)) {
                const std::optional<GraphProgress> progress = decodeGraphProgress(write.value.value_or(""));
                BOOST_REQUIRE(progress.has_value());
                for (const auto &[key, unit] : progress->units) {
                    for (const TaskPlace &place : unit.places) {
                        places.push_back(place.agent + "#" + std::to_string(unit.run));
                    }
                }
            }
        }
        return places;
    }

    static std::vector<std::string> jobsIn(const PoolBatch &batch)
    {
        std::vector<std::string> ids;
        for (const RowWrite &write : batch.writes) {
            if (const auto id = PoolRows::nameIn(write.key, PoolRows::progressPrefix); id && write.value) {
                ids.push_back(*id);
            }
        }
        return ids;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PoolSchedulerEvents)

BOOST_FIXTURE_TEST_CASE(changeOfTheConfigurationWithdrawsNoPlacement, Fixture)
{
    addJob("job1", 4);
    step();
    const std::vector<std::string> places = placesIn(takeBatch(), "job1");
    BOOST_REQUIRE(places.size() == 4U);
    operators.configurationRowVersion = 2;
    scheduler.onConflict();
    BOOST_TEST(scheduler.units().size() == 4U);
    const PoolBatch retry = takeBatch();
    BOOST_TEST(placesIn(retry, "job1") == places, boost::test_tools::per_element());
    const bool checksNewVersion = std::ranges::any_of(retry.checks, [](const RowCheck &check) {
        return check.key == "configuration" && check.version == 2;
    });
    BOOST_TEST(checksNewVersion);
}

BOOST_FIXTURE_TEST_CASE(failureDomainThatGoesOutWithdrawsOnlyItsPlacements, Fixture)
{
    addJob("job1", 48); // fills the pool
    step();
    BOOST_REQUIRE(placesIn(takeBatch(), "job1").size() == 48U);
    operators.outDomains.insert("domain-1");
    scheduler.onConflict();
    BOOST_TEST(scheduler.units().size() == 32U);
    for (const std::string &place : placesIn(takeBatch(), "job1")) {
        BOOST_TEST(!place.starts_with("10.0.0.2:"));
        BOOST_TEST(!place.starts_with("10.0.0.5:"));
    }
}

BOOST_FIXTURE_TEST_CASE(cancelledJobIsWithdrawnAndOthersAreNot, Fixture)
{
    addJob("job1", 4);
    addJob("job2", 4);
    step();
    const std::vector<std::string> places = placesIn(takeBatch(), "job2");
    adopt(PoolRows::keyOf(PoolRows::cancelPrefix, "job1"), "{}");
    scheduler.onConflict();
    BOOST_TEST(scheduler.units().size() == 4U);
    const PoolBatch retry = takeBatch();
    BOOST_TEST(placesIn(retry, "job1").empty());
    BOOST_TEST(placesIn(retry, "job2") == places, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(batchFitsIntoATransaction)
{
    Fixture pool(12);
    constexpr int count = 60;
    for (int job = 0; job < count; ++job) {
        pool.addJob("ended" + std::to_string(job), 1, 1, GraphState::Completed);
    }
    pool.scheduler.takeBatch(pool.now); // notices the ended jobs
    pool.now += PoolTiming().retentionPeriod + fromMilliseconds(1000);
    for (int job = 0; job < count; ++job) {
        pool.addJob("job" + std::to_string(job), 1);
    }
    for (auto &[agent, status] : pool.statuses) {
        pool.scheduler.onCallAnswered(agent, 0, &status, pool.now, pool.now);
    }
    pool.step();
    const PoolBatch batch = pool.takeBatch();
    BOOST_TEST(Fixture::jobsIn(batch).size() > 30U);
    BOOST_TEST(batch.writes.size() + batch.checks.size() + ownerRowEntries <= maxTransactionEntries);
}

// Guards against an accepted job whose progress exceeds a row: the table service refuses each transaction of every owner (review case 1).
BOOST_FIXTURE_TEST_CASE(progressBeyondARowIsRecordedInSeveralRows, Fixture)
{
    constexpr std::uint32_t gangs = 3;
    constexpr std::uint32_t tasks = 512;
    addGangs("job1", gangs, tasks);
    step();
    const PoolBatch batch = takeBatch();
    for (const RowWrite &write : batch.writes) {
        BOOST_TEST(encodedBytes(write.value.value_or("")) <= maxRowBytes, write.key);
    }
    store(batch);

    GraphTable followed;
    const GraphRecord *job = std::as_const(jobs).find("job1");
    followed.adopt({std::string(PoolRows::table), PoolRows::keyOf(PoolRows::specPrefix, "job1"), 1, encodeGraphSpec(*job), false}, false);
    for (const auto &[key, row] : rows) {
        followed.adopt(row, false);
    }
    PoolScheduler successor{followed, operators, {"operators", "configuration", "out/"}, PoolTiming(), PlannerPolicy(), counters};
    successor.acquireOwnership(2, true, now);
    BOOST_REQUIRE(successor.units().size() == gangs);
    for (const auto &[id, unit] : successor.units()) {
        BOOST_TEST(unit.members.size() == tasks);
    }
}

// Guards against a job that leaves rows behind when its progress fits into fewer rows again, or when it is erased.
BOOST_FIXTURE_TEST_CASE(surplusRowsOfProgressAreErased, Fixture)
{
    const auto continuations = [&] {
        return std::ranges::count_if(rows, [](const auto &entry) {
            return entry.first.starts_with(PoolRows::continuationPrefix);
        });
    };
    addGangs("job1", 3, 512);
    step();
    store(takeBatch());
    scheduler.onCommitted(now);
    BOOST_TEST(continuations() >= 2);
    endRuns(RunEnding::Stopped);
    scheduler.stopPlacing();
    step();
    store(takeBatch());
    scheduler.onCommitted(now);
    BOOST_TEST(continuations() == 0);
}

// Guards against a transaction above the table service's limit when many jobs with much progress change at once.
BOOST_AUTO_TEST_CASE(batchOfLargeJobsFitsIntoATransaction)
{
    Fixture pool(60);
    constexpr int count = 38;
    for (int job = 0; job < count; ++job) {
        pool.addGangs("job" + std::to_string(job), 2, 450);
    }
    pool.step();
    std::size_t recorded = 0;
    while (const std::optional<PoolBatch> batch = pool.scheduler.takeBatch(pool.now)) {
        std::size_t bytes = 0;
        for (const RowWrite &write : batch->writes) {
            bytes += encodedBytes(write.value.value_or("")) + write.key.size();
        }
        BOOST_TEST(bytes < maxTransactionBytes);
        BOOST_TEST(batch->writes.size() + batch->checks.size() + ownerRowEntries <= maxTransactionEntries);
        recorded += Fixture::jobsIn(*batch).size();
        pool.scheduler.onCommitted(pool.now);
        pool.now += PoolTiming().maxBatchPause;
    }
    BOOST_TEST(recorded >= static_cast<std::size_t>(count));
}

// Guards against progress that grows without a limit while occurrences of a job overlap.
BOOST_FIXTURE_TEST_CASE(overlappingOccurrencesAreLimited, Fixture)
{
    GraphRecord record;
    record.spec.steps.resize(1);
    record.spec.steps[0].tasks = 500;
    record.spec.steps[0].demand = {1, 0, 0};
    record.spec.repetition = {20, 0, 1};
    record.terms = {"queue", "workspace", "service", 1, 3, 2.0, fromMilliseconds(500)};
    adopt(PoolRows::keyOf(PoolRows::specPrefix, "job1"), encodeGraphSpec(record));
    adopt(PoolRows::keyOf(PoolRows::progressPrefix, "job1"), encodeGraphProgress({}));
    scheduler.onRows();
    now += fromMilliseconds(500); // all occurrences are due
    const auto startAll = [&] {
        constexpr int steps = 10; // a plan starts a part of the units
        for (int count = 0; count < steps; ++count) {
            now += fromMilliseconds(10);
            step();
            if (scheduler.takeBatch(now)) {
                scheduler.onCommitted(now);
            }
        }
    };
    startAll();
    BOOST_TEST(scheduler.units().size() == maxTasksOfJob);
    endRuns(RunEnding::Succeeded);
    startAll();
    BOOST_TEST(jobs.find("job1")->progress.finishedOccurrences == 4U);
    BOOST_TEST(scheduler.units().size() == maxTasksOfJob);
}

BOOST_AUTO_TEST_CASE(urgentJobsAreRecordedFirstUnderABacklog)
{
    Fixture pool(12);
    constexpr int bulk = 60;
    for (int job = 0; job < bulk; ++job) {
        pool.addJob("bulk" + std::to_string(job), 1, 2);
    }
    pool.addJob("urgent", 1, 0); // after the others by its id
    pool.step();
    const std::vector<std::string> first = Fixture::jobsIn(pool.takeBatch());
    BOOST_TEST((std::ranges::find(first, "urgent") != first.end()));
    BOOST_TEST(first.size() < static_cast<std::size_t>(bulk));
}

BOOST_AUTO_TEST_CASE(changesOfJobsThatAreNotUrgentShareATransactionInALargePool)
{
    constexpr std::size_t workers = 200;
    Fixture pool(workers);
    pool.addJob("job1", 1);
    pool.step();
    pool.takeBatch();
    pool.scheduler.onCommitted(pool.now);
    pool.now += fromMilliseconds(30);
    pool.addJob("job2", 1);
    pool.step();
    BOOST_TEST(!pool.scheduler.takeBatch(pool.now).has_value());
    pool.addJob("urgent", 1, 0);
    pool.step();
    BOOST_TEST(Fixture::jobsIn(pool.takeBatch()).size() == 2U); // an urgent job does not wait and takes the others along
    pool.scheduler.onCommitted(pool.now);
    pool.addJob("job3", 1);
    pool.step();
    BOOST_TEST(!pool.scheduler.takeBatch(pool.now).has_value());
    pool.now += PoolTiming().maxBatchPause;
    BOOST_TEST(Fixture::jobsIn(pool.takeBatch()).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(unexpectedRunIsStoppedAgainOnlyAfterAPause, Fixture)
{
    constexpr Duration answerInterval = fromMilliseconds(60);
    addJob("job1", 1);
    const std::string agent = statuses.begin()->first;
    WorkerStatus &status = statuses.begin()->second;
    status.runs = {{{{"job1", 0, 0, 0}, 7}, false, {}}}; // of an earlier run that nobody waits for
    std::size_t stops = 0;
    constexpr int answers = 20;
    for (int answer = 0; answer < answers; ++answer) {
        now += answerInterval;
        ++status.number;
        status.clock = now;
        scheduler.onCallAnswered(agent, 0, &status, now, now);
        step();
        for (const CallAgent &call : scheduler.takeCalls()) {
            stops += call.agent == agent ? call.request.orders.size() : 0;
        }
    }
    BOOST_TEST(stops >= 2U);
    BOOST_TEST(stops <= 1 + static_cast<std::size_t>(answers * answerInterval / PoolTiming().stopRetryInterval));
}

BOOST_FIXTURE_TEST_CASE(gangThatStartedInTimeIsNotStoppedWhenItsOwnerWasDelayed, Fixture)
{
    constexpr Duration delay = fromMilliseconds(1500); // of the owner's process: answers arrive, but nothing is handled
    addJob("job1", 2, 0, GraphState::Queued, true);
    step();
    takeBatch();
    scheduler.onCommitted(now);
    step();
    scheduler.takeCalls();
    now += delay;
    step(); // a timer fires before the waiting answers, which confirm both members, are handled
    BOOST_REQUIRE(scheduler.units().size() == 1U);
    BOOST_TEST((scheduler.units().begin()->second.stopping == StopReason::None));
}

BOOST_FIXTURE_TEST_CASE(jobWhoseSpecificationAnotherWriterErasesRunsOn, Fixture)
{
    addJob("job1", 4);
    step();
    takeBatch();
    scheduler.onCommitted(now);
    adopt(PoolRows::keyOf(PoolRows::specPrefix, "job1"), std::nullopt);
    scheduler.onRows();
    step();
    BOOST_TEST(scheduler.units().size() == 4U);
    BOOST_TEST((jobs.find("job1") != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
