#include "shares/ShareTable.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

using namespace banyanlock;

namespace
{

const Resources pool{100'000, 100'000, 100};
constexpr Duration second = fromMilliseconds(1000);

} // namespace

BOOST_AUTO_TEST_SUITE(ShareTableTest)

// Guards against shares that count only processors: a workspace that takes all accelerators would look frugal.
BOOST_AUTO_TEST_CASE(shareIsThatOfTheDominantResource)
{
    ShareTable table;
    for (int round = 0; round < 100; ++round) {
        table.advance(second);
        table.use("cores", {30'000, 1'000, 0}, second, pool);
        table.use("accelerators", {1'000, 1'000, 60}, second, pool);
    }
    BOOST_TEST(std::abs(table.shareOf("cores") - 0.3) < 0.001);
    BOOST_TEST(std::abs(table.shareOf("accelerators") - 0.6) < 0.001);
    BOOST_TEST(std::abs(table.total() - 0.9) < 0.002);
    BOOST_TEST(table.shareOf("unknown") == 0.0);
}

// Guards against a share that depends on how often the owner plans, and against one that remembers past use for minutes.
BOOST_AUTO_TEST_CASE(decayDependsOnTimeOnly)
{
    ShareTable coarse;
    coarse.advance(10 * second);
    coarse.use("a", {50'000, 0, 0}, 10 * second, pool);
    ShareTable fine;
    for (int round = 0; round < 1000; ++round) {
        fine.advance(fromMilliseconds(10));
        fine.use("a", {50'000, 0, 0}, fromMilliseconds(10), pool);
    }
    BOOST_TEST(std::abs(coarse.shareOf("a") - 0.5 * (1.0 - std::exp(-1.0))) < 1e-9);
    BOOST_TEST(std::abs(coarse.shareOf("a") - fine.shareOf("a")) < 1e-6);
    fine.advance(10 * second);
    BOOST_TEST(std::abs(fine.shareOf("a") - coarse.shareOf("a") * std::exp(-1.0)) < 1e-6);
    fine.advance(200 * second);
    BOOST_TEST(fine.total() == 0.0);
}

// Guards against shares that are negative, above one or not a number after a clock jump, a shrunken pool or wrong reports.
BOOST_AUTO_TEST_CASE(badInputLeavesSharesWithinTheirRange)
{
    ShareTable table;
    table.use("a", {50'000, 0, 0}, 5 * second, pool);
    const double before = table.shareOf("a");
    table.advance(-second);
    table.use("a", {50'000, 0, 0}, -second, pool);
    table.use("a", {-50'000, -1, -1}, second, pool);
    table.use("a", {1, 1, 1}, second, {});
    BOOST_TEST(table.shareOf("a") == before);
    table.use("a", {std::numeric_limits<std::int64_t>::max(), 0, 0}, Duration::max(), pool);
    BOOST_TEST(table.shareOf("a") <= 1.0);
    table.advance(Duration::max());
    BOOST_TEST(table.shareOf("a") == 0.0);
}

// Guards against aged groups that take the pool over: their work may exceed a fiftieth of the pool's capacity by one start only.
BOOST_AUTO_TEST_CASE(budgetBoundsTheWorkOfAgedGroups)
{
    const Resources cores{100'000, 0, 0}; // a credit of 2 core-seconds per second
    AgeingBudget budget;
    BOOST_TEST(!budget.isDue());
    double started = 0.0;
    for (int tick = 0; tick < 1000; ++tick) {
        budget.accrue(fromMilliseconds(100), cores);
        if (budget.isDue()) {
            budget.charge(40.0);
            started += 40.0;
        }
    }
    BOOST_TEST(started <= 200.0 + 40.0);
    BOOST_TEST(started >= 200.0);
    budget.charge(std::numeric_limits<double>::quiet_NaN());
    budget.accrue(fromMilliseconds(3'600'000), cores);
    BOOST_TEST(budget.isDue());
    budget.charge(20.0); // credit for 10 s at most
    BOOST_TEST(!budget.isDue());
}

BOOST_AUTO_TEST_SUITE_END()
