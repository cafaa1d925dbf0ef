#include "runtimes/WorkerSpeeds.h"
#include "core/Random.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{
namespace
{

/// A pool on which steps of independent tasks run; the true speeds are hidden from the decision.
struct Pool {
    static constexpr std::uint32_t workers = 58;

    Random random;
    WorkerSpeeds speeds;
    std::vector<double> slowdowns;

    Pool(std::uint64_t seed, double slowdown)
        : random(seed)
    {
        for (std::uint32_t worker = 0; worker < workers; ++worker) {
            slowdowns.push_back(worker % 3 == 2 ? slowdown : 1.0);
        }
    }

    static std::string nameOf(std::uint32_t worker)
    {
        return "agent" + std::to_string(worker);
    }

    /// Runs steps of 40 tasks on random workers. Tasks of a step differ by 15 %; 3 in 100 take seven times as long.
    void runSteps(std::uint32_t steps)
    {
        for (std::uint32_t step = 0; step < steps; ++step) {
            const double base = 4e6 + random.unit() * 8e6;
            for (std::uint32_t task = 0; task < 40; ++task) {
                const std::uint32_t worker = random.below(workers);
                const double uneven = 0.85 + 0.3 * random.unit();
                const double straggles = random.chance(0.03) ? 7.0 : 1.0;
                const Duration projected(static_cast<std::int64_t>(base * uneven * straggles * slowdowns[worker]));
                speeds.addTask({"job" + std::to_string(step), 0}, nameOf(worker), task, projected);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerSpeedsTest)

BOOST_AUTO_TEST_CASE(slowWorkersAreFound)
{
    // Guards against urgent gangs that miss their objective because one member runs on a worker that takes 1.3 times as long.
    int found = 0;
    int wrong = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Pool pool(seed, 1.3);
        pool.runSteps(15); // ten tasks a worker
        BOOST_TEST(pool.speeds.areUneven());
        for (std::uint32_t worker = 0; worker < Pool::workers; ++worker) {
            const bool slow = pool.speeds.isSlow(Pool::nameOf(worker));
            found += slow && worker % 3 == 2 ? 1 : 0;
            wrong += slow && worker % 3 != 2 ? 1 : 0;
        }
    }
    BOOST_TEST(found > 20 * 19 * 3 / 4); // of 19 slow workers: three in four, so that a gang of four finds fast workers
    BOOST_TEST(wrong < 20 * 39 / 10); // of 39 others: a tenth, so that the fast part of the pool stays usable
}

BOOST_AUTO_TEST_CASE(equalWorkersAreNotUneven)
{
    // Guards against a change of placement on pools whose workers are alike.
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Pool pool(seed, 1.0);
        for (int round = 0; round < 10; ++round) {
            pool.runSteps(4);
            BOOST_TEST(!pool.speeds.areUneven());
        }
    }
}

BOOST_AUTO_TEST_CASE(faultyWorkerIsNotMerelySlow)
{
    // Guards against work of low priority being sent to a worker that takes eight times as long.
    Pool pool(3, 8.0);
    pool.runSteps(20);
    BOOST_TEST(pool.speeds.isFaulty(Pool::nameOf(2)));
    BOOST_TEST(!pool.speeds.isSlow(Pool::nameOf(2)));
    BOOST_TEST(!pool.speeds.isFaulty(Pool::nameOf(0)));
}

BOOST_AUTO_TEST_CASE(fewTasksProveNothing)
{
    // Guards against conclusions from a step whose tasks can't be compared.
    WorkerSpeeds speeds;
    for (std::uint32_t task = 0; task < 3; ++task) {
        speeds.addTask({"job", 0}, "agent", task, fromMilliseconds(9000));
    }
    BOOST_TEST(speeds.slowdownOf("agent") == 1.0);
    speeds.addTask({"job", 0}, "agent", 3, Duration::zero());
    BOOST_TEST(speeds.slowdownOf("agent") == 1.0);
}

BOOST_AUTO_TEST_CASE(evidenceOutlastsItsJobs)
{
    // Guards against an owner that grows with each job, and against one that forgets its slow workers when a job ends.
    Pool pool(5, 1.3);
    pool.runSteps(15);
    for (int step = 0; step < 15; ++step) {
        pool.speeds.forgetJob("job" + std::to_string(step));
    }
    BOOST_TEST(pool.speeds.areUneven());
    pool.speeds.addTask({"job0", 0}, "agent0", 0, fromMilliseconds(1000)); // counts again, since the step is forgotten
    pool.speeds.forgetJobs();
    BOOST_TEST(pool.speeds.areUneven());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
