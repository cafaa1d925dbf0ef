#include "headroom/PreemptionChurn.h"
#include "headroom/RestartBackOff.h"
#include "headroom/UrgentDemand.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(fromMilliseconds(1'000'000 + milliseconds));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HeadroomTest)

BOOST_AUTO_TEST_CASE(churnNeedsSeveralEarlyPreemptions)
{
    // Guards against holding room on deployments that preempt seldom, or only work that had run for long.
    PreemptionChurn churn;
    for (int number = 0; number < 10; ++number) {
        churn.add(fromMilliseconds(5000), at(number));
    }
    churn.add(fromMilliseconds(300), at(0));
    churn.add(fromMilliseconds(300), at(1000));
    churn.add(fromMilliseconds(300), at(40000)); // too long after the first
    BOOST_TEST(!churn.isActive(at(40000)));
    churn.add(fromMilliseconds(300), at(41000));
    churn.add(fromMilliseconds(300), at(42000));
    BOOST_TEST(churn.isActive(at(42000)));
    BOOST_TEST(churn.isActive(at(101999)));
    BOOST_TEST(!churn.isActive(at(102000)));
}

BOOST_AUTO_TEST_CASE(preemptedUnitWaitsLongerEachTime)
{
    // Guards against a unit that was stopped seven times within seconds because it started again where urgent gangs needed room.
    RestartBackOff backOff;
    const UnitKey key{0, 0, 3};
    std::int64_t now = 0;
    for (const std::int64_t delay : {500, 1000, 2000, 4000, 4000}) {
        backOff.add("job", key, at(now));
        BOOST_TEST(backOff.delayedUntil("job", key, at(now)).has_value());
        BOOST_TEST((*backOff.delayedUntil("job", key, at(now)) == at(now + delay)));
        BOOST_TEST(!backOff.delayedUntil("job", key, at(now + delay)).has_value());
        now += 10000;
    }
    BOOST_TEST(!backOff.delayedUntil("job", {0, 0, 4}, at(0)).has_value());
    backOff.forgetJob("job");
    BOOST_TEST(!backOff.delayedUntil("job", key, at(now - 10000)).has_value());
}

BOOST_AUTO_TEST_CASE(noRoomIsKeptWithoutRecurrentDemand)
{
    // Guards against a pool whose accelerators stand idle for urgent work that does not come.
    UrgentDemand demand;
    BOOST_TEST(demand.acceleratorsToKeep(at(0)) == 0);
    for (int number = 0; number < 3; ++number) {
        demand.addArrival(32, fromMilliseconds(2000), at(number));
    }
    BOOST_TEST(demand.acceleratorsToKeep(at(10)) == 0);
    demand.addArrival(32, fromMilliseconds(2000), at(20));
    BOOST_TEST(demand.acceleratorsToKeep(at(20)) > 0);
    BOOST_TEST(demand.acceleratorsToKeep(at(16000)) == 0);
}

BOOST_AUTO_TEST_CASE(keptRoomFollowsArrivalsAndRunTimes)
{
    // Guards against too little room for the usual overlap of urgent gangs, and against idling a large part of the pool.
    UrgentDemand demand;
    for (std::int64_t number = 0; number <= 20; ++number) {
        demand.addArrival(24, fromMilliseconds(2000), at(number * 750));
    }
    // 1.33 gangs a second of 24 accelerators for 2 s: 64 on the mean.
    const std::int64_t kept = demand.acceleratorsToKeep(at(15000));
    BOOST_TEST(kept >= 64);
    BOOST_TEST(kept <= 128);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
