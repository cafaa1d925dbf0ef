// The owner's use of worker records; the records themselves are tested in tests/workerrecords.

#include "graph/GraphCodec.h"
#include "pool/PoolScheduler.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace banyanlock
{
namespace
{

constexpr std::int64_t unixOrigin = 1'700'000'000'000;

/// An owner with workers of eight accelerators that runs jobs of single-accelerator tasks.
struct RecordsFixture {
    TimePoint now{std::chrono::seconds(1000)};
    Counters counters;
    GraphTable jobs;
    OperatorView operators;
    PoolScheduler scheduler;
    std::map<std::string, WorkerStatus> statuses;
    std::uint64_t version = 1;
    std::uint64_t endNumber = 0;

    RecordsFixture(PartMode mode, std::size_t workers)
        : scheduler(jobs, operators, {"operators", "configuration", "out/"}, PoolTiming(), PlannerPolicy(), counters, TableLimits(),
                    PoolParts{mode})
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
            status.worker.failureDomain = "domain";
            status.worker.capacity = {128000, 524288, 8};
            status.worker.labels = {"kind", "rack"};
            statuses["agent-" + std::to_string(index)] = status;
        }
        scheduler.acquireOwnership(1, true, now);
        for (const auto &[agent, status] : statuses) {
            scheduler.addAgent(agent);
        }
        report();
    }

    /// Adds a job of single tasks.
    void addJob(const std::string &id, std::uint32_t tasks, std::uint32_t attempts, std::uint32_t spreadLimit = 0)
    {
        GraphRecord record;
        record.spec.payload = "work";
        StepSpec task;
        task.tasks = tasks;
        task.demand = {1000, 1000, 1};
        task.estimate = fromMilliseconds(5000);
        task.spreadLimit = spreadLimit;
        record.spec.steps = {task};
        record.terms = {"queue", "workspace", "service", 1, attempts, 2.0, fromMilliseconds(500)};
        record.acceptedUnixMilliseconds = unixOrigin;
        adopt(PoolRows::keyOf(PoolRows::specPrefix, id), encodeGraphSpec(record));
        adopt(PoolRows::keyOf(PoolRows::progressPrefix, id), encodeGraphProgress({}));
        scheduler.onRows();
    }

    void adopt(const std::string &key, const std::string &value)
    {
        jobs.adopt({std::string(PoolRows::table), key, ++version, value, false}, true);
    }

    /// Delivers the current statuses of all workers.
    void report()
    {
        for (auto &[agent, status] : statuses) {
            ++status.number;
            status.clock = now;
            scheduler.onCallAnswered(agent, 0, &status, now, now);
        }
    }

    /// Lets time pass, with reports, plans and commits every 100 ms.
    void pass(Duration span)
    {
        const TimePoint end = now + span;
        while (now < end) {
            now += fromMilliseconds(100);
            report();
            for (int round = 0; round < 3; ++round) { // a plan may follow at once
                scheduler.step(now, unixOrigin + toMilliseconds(now.time_since_epoch()));
            }
            if (scheduler.takeBatch(now)) {
                scheduler.onCommitted(now);
            }
            for (auto &[agent, status] : statuses) {
                status.ends.clear();
                status.runs.clear();
                for (const PlacedMember &placed : scheduler.workers().at(agent).members) {
                    status.runs.push_back({placed.member->run, false, {}});
                }
            }
        }
    }

    /// Ends the runs on a worker.
    void end(const std::string &agent, RunEnding ending, std::size_t count)
    {
        WorkerStatus &status = statuses.at(agent);
        while (count > 0 && !status.runs.empty()) {
            --count;
            status.ends.push_back({++endNumber, status.runs.back().run, ending, {}});
            status.runs.pop_back();
        }
        ++status.number;
        status.clock = now;
        scheduler.onCallAnswered(agent, 0, &status, now, now);
    }

    std::size_t placedOn(const std::string &agent) const
    {
        return scheduler.workers().at(agent).members.size();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerRecordsOfPool)

// Guards against a worker that fails all it starts and, after its bar, gets as many units as it has room for: each loses an attempt.
BOOST_AUTO_TEST_CASE(barredWorkerComesBackThroughOneTrialAtATime)
{
    RecordsFixture pool(PartMode::On, 3);
    pool.addJob("job", 64, 50);
    pool.pass(fromMilliseconds(500));
    BOOST_TEST(pool.placedOn("agent-0") == 8U);
    pool.end("agent-0", RunEnding::Failed, 8);
    pool.pass(fromMilliseconds(4900));
    BOOST_TEST(pool.placedOn("agent-0") == 0U);
    BOOST_TEST(pool.counters.value(Counter::PoolWorkersBarred) == 1U);
    pool.pass(fromMilliseconds(1000));
    BOOST_TEST(pool.placedOn("agent-0") == 1U);
    BOOST_TEST(pool.counters.value(Counter::PoolTrialStartsWithdrawn) > 0U);
    pool.end("agent-0", RunEnding::Succeeded, 1);
    pool.pass(fromMilliseconds(500));
    BOOST_TEST(pool.placedOn("agent-0") == 8U);
    BOOST_TEST(pool.counters.value(Counter::WorkersQuarantined) == 0U);
}

// Guards against a change of the earlier rules while the records are off: quarantine for 5 s, then as many units as there is room for.
BOOST_AUTO_TEST_CASE(earlierRulesHoldWhileRecordsAreOff)
{
    RecordsFixture pool(PartMode::Off, 3);
    pool.addJob("job", 64, 2); // each failed unit is down to its last attempt
    pool.pass(fromMilliseconds(500));
    pool.end("agent-0", RunEnding::Failed, 8);
    pool.pass(fromMilliseconds(4900));
    BOOST_TEST(pool.placedOn("agent-0") == 0U);
    pool.pass(fromMilliseconds(1000));
    BOOST_TEST(pool.placedOn("agent-0") == 8U);
    BOOST_TEST(pool.counters.value(Counter::WorkersSuspected) == 1U);
    BOOST_TEST(pool.counters.value(Counter::WorkersQuarantined) == 7U); // counted at each failure from the second on
    BOOST_TEST(pool.counters.value(Counter::PoolWorkersBarred) == 0U);
}

// Guards against tasks that fail everywhere and keep everybody's work off all workers for 5 s at a time (review case 10).
BOOST_AUTO_TEST_CASE(atMostHalfOfThePoolIsQuarantined)
{
    RecordsFixture pool(PartMode::Off, 4);
    pool.addJob("failing", 32, 50);
    pool.pass(fromMilliseconds(500));
    for (const char *agent : {"agent-0", "agent-1", "agent-2", "agent-3"}) {
        pool.end(agent, RunEnding::Failed, 8);
    }
    pool.addJob("sound", 1, 2);
    std::size_t used = 0;
    pool.pass(fromMilliseconds(300));
    for (const char *agent : {"agent-0", "agent-1", "agent-2", "agent-3"}) {
        used += pool.placedOn(agent) > 0 ? 1 : 0;
    }
    BOOST_TEST(used == 2U);
}

// Guards against two tasks on one worker of a step that allows one: a last attempt and another task of the step were planned apart (a
// played day on borgerforslag-sched-grown, rule ROUTE).
BOOST_AUTO_TEST_CASE(lastAttemptRespectsTheSpreadLimitOfItsStep)
{
    RecordsFixture pool(PartMode::On, 3);
    pool.addJob("job", 3, 2, 1);
    pool.pass(fromMilliseconds(500));
    pool.end("agent-0", RunEnding::Failed, 1);
    pool.end("agent-1", RunEnding::LeaseExpired, 1);
    for (int round = 0; round < 80; ++round) {
        pool.pass(fromMilliseconds(100));
        for (const char *agent : {"agent-0", "agent-1", "agent-2"}) {
            BOOST_TEST(pool.placedOn(agent) <= 1U);
        }
    }
    BOOST_TEST(pool.placedOn("agent-0") + pool.placedOn("agent-1") + pool.placedOn("agent-2") == 3U);
}

// Guards against records that act without evidence, or not once a unit is down to its last attempt, also under a new owner.
BOOST_AUTO_TEST_CASE(recordsActFromTheFirstUnitThatIsDownToItsLastAttempt)
{
    RecordsFixture pool(PartMode::Auto, 3);
    pool.addJob("job", 64, 4);
    pool.pass(fromMilliseconds(500));
    pool.end("agent-0", RunEnding::Failed, 1);
    pool.pass(fromMilliseconds(200));
    const auto standings = [&] {
        return pool.counters.value(Counter::PoolWorkersDoubtful) + pool.counters.value(Counter::PoolWorkersBarred);
    };
    BOOST_TEST(standings() == 0U);
    for (const char *agent : {"agent-0", "agent-1", "agent-2"}) {
        pool.end(agent, RunEnding::Failed, 8);
    }
    pool.pass(fromMilliseconds(6000));
    for (const char *agent : {"agent-0", "agent-1", "agent-2"}) {
        pool.end(agent, RunEnding::Failed, 8);
    }
    pool.pass(fromMilliseconds(200));
    BOOST_TEST(standings() > 0U);
    pool.pass(fromMilliseconds(6000)); // until the bars are over
    const std::uint64_t before = standings();
    pool.scheduler.releaseOwnership();
    pool.scheduler.acquireOwnership(1, true, pool.now);
    pool.pass(fromMilliseconds(500));
    for (const char *agent : {"agent-0", "agent-1", "agent-2"}) {
        pool.end(agent, RunEnding::Failed, 1);
    }
    pool.pass(fromMilliseconds(200));
    BOOST_TEST(standings() > before);
}

// Guards against trust in a worker that restarts every 1.4 s, whose lives begin without evidence.
BOOST_AUTO_TEST_CASE(flappingWorkerIsDoubtful)
{
    RecordsFixture pool(PartMode::On, 3);
    for (std::int64_t life = 1; life <= 3; ++life) {
        pool.statuses.at("agent-1").worker.incarnation.startedUnixMilliseconds = unixOrigin + life * 1400;
        pool.pass(fromMilliseconds(1400));
    }
    BOOST_TEST((pool.scheduler.workers().at("agent-1").record->evidence.standing(pool.now) == WorkerStanding::Doubtful));
    BOOST_TEST((pool.scheduler.workers().at("agent-0").record->evidence.standing(pool.now) == WorkerStanding::Untested));
    pool.pass(fromMilliseconds(6000));
    BOOST_TEST((pool.scheduler.workers().at("agent-1").record->evidence.standing(pool.now) == WorkerStanding::Untested));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
