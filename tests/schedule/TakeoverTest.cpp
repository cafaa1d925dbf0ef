#include "ScheduleWorld.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

constexpr std::uint64_t takeoverCount = 100;
constexpr std::uint32_t minTakeoverDelayMilliseconds = 3500; // heartbeat age at which a peer counts as failed, plus one poll interval
constexpr std::uint32_t takeoverDelaySpreadMilliseconds = 1500; // duration of the takeover transaction, with a slow table service

/// Starts a gang on four workers in a cell owned by the first entry.
std::string startGang(ScheduleWorld &world)
{
    world.putLimit("audits", 32);
    world.acquireCell(0, 0);
    world.run(fromMilliseconds(2000));
    JobSpec spec;
    spec.workspace = "audits";
    spec.name = "stains";
    spec.shape.tasks = 4;
    spec.shape.accelerators = 8;
    spec.durationHintMilliseconds = 60000;
    std::string job = world.submit(spec);
    world.run(fromMilliseconds(3000));
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Takeover)

// Guards against leases that expire before another entry has detected the failure of a frozen owner and acquired its cell.
BOOST_AUTO_TEST_CASE(gangSurvivesFrozenOwner)
{
    for (std::uint64_t seed = 1; seed <= takeoverCount; ++seed) {
        ScheduleOptions options;
        options.domains = 1;
        ScheduleWorld world(seed, options);
        const std::string job = startGang(world);
        BOOST_TEST((world.stateOf(job) == JobState::Running), "seed " << seed);
        world.run(fromMilliseconds(world.random().below(1000)));
        world.freezeEntry(0, fromMilliseconds(30000));
        world.run(fromMilliseconds(minTakeoverDelayMilliseconds + world.random().below(takeoverDelaySpreadMilliseconds)));
        world.acquireCell(1, 0);
        world.run(fromMilliseconds(40000));
        BOOST_TEST((world.stateOf(job) == JobState::Running), "seed " << seed);
        BOOST_TEST(world.runOf(job) == 1U, "seed " << seed);
        BOOST_TEST(world.violations().empty(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
