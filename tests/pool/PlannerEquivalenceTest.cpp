#include "ReferencePlanner.h"
#include "core/Random.h"
#include "pool/PoolPlanner.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <vector>

namespace banyanlock
{
namespace
{

const std::vector<std::string> plainLabels{"a"};
const std::vector<std::string> specialLabels{"a", "special"};
const std::array<std::string, 2> services{"service0", "service1"};

/// A pool in a random state with random waiting and running units.
struct RandomPool {
    Random random;
    std::uint32_t size;
    std::uint32_t rackSize;
    bool oneService;
    std::list<GraphRecord> jobs;
    std::vector<PlanGroup> groups;
    std::vector<PlanWorker> workers;
    std::vector<PlanVictim> victims;

    explicit RandomPool(std::uint64_t seed)
        : random(seed)
        , size(1 + random.below(60))
        , rackSize(1 + random.below(9))
        , oneService(random.chance(0.7))
    {
        addWorkers();
        const std::uint32_t running = random.below(4 * size);
        for (std::uint32_t unit = 0; unit < running; ++unit) {
            addVictim();
        }
        const std::uint32_t waiting = 1 + random.below(25);
        for (std::uint32_t group = 0; group < waiting; ++group) {
            addGroup();
        }
    }

    void addWorkers()
    {
        for (std::uint32_t index = 0; index < size; ++index) {
            PlanWorker worker;
            worker.free = {128000, 262144, 8};
            worker.rack = "rack" + std::to_string(index / rackSize);
            worker.labels = random.chance(0.3) ? specialLabels : plainLabels;
            worker.service = services[oneService ? 0 : random.below(services.size())];
            worker.usable = random.chance(0.9);
            worker.suspect = random.chance(0.1);
            if (random.chance(0.1)) {
                worker.stopping = {16000, 1000, 1};
                worker.free -= worker.stopping;
            }
            workers.push_back(worker);
        }
    }

    void addVictim()
    {
        PlanVictim victim;
        const std::uint32_t members = random.chance(0.3) ? 1 + random.below(6) : 1;
        victim.demand = {random.below(40000), random.below(4000), random.below(4)};
        for (std::uint32_t member = 0; member < members; ++member) {
            const std::uint32_t place = random.below(size);
            victim.workers.push_back(place);
            workers[place].free -= victim.demand; // some workers end up with less than nothing, as after a loss of capacity
        }
        victim.priority = random.below(3);
        victim.guaranteed = victim.priority == 0 && random.chance(0.5);
        victim.lostWork = random.below(2000);
        victims.push_back(victim);
    }

    void addGroup()
    {
        GraphRecord job;
        job.id = "job" + std::to_string(jobs.size());
        job.terms.service = services[oneService ? 0 : random.below(services.size())];
        job.terms.priority = random.below(3);
        StepSpec step;
        step.tasks = 1 + random.below(12);
        step.gang = random.chance(0.5);
        step.preferOneRack = random.chance(0.5);
        step.demand = {random.below(60000), random.below(4000), random.below(9)};
        step.estimate = fromMilliseconds(500 + random.below(8000));
        step.requiredLabel = random.chance(0.15) ? "special" : "";
        step.spreadLimit = random.chance(0.15) ? 1 + random.below(2) : 0;
        step.homeRack = random.chance(0.2) ? "rack" + std::to_string(random.below(10)) : "";
        job.spec.steps = {step};
        jobs.push_back(job);
        PlanGroup group;
        group.job = &jobs.back();
        for (std::uint32_t index = 0; index < unitsOf(step); ++index) {
            group.indexes.push_back(index);
        }
        group.guaranteed = job.terms.priority == 0 && random.chance(0.5);
        group.waited = fromMilliseconds(random.below(12000));
        group.slack = fromMilliseconds(static_cast<std::int64_t>(random.below(8000)) - 2000);
        if (step.spreadLimit != 0) {
            for (std::uint32_t worker = 0; worker < size; ++worker) {
                group.onWorker.push_back(random.below(2));
            }
        }
        groups.push_back(group);
    }
};

std::string describe(const PoolPlan &plan)
{
    std::string text;
    for (const PlannedStart &start : plan.starts) {
        text += " start " + std::to_string(start.group) + "." + std::to_string(start.index) + " on";
        for (const std::uint32_t worker : start.workers) {
            text += " " + std::to_string(worker);
        }
    }
    for (const std::size_t victim : plan.stops) {
        text += " stop " + std::to_string(victim);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannerEquivalence)

BOOST_AUTO_TEST_CASE(decisionsEqualThoseOfTheReference)
{
    std::size_t starts = 0;
    std::size_t stops = 0;
    constexpr std::uint64_t pools = 3000;
    for (std::uint64_t seed = 1; seed <= pools; ++seed) {
        const RandomPool pool(seed);
        const PoolPlan expected = ReferencePlanner().plan(pool.groups, pool.workers, pool.victims);
        const PoolPlan plan = PoolPlanner().plan(pool.groups, pool.workers, pool.victims);
        BOOST_REQUIRE_MESSAGE(describe(plan) == describe(expected),
                              "seed " << seed << ":" << describe(plan) << " instead of" << describe(expected));
        starts += plan.starts.size();
        stops += plan.stops.size();
    }
    BOOST_TEST(starts > pools); // the pools are neither all full nor all empty
    BOOST_TEST(stops > pools / 10);
}

BOOST_AUTO_TEST_CASE(limitedPlanIsThePrefixOfACompleteOne)
{
    constexpr std::uint64_t pools = 300;
    std::size_t limited = 0;
    for (std::uint64_t seed = 1; seed <= pools; ++seed) {
        const RandomPool pool(seed);
        const PoolPlan complete = PoolPlanner().plan(pool.groups, pool.workers, pool.victims);
        PlannerPolicy policy;
        policy.maxStarts = 5;
        const PoolPlan plan = PoolPlanner(policy).plan(pool.groups, pool.workers, pool.victims);
        BOOST_REQUIRE(complete.complete);
        BOOST_REQUIRE(plan.starts.size() <= complete.starts.size());
        BOOST_REQUIRE(plan.complete || plan.starts.size() >= policy.maxStarts);
        for (std::size_t index = 0; index < plan.starts.size(); ++index) {
            BOOST_REQUIRE(plan.starts[index].workers == complete.starts[index].workers);
        }
        limited += plan.complete ? 0 : 1;
    }
    BOOST_TEST(limited > pools / 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
