// Instances that are suspended while they are cut off. The clock of the worker there stands still meanwhile.

#include "PoolWorld.h"
#include "WorldChecks.h"

#include <boost/test/unit_test.hpp>

using namespace banyanlock;

namespace
{

constexpr Duration startupTime = fromMilliseconds(3000);

/// A pool in which each of six workers runs two long tasks, and the instance of one of them.
struct InstanceUnderLoad {
    static constexpr std::size_t instance = 0;
    static constexpr std::uint32_t tasks = 12;
    PoolWorld world;

    explicit InstanceUnderLoad(std::uint64_t seed)
        : world(optionsOf(seed))
    {
        constexpr std::int64_t milliseconds = 40000;
        world.run(startupTime);
        world.submit("job", makeJob(makeStep(tasks, 1, milliseconds)), "normal");
        world.run(fromMilliseconds(2000 + static_cast<std::int64_t>(seed) * 97)); // another time since the last renewal for each seed
        BOOST_REQUIRE(world.startsOf("job") == tasks);
    }

    static WorldOptions optionsOf(std::uint64_t seed)
    {
        WorldOptions options;
        options.seed = seed;
        options.workerClockRate = 0.98;
        return options;
    }

    void suspendFor(Duration span)
    {
        world.suspendInstance(instance);
        world.run(span);
        world.resumeInstance(instance);
    }

    void checkRunElsewhereOnce()
    {
        world.run(fromMilliseconds(12000));
        BOOST_TEST(world.startsOf("job") > tasks);
        checkNoViolations(world);
    }
};

constexpr std::uint64_t seeds = 10;

} // namespace

BOOST_AUTO_TEST_SUITE(Suspension)

// Two runs of a task: the lease of a suspended worker outlasted the owner's wait (review case 13).
BOOST_AUTO_TEST_CASE(tasksOfAnInstanceThatIsSuspendedBehindACutRunOnce)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        // From right after the cut to the end of the lease.
        for (const std::int64_t delay : {300, 1000, 2000, 3000, 4000, 4600, 5000, 5500, 5900}) {
            BOOST_TEST_CONTEXT("seed " << seed << ", suspended " << delay << " ms after the cut")
            {
                InstanceUnderLoad load(seed);
                load.world.partitionAgentFromEntries(InstanceUnderLoad::instance, true);
                load.world.run(fromMilliseconds(delay));
                load.suspendFor(PoolTiming().maxSuspension);
                load.checkRunElsewhereOnce();
            }
        }
    }
}

// The same by two suspensions of one lease.
BOOST_AUTO_TEST_CASE(tasksOfAnInstanceThatIsSuspendedTwiceBehindACutRunOnce)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            InstanceUnderLoad load(seed);
            load.world.partitionAgentFromEntries(InstanceUnderLoad::instance, true);
            load.world.run(fromMilliseconds(300));
            load.suspendFor(PoolTiming().maxSuspension / 2);
            load.world.run(fromMilliseconds(static_cast<std::int64_t>(seed) * 300));
            load.suspendFor(PoolTiming().maxSuspension / 2);
            load.checkRunElsewhereOnce();
        }
    }
}

// A suspension that is longer than the owner allows for: the agent stops the tasks as soon as it runs again.
BOOST_AUTO_TEST_CASE(tasksAreStoppedAfterASuspensionThatOutlastsTheRenewal)
{
    InstanceUnderLoad load(1);
    load.world.partitionAgentFromEntries(InstanceUnderLoad::instance, true);
    load.world.run(fromMilliseconds(500));
    load.suspendFor(fromMilliseconds(7000));
    load.world.run(fromMilliseconds(200));
    BOOST_TEST(load.world.worker(InstanceUnderLoad::instance).runningCount() == 0U);
    load.checkRunElsewhereOnce();
}

// Work lost: an instance that is suspended but not cut off keeps its tasks.
BOOST_AUTO_TEST_CASE(tasksSurviveASuspensionWithoutACut)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        InstanceUnderLoad load(seed);
        load.suspendFor(PoolTiming().maxSuspension);
        load.world.run(fromMilliseconds(12000));
        BOOST_TEST(load.world.startsOf("job") == InstanceUnderLoad::tasks);
        checkNoViolations(load.world);
    }
}

BOOST_AUTO_TEST_SUITE_END()
