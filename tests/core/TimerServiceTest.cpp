#include "core/TimerService.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(fromMilliseconds(milliseconds));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TimerServiceTest)

BOOST_AUTO_TEST_CASE(firesInOrderOfDeadlineThenOfSubscription)
{
    TimerService timers;
    std::string order;
    timers.subscribe(at(20), [&](TimePoint) {
        order += 'c';
    });
    timers.subscribe(at(10), [&](TimePoint) {
        order += 'a';
    });
    timers.subscribe(at(10), [&](TimePoint) {
        order += 'b';
    });
    timers.advanceTo(at(15));
    BOOST_TEST(order == "ab");
    timers.advanceTo(at(20));
    BOOST_TEST(order == "abc");
    BOOST_TEST(timers.size() == 0U);
}

BOOST_AUTO_TEST_CASE(cancelledSubscriptionNeverFires)
{
    TimerService timers;
    bool fired = false;
    const TimerId id = timers.subscribe(at(10), [&](TimePoint) {
        fired = true;
    });
    timers.cancel(id);
    timers.cancel(id);
    timers.advanceTo(at(100));
    BOOST_TEST(!fired);
}

BOOST_AUTO_TEST_CASE(idOfAFiredSubscriptionCancelsNoOther)
{
    TimerService timers;
    int fired = 0;
    const TimerId first = timers.subscribe(at(10), [&](TimePoint) {
        ++fired;
    });
    timers.advanceTo(at(10));
    timers.subscribe(at(20), [&](TimePoint) {
        ++fired;
    });
    timers.cancel(first);
    timers.advanceTo(at(20));
    BOOST_TEST(fired == 2);
}

BOOST_AUTO_TEST_CASE(callbackMaySubscribeAgain)
{
    TimerService timers;
    int fired = 0;
    std::function<void(TimePoint)> again = [&](TimePoint now) {
        if (++fired < 3) {
            timers.subscribe(now, again);
        }
    };
    timers.subscribe(at(1), again);
    timers.advanceTo(at(1));
    BOOST_TEST(fired == 3);
    BOOST_TEST(!timers.nextDeadline().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
