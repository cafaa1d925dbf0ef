#include "ScheduleWorld.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

constexpr std::uint32_t longJobMilliseconds = 600000;

/// One failure domain with two racks of two workers with eight accelerators each.
ScheduleOptions makeOptions(bool compact)
{
    ScheduleOptions options;
    options.domains = 1;
    options.policy.compact = compact;
    return options;
}

void start(ScheduleWorld &world)
{
    world.putLimit("quotes", 32);
    world.putLimit("tracing", 32);
    world.acquireCell(0, 0);
    world.run(fromMilliseconds(2000));
}

JobSpec smallJob(std::uint32_t milliseconds, bool canCheckpoint)
{
    JobSpec spec;
    spec.workspace = "quotes";
    spec.name = "small";
    spec.shape = {1, 2, 1, 0, Adjacency::Worker};
    spec.canCheckpoint = canCheckpoint;
    spec.durationHintMilliseconds = milliseconds;
    return spec;
}

JobSpec wholeRack()
{
    JobSpec spec;
    spec.workspace = "tracing";
    spec.name = "large";
    spec.shape = {2, 8, 1, 0, Adjacency::Rack};
    spec.durationHintMilliseconds = 10000;
    return spec;
}

/// Fills both racks alternately with long and short small jobs, lets the short ones end and submits a gang that needs a whole rack. Returns
/// the waiting time of the gang.
Duration waitingTimeAmongLongJobs(ScheduleWorld &world)
{
    start(world);
    for (int job = 0; job < 16; ++job) {
        world.submit(smallJob(job % 2 == 0 ? longJobMilliseconds : 5000, true));
    }
    world.run(fromMilliseconds(15000));
    BOOST_TEST(world.freeAccelerators() == 16U);
    BOOST_TEST(world.freeInWholeRacks(2, 8) == 0U);
    const std::string large = world.submit(wholeRack());
    world.run(fromMilliseconds(50000));
    const TrackedJob &job = world.jobs().at(large);
    return job.startedAt.value_or(world.now()) - job.submittedAt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LargeGang)

BOOST_AUTO_TEST_CASE(smallGangsMoveToFreeRackForLargeGang)
{
    ScheduleWorld world(1, makeOptions(true));
    BOOST_TEST((waitingTimeAmongLongJobs(world) < fromMilliseconds(30000)));
    BOOST_TEST(world.counters().value(Counter::GangsMoved) > 0U);
    BOOST_TEST(world.counters().value(Counter::GangsPreempted) == 0U);
    BOOST_TEST(world.violations().empty());
    // The relocated gangs keep running: eight long jobs with two accelerators each.
    world.run(fromMilliseconds(20000));
    BOOST_TEST(world.acceleratorsInUse() == 16U);

    ScheduleWorld withoutCompaction(1, makeOptions(false));
    BOOST_TEST((waitingTimeAmongLongJobs(withoutCompaction) >= fromMilliseconds(50000)));
}

BOOST_AUTO_TEST_CASE(streamOfSmallJobsDoesNotStarveLargeGang)
{
    ScheduleWorld world(2, makeOptions(true));
    start(world);
    std::string large;
    for (int second = 0; second < 150; ++second) {
        for (int job = 0; job < 2; ++job) {
            world.submit(smallJob(9000, false));
        }
        if (second == 20) {
            large = world.submit(wholeRack());
        }
        world.run(fromMilliseconds(1000));
    }
    const TrackedJob &job = world.jobs().at(large);
    BOOST_TEST(job.startedAt.has_value());
    BOOST_TEST((job.startedAt.value_or(world.now()) - job.submittedAt < fromMilliseconds(90000)));
    BOOST_TEST(world.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
