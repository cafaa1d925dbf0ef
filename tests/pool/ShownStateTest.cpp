// What entries show callers of jobs during faults.

#include "PoolWorld.h"
#include "WorldChecks.h"

#include <boost/test/unit_test.hpp>

using namespace banyanlock;

namespace
{

constexpr Duration startupTime = fromMilliseconds(3000);

} // namespace

BOOST_AUTO_TEST_SUITE(ShownState)

BOOST_AUTO_TEST_CASE(unrecordedCompletionIsNotReported)
{
    // Guards against reporting unrecorded state: during a store outage the owner reported a job as completed from memory and then
    // crashed, and the next owner ran the job again.
    PoolWorld world({});
    world.run(startupTime);
    world.submit("job1", makeJob(makeStep(2, 1, 2000)), "normal");
    world.run(fromMilliseconds(1000));
    const std::size_t owner = world.owner();
    world.tableService().down = true;
    world.run(fromMilliseconds(2000));
    world.queryState("job1", owner);
    world.run(fromMilliseconds(10));
    checkShownAs(world, "job1", GraphState::Running);
    world.tableService().down = false;
    world.run(fromMilliseconds(1000));
    BOOST_TEST(world.owner() == owner);
    world.queryState("job1", owner);
    world.run(fromMilliseconds(200));
    checkShownAs(world, "job1", GraphState::Completed);
}

// Guards against an entry that answers a query right after a suspension from what it knew before (soak seed 9500111).
BOOST_AUTO_TEST_CASE(jobThatHasEndedIsNotShownAsRunningByAnEntryThatWasSuspended)
{
    PoolWorld world({});
    world.run(startupTime);
    const std::size_t owner = world.owner();
    const std::size_t other = (owner + 1) % 3;
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", owner);
    world.run(fromMilliseconds(500));
    world.freezeEntry(other, true);
    world.queryState("job1", other); // reaches the entry before the end of the job does
    world.run(fromMilliseconds(3000));
    BOOST_REQUIRE(world.stateOf("job1") == GraphState::Completed);
    world.freezeEntry(other, false);
    world.run(fromMilliseconds(1000));
    checkShownAs(world, "job1", GraphState::Completed);
}

// Guards against jobs that are not counted as pending although none of their tasks has started: their workers became unreachable just
// before they were placed (review case 5).
BOOST_AUTO_TEST_CASE(placedJobThatHasNotBegunIsPending)
{
    PoolWorld world({});
    world.run(startupTime);
    for (std::size_t worker = 0; worker < world.workerCount(); ++worker) {
        world.partitionAgentFromEntries(worker, true);
    }
    world.submit("job1", makeJob(makeStep(2, 1, 2000)), "normal");
    world.run(fromMilliseconds(3000));
    for (std::size_t entry = 0; entry < 3; ++entry) {
        BOOST_TEST(world.pendingOf("normal", entry) == 1U);
    }
    for (std::size_t worker = 0; worker < world.workerCount(); ++worker) {
        world.partitionAgentFromEntries(worker, false);
    }
    world.run(fromMilliseconds(4000));
    for (std::size_t entry = 0; entry < 3; ++entry) {
        BOOST_TEST(world.pendingOf("normal", entry) == 0U);
    }
    world.run(fromMilliseconds(10000));
    checkCompleted(world, "job1");
}

BOOST_AUTO_TEST_SUITE_END()
