#include "interference/CoRunLog.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace banyanlock;

namespace
{

constexpr std::uint64_t worker = 7;
constexpr Duration window = fromMilliseconds(10000);

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(fromMilliseconds(milliseconds));
}

double exposureOf(const std::optional<std::vector<Neighbour>> &beside, std::uint32_t kind)
{
    BOOST_TEST_REQUIRE(beside.has_value());
    const auto found = std::ranges::find(*beside, kind, &Neighbour::kind);
    return found == beside->end() ? 0.0 : found->exposure;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CoRunLogTest)

// Guards against counting a neighbour that was there for a part of the run as if it had been there all the time.
BOOST_AUTO_TEST_CASE(exposureIsTheTimeWeightedNumberOfNeighbours)
{
    CoRunLog log;
    log.start(worker, 1, 0, at(0), window);
    log.start(worker, 2, 5, at(1000), window);
    log.start(worker, 3, 5, at(2000), window);
    log.end(worker, 2, at(3000));
    const auto beside = log.end(worker, 1, at(4000));
    BOOST_TEST(exposureOf(beside, 5) == 1.0, boost::test_tools::tolerance(1e-9)); // 1 s and 2 s of 4 s, by two tasks
    BOOST_TEST(exposureOf(beside, 0) == 0.0); // a run isn't its own neighbour
    BOOST_TEST(exposureOf(log.end(worker, 3, at(4000)), 0) == 1.0, boost::test_tools::tolerance(1e-9));
}

// Guards against blaming tasks that a straggler meets after its siblings have ended.
BOOST_AUTO_TEST_CASE(neighboursAfterTheWindowDoNotCount)
{
    CoRunLog log;
    log.start(worker, 1, 0, at(0), fromMilliseconds(2000));
    log.start(worker, 2, 5, at(1000), window);
    log.start(worker, 3, 6, at(2500), window);
    const auto beside = log.end(worker, 1, at(14000));
    BOOST_TEST(exposureOf(beside, 5) == 0.5, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(exposureOf(beside, 6) == 0.0);
}

// Guards against wrong exposures when events are repeated, late, unknown, or refer to runs of an earlier owner.
BOOST_AUTO_TEST_CASE(oddEventsAreIgnored)
{
    CoRunLog log;
    BOOST_TEST(!log.end(worker, 1, at(0)).has_value());
    log.start(worker, 1, 0, at(1000), Duration::zero()); // started under an earlier owner
    log.start(worker, 2, 1, at(1000), window);
    log.start(worker, 2, 1, at(2000), window);
    log.start(worker, 3, 2, at(500), window); // an event that arrives late
    BOOST_TEST(log.kindsOn(worker).size() == 3U);
    BOOST_TEST(!log.end(worker, 9, at(2000)).has_value());
    BOOST_TEST(!log.end(worker, 1, at(3000)).has_value());
    BOOST_TEST(exposureOf(log.end(worker, 2, at(3000)), 0) == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(!log.end(worker, 2, at(3000)).has_value());
    log.dropWorker(worker);
    BOOST_TEST(log.kindsOn(worker).empty());
}

// Guards against memory that grows with what workers report.
BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    CoRunLog log;
    for (std::uint64_t run = 0; run < 2 * CoRunLog::maxRunsOnWorker; ++run) {
        log.start(worker, run, static_cast<std::uint32_t>(run), at(0), window);
    }
    BOOST_TEST(log.kindsOn(worker).size() == CoRunLog::maxRunsOnWorker);
    const auto beside = log.end(worker, 0, at(1000));
    BOOST_TEST_REQUIRE(beside.has_value());
    BOOST_TEST(beside->size() == CoRunLog::maxKindsBeside);
    for (std::uint64_t other = 0; other < CoRunLog::maxWorkers + 10; ++other) {
        log.start(other, 1000, 0, at(2000), window);
    }
    BOOST_TEST(log.kindsOn(CoRunLog::maxWorkers + 5).empty());
}

BOOST_AUTO_TEST_SUITE_END()
