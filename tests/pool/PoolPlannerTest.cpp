#include "pool/PoolPlanner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <vector>

namespace banyanlock
{
namespace
{

constexpr Resources workerCapacity{128000, 262144, 8};

/// A pool of workers with eight accelerators each, three workers in a rack, with waiting and running units.
struct Fixture {
    std::list<GraphRecord> jobs;
    std::vector<PlanGroup> groups;
    std::vector<PlanWorker> workers;
    std::vector<PlanVictim> victims;
    PoolPlanner planner;

    Fixture()
    {
        constexpr std::size_t count = 6;
        constexpr std::size_t rackSize = 3;
        for (std::size_t worker = 0; worker < count; ++worker) {
            PlanWorker planWorker;
            planWorker.free = workerCapacity;
            planWorker.rack = "rack" + std::to_string(worker / rackSize);
            planWorker.service = "service";
            planWorker.usable = true;
            workers.push_back(planWorker);
        }
    }

    /// Adds a waiting group: one step of independent tasks.
    PlanGroup &addWaitingGroup(std::uint32_t tasks, std::int64_t accelerators, std::uint32_t priority,
                               Duration slack = fromMilliseconds(500))
    {
        GraphRecord job;
        job.id = "job" + std::to_string(jobs.size());
        job.terms.service = "service";
        job.terms.priority = priority;
        StepSpec step;
        step.tasks = tasks;
        step.demand = {1000 * accelerators, 1000, accelerators};
        step.estimate = fromMilliseconds(2500);
        job.spec.steps = {step};
        jobs.push_back(job);
        PlanGroup group;
        group.job = &jobs.back();
        for (std::uint32_t index = 0; index < tasks; ++index) {
            group.indexes.push_back(index);
        }
        group.slack = slack;
        groups.push_back(group);
        return groups.back();
    }

    /// Fills a worker with one running unit that may be preempted.
    void occupyWorker(std::uint32_t worker, double lostWork, std::uint32_t priority = 2)
    {
        workers[worker].free = {};
        PlanVictim victim;
        victim.workers = {worker};
        victim.demand = workerCapacity;
        victim.priority = priority;
        victim.lostWork = lostWork;
        victims.push_back(victim);
    }

    PoolPlan plan() const
    {
        return planner.plan(groups, workers, victims);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoolPlannerTest, Fixture)

BOOST_AUTO_TEST_CASE(suspectWorkerIsUsedLast)
{
    // Guards against repeated failures on one worker: a task that had failed on a worker that fails every task was placed on it again.
    workers[0].suspect = true;
    workers[0].free.accelerators = 4; // the tightest fit
    addWaitingGroup(5, 4, 1);
    for (const PlannedStart &start : plan().starts) {
        BOOST_TEST(start.workers.front() != 0U);
    }
    BOOST_TEST(plan().starts.size() == 5U);
}

BOOST_AUTO_TEST_CASE(suspectWorkersAreUsedIfThereIsNoOther)
{
    for (PlanWorker &worker : workers) {
        worker.suspect = true;
    }
    addWaitingGroup(12, 4, 1);
    BOOST_TEST(plan().starts.size() == 12U);
}

// Guards against a lasting gang that waits for a rack beside empty workers, up to half of a time that it has no end to lose (review case
// 9).
BOOST_AUTO_TEST_CASE(lastingGangIsPlacedAcrossRacksIfNoRackHasRoom)
{
    addWaitingGroup(4, 8, 1); // a rack has three workers
    StepSpec &step = jobs.back().spec.steps.front();
    step.gang = true;
    step.preferOneRack = true;
    step.longRunning = true;
    step.estimate = fromMilliseconds(3'600'000);
    groups.back().indexes = {0};
    BOOST_REQUIRE_EQUAL(plan().starts.size(), 1U);
    BOOST_TEST(plan().starts.front().workers.size() == 4U);
}

// Guards against the same for a lasting task whose data is in a rack that is full, and against one that is placed elsewhere although the
// rack has room.
BOOST_AUTO_TEST_CASE(lastingTaskIsPlacedNearItsDataOnlyIfThereIsRoom)
{
    addWaitingGroup(1, 8, 1);
    StepSpec &step = jobs.back().spec.steps.front();
    step.homeRack = "rack1";
    step.longRunning = true;
    step.estimate = fromMilliseconds(3'600'000);
    BOOST_REQUIRE_EQUAL(plan().starts.size(), 1U);
    BOOST_TEST(plan().starts.front().workers.front() >= 3U);
    for (const std::uint32_t worker : {3U, 4U, 5U}) {
        workers[worker].free = {};
    }
    BOOST_REQUIRE_EQUAL(plan().starts.size(), 1U);
    BOOST_TEST(plan().starts.front().workers.front() < 3U);
}

BOOST_AUTO_TEST_CASE(urgentUnitPreemptsOnWorkerThatIsNotSuspect)
{
    for (std::uint32_t worker = 0; worker < workers.size(); ++worker) {
        occupyWorker(worker, worker == 0 ? 10.0 : 100.0);
    }
    workers[0].suspect = true;
    addWaitingGroup(1, 8, 0);
    const PoolPlan result = plan();
    BOOST_REQUIRE_EQUAL(result.stops.size(), 1U);
    BOOST_TEST(victims[result.stops.front()].workers.front() != 0U);
}

BOOST_AUTO_TEST_CASE(urgentUnitWithSlackDoesNotPreempt)
{
    for (std::uint32_t worker = 0; worker < workers.size(); ++worker) {
        occupyWorker(worker, 100.0);
    }
    addWaitingGroup(1, 8, 0, fromMilliseconds(1500));
    BOOST_TEST(plan().stops.empty());
}

BOOST_AUTO_TEST_CASE(smallTasksArePackedOnFewWorkers)
{
    addWaitingGroup(12, 1, 2, fromMilliseconds(20000));
    std::vector<std::size_t> tasks(workers.size());
    for (const PlannedStart &start : plan().starts) {
        ++tasks[start.workers.front()];
    }
    BOOST_TEST(std::count(tasks.begin(), tasks.end(), 0U) == 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
