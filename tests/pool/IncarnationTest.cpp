#include "PoolWorld.h"
#include "WorldChecks.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{

BOOST_AUTO_TEST_SUITE(IncarnationTest)

BOOST_AUTO_TEST_CASE(startDeliveredToNewIncarnationRunsOnceAlthoughAgentRestarts)
{
    // The new process of the agent does not know which orders of its predecessor are still in flight.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            WorldOptions options;
            options.seed = seed;
            PoolWorld world(options);
            world.run(fromMilliseconds(4100));
            for (std::size_t worker = 0; worker < world.workerCount(); ++worker) {
                world.worker(worker).rebirth(world.now());
            }
            world.setLateOrderRate(1.0);
            world.submit("job1", makeJob(makeStep(12, 1, 15000)), "normal");
            world.run(fromMilliseconds(250));
            world.setLateOrderRate(0.0);
            for (std::size_t worker = 0; worker < world.workerCount(); ++worker) {
                world.restartAgent(worker);
            }
            world.run(fromMilliseconds(40000));
            checkCompleted(world, "job1");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
