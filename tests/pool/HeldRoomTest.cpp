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

constexpr Resources workerCapacity{64000, 131072, 8};
constexpr Resources eighth{5600, 8200, 1};

/// Eight workers with eight accelerators each, four in a rack.
struct Fixture {
    std::list<GraphRecord> jobs;
    std::vector<PlanGroup> groups;
    std::vector<PlanWorker> workers;
    std::vector<PlanVictim> victims;
    PoolPlanner planner;
    PlanOptions options{true, {}};

    Fixture()
    {
        for (std::size_t worker = 0; worker < 8; ++worker) {
            PlanWorker planWorker;
            planWorker.free = workerCapacity;
            planWorker.capacity = workerCapacity;
            planWorker.rack = "rack" + std::to_string(worker / 4);
            planWorker.service = "service";
            planWorker.usable = true;
            workers.push_back(planWorker);
        }
    }

    PlanGroup &addGang(std::uint32_t tasks, std::int64_t accelerators, std::uint32_t priority, bool oneRack = true)
    {
        PlanGroup &group = addTasks(tasks, {1000 * accelerators, 1000, accelerators}, priority);
        StepSpec &step = jobs.back().spec.steps.front();
        step.gang = true;
        step.preferOneRack = oneRack;
        group.indexes = {0};
        return group;
    }

    PlanGroup &addTasks(std::uint32_t tasks, const Resources &demand, std::uint32_t priority)
    {
        GraphRecord job;
        job.id = "job" + std::to_string(jobs.size());
        job.terms.service = "service";
        job.terms.priority = priority;
        StepSpec step;
        step.tasks = tasks;
        step.demand = demand;
        step.estimate = fromMilliseconds(2000);
        job.spec.steps = {step};
        jobs.push_back(job);
        PlanGroup group;
        group.job = &jobs.back();
        for (std::uint32_t index = 0; index < tasks; ++index) {
            group.indexes.push_back(index);
        }
        group.slack = fromMilliseconds(1500);
        group.expected = fromMilliseconds(2000);
        groups.push_back(group);
        return groups.back();
    }

    /// Fills a worker with running tasks that end after the given times, one accelerator each.
    void occupy(std::uint32_t worker, const std::vector<std::int64_t> &endsAfterMilliseconds)
    {
        for (const std::int64_t after : endsAfterMilliseconds) {
            workers[worker].free -= eighth;
            PlanVictim victim;
            victim.workers = {worker};
            victim.demand = eighth;
            victim.priority = 2;
            victim.lostWork = 30.0;
            victim.remaining = fromMilliseconds(after);
            victims.push_back(victim);
        }
    }

    std::size_t startsOf(std::size_t group) const
    {
        const PoolPlan plan = planner.plan(groups, workers, victims, options);
        return static_cast<std::size_t>(std::ranges::count(plan.starts, group, &PlannedStart::group));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HeldRoomTest, Fixture)

BOOST_AUTO_TEST_CASE(roomOfAnUrgentGangThatWaitsIsNotFilled)
{
    // Guards against runs that are started while an urgent gang waits for room, and are preempted for it a moment later.
    for (std::uint32_t worker = 0; worker < 8; ++worker) {
        occupy(worker, {300, 300, 300, 300});
    }
    addGang(4, 8, 0);
    addTasks(40, eighth, 2);
    BOOST_TEST(planner.plan(groups, workers, victims, options).stops.empty());
    BOOST_TEST(startsOf(1) <= 16U); // only the half that the gang does not use
    options.holdRoom = false;
    BOOST_TEST(startsOf(1) == 32U);
}

BOOST_AUTO_TEST_CASE(urgentGangPreemptsAtOnceIfNothingEndsInTime)
{
    // Guards against an urgent gang that waits 1.2 s for units that run far longer.
    for (std::uint32_t worker = 0; worker < 8; ++worker) {
        occupy(worker, {9000, 9000, 9000, 9000, 9000, 9000, 9000, 9000});
    }
    addGang(2, 8, 0).guaranteed = true;
    BOOST_TEST(!planner.plan(groups, workers, victims, options).stops.empty());
    options.holdRoom = false;
    BOOST_TEST(planner.plan(groups, workers, victims, options).stops.empty());
}

BOOST_AUTO_TEST_CASE(gangThatNoRackCanHoldStartsAcrossRacks)
{
    // Guards against a gang of eight whole workers that waits, beside empty workers, for a rack of four.
    addGang(8, 8, 1);
    BOOST_TEST(startsOf(0) == 1U);
    options.holdRoom = false;
    BOOST_TEST(startsOf(0) == 0U);
}

BOOST_AUTO_TEST_CASE(blockedGangCollectsRoom)
{
    // Guards against a gang of low priority that never starts because single tasks take each accelerator that becomes free.
    for (std::uint32_t worker = 0; worker < 8; ++worker) {
        occupy(worker, {500, 500, 500, 500, 500, 500, 500});
    }
    addGang(4, 8, 1);
    addTasks(8, eighth, 2);
    BOOST_TEST(startsOf(1) == 4U); // on the rack that the gang does not wait for
}

BOOST_AUTO_TEST_CASE(roomIsNotHeldForLongerThanItIsWorth)
{
    // Guards against workers that stand idle for a gang whose last place becomes free only after many times its run time.
    for (std::uint32_t worker = 0; worker < 8; ++worker) {
        occupy(worker, {60000});
    }
    addGang(4, 8, 1);
    addTasks(56, eighth, 2);
    BOOST_TEST(startsOf(1) == 56U);
}

BOOST_AUTO_TEST_CASE(keptWorkersAreForUrgentUnits)
{
    // Guards against long work that fills the workers on which urgent gangs usually start.
    for (std::uint32_t worker = 0; worker < 4; ++worker) {
        workers[worker].kept = true;
    }
    addTasks(64, eighth, 2);
    BOOST_TEST(startsOf(0) == 32U);
    addGang(4, 8, 0);
    const PoolPlan plan = planner.plan(groups, workers, victims, options);
    const auto gang = std::ranges::find(plan.starts, 1U, &PlannedStart::group);
    BOOST_REQUIRE(gang != plan.starts.end());
    BOOST_TEST(std::ranges::all_of(gang->workers, [](std::uint32_t worker) {
        return worker < 4;
    }));
}

BOOST_AUTO_TEST_CASE(urgentGangAvoidsSlowWorkers)
{
    // Guards against an urgent gang that runs at the pace of one slow worker while fast ones are free.
    for (const std::uint32_t worker : {0, 3, 6}) {
        workers[worker].slow = true;
    }
    addGang(2, 8, 0);
    const PoolPlan plan = planner.plan(groups, workers, victims, options);
    BOOST_REQUIRE_EQUAL(plan.starts.size(), 1U);
    for (const std::uint32_t worker : plan.starts.front().workers) {
        BOOST_TEST(!workers[worker].slow);
    }
}

BOOST_AUTO_TEST_CASE(lastAttemptAvoidsWorkersWithoutAGoodRecord)
{
    // Guards against a job that fails because its last attempt went to a worker that had just failed another task.
    for (std::uint32_t worker = 1; worker < 8; ++worker) {
        workers[worker].takesLastAttempts = false;
    }
    addTasks(16, eighth, 2).lastAttempt = true;
    BOOST_TEST(startsOf(0) == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
