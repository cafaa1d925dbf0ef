#include "dispatch/FairQueue.h"
#include "dispatch/AdmissionControl.h"
#include "dispatch/RetryBudget.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{

BOOST_AUTO_TEST_SUITE(FairQueueTest)

BOOST_AUTO_TEST_CASE(burstDoesNotDelayOtherWorkspaces)
{
    FairQueue queue;
    for (RequestHandle request = 0; request < 100; ++request) {
        queue.pushBack("burst", request);
    }
    queue.pushBack("quiet", 1000);
    int taken = 0;
    while (queue.front() != RequestHandle(1000)) {
        queue.popFront(1);
        ++taken;
    }
    BOOST_TEST(taken <= 1);
}

BOOST_AUTO_TEST_CASE(turnsFollowTheWeights)
{
    FairQueue queue;
    for (RequestHandle request = 0; request < 400; ++request) {
        queue.pushBack(request % 2 == 0 ? "heavy" : "light", request);
    }
    int heavy = 0;
    for (int turn = 0; turn < 110; ++turn) {
        const bool isHeavy = *queue.front() % 2 == 0;
        heavy += isHeavy ? 1 : 0;
        queue.popFront(isHeavy ? 10 : 1);
    }
    BOOST_TEST(heavy >= 99);
    BOOST_TEST(heavy <= 101);
}

BOOST_AUTO_TEST_CASE(idleWorkspaceEarnsNoCredit)
{
    FairQueue queue;
    queue.pushBack("idle", 1);
    queue.popFront(1);
    for (RequestHandle request = 10; request < 60; ++request) {
        queue.pushBack("busy", request);
    }
    for (int turn = 0; turn < 40; ++turn) {
        queue.popFront(1);
    }
    for (RequestHandle request = 100; request < 110; ++request) {
        queue.pushBack("idle", request);
    }
    for (int turn = 0; turn < 10; ++turn) {
        queue.popFront(1);
    }
    // Both workspaces are served alternately; the idle one is not compensated for the forty turns before.
    BOOST_TEST(queue.sizeOf("idle") >= 4U);
    BOOST_TEST(queue.sizeOf("idle") <= 6U);
}

BOOST_AUTO_TEST_CASE(backOfLongestQueueIsItsLastRequest)
{
    FairQueue queue;
    BOOST_TEST(!queue.backOfLongestQueue().has_value());
    queue.pushBack("short", 1);
    queue.pushBack("long", 2);
    queue.pushBack("long", 3);
    BOOST_TEST((queue.backOfLongestQueue() == RequestHandle(3)));
}

BOOST_AUTO_TEST_CASE(removedRequestIsNoLongerQueued)
{
    FairQueue queue;
    queue.pushBack("a", 1);
    BOOST_TEST(queue.remove("a", 1));
    BOOST_TEST(!queue.remove("a", 1));
    BOOST_TEST(!queue.front().has_value());
}

BOOST_AUTO_TEST_CASE(retriesStayWithinTheirShareOfFirstAttempts)
{
    RetryBudget budget(0.1, 20);
    int retries = 0;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        budget.onFirstAttempt();
        retries += budget.takeRetry() ? 1 : 0;
    }
    BOOST_TEST(retries <= 120);
    BOOST_TEST(retries >= 110);
}

BOOST_AUTO_TEST_CASE(limitsOfOneWorkspaceDoNotAffectOthers)
{
    AdmissionControl admission;
    const std::vector<WorkspaceLimits> limits{{"small", 2, 10, 1}, {"large", 1000, 1, 1}};
    admission.configure(limits);
    const TimePoint now(fromMilliseconds(5000));
    BOOST_TEST((admission.admit("small", now) == ResultCode::Ok));
    BOOST_TEST((admission.admit("small", now) == ResultCode::Ok));
    BOOST_TEST((admission.admit("small", now) == ResultCode::RateLimited));
    BOOST_TEST((admission.admit("large", now) == ResultCode::Ok));
    BOOST_TEST((admission.admit("large", now) == ResultCode::InFlightLimited));
    admission.release("large");
    BOOST_TEST((admission.admit("large", now) == ResultCode::Ok));
    BOOST_TEST((admission.admit("small", now + fromMilliseconds(500)) == ResultCode::Ok));
    BOOST_TEST((admission.admit("nobody", now) == ResultCode::UnknownWorkspace));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
