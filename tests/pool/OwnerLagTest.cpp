#include "pool/OwnerLag.h"
#include "PoolWorld.h"

#include <boost/test/unit_test.hpp>

using namespace banyanlock;

namespace
{

constexpr Duration startupTime = fromMilliseconds(3000);
constexpr Duration shortLag = fromMilliseconds(800);
constexpr Duration longLag = fromMilliseconds(9000);
constexpr Duration renewalTime = fromMilliseconds(700); // the owner's row is renewed each 0.3 s

QueueTerms termsWith(double slackFactor, Duration targetLatency)
{
    QueueTerms terms;
    terms.slackFactor = slackFactor;
    terms.targetLatency = targetLatency;
    return terms;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OwnerLagTest)

BOOST_AUTO_TEST_CASE(longestDelayIsKeptForOneToTwoSeconds)
{
    TimePoint now{std::chrono::seconds(1000)};
    OwnerLag lag;
    lag.record(longLag, now);
    lag.record(shortLag, now);
    BOOST_TEST(lag.value(now + fromMilliseconds(900)).count() == longLag.count());
    BOOST_TEST(lag.value(now + fromMilliseconds(2500)).count() == 0);
}

BOOST_AUTO_TEST_CASE(jobIsRefusedOnlyIfItsResultWouldComeTooLateToBeOfUse)
{
    // An objective of 2 x 2.5 s + 0.5 s: a result is of use for 16.5 s, and the job itself takes 2.5 s.
    const GraphSpec spec = makeJob(makeStep(8, 1, 2500));
    const QueueTerms terms = termsWith(2.0, fromMilliseconds(500));
    BOOST_TEST(!refuseForLag(spec, terms, fromMilliseconds(14000)).has_value());
    BOOST_TEST(refuseForLag(spec, terms, fromMilliseconds(14100)).has_value());
    BOOST_TEST(!refuseForLag(spec, terms, Duration::zero()).has_value());
    const GraphSpec instant = makeJob(makeStep(1, 1, 0));
    BOOST_TEST(!refuseForLag(instant, termsWith(1.0, Duration::zero()), shortLag).has_value());
    GraphSpec scheduled = spec;
    scheduled.repetition = {2, 1, 1000}; // its latency counts from its due times
    BOOST_TEST(!refuseForLag(scheduled, terms, fromMilliseconds(60000)).has_value());
}

BOOST_AUTO_TEST_CASE(overloadedPoolRefusesAtOnceWhatItCanNotServeInTime)
{
    PoolWorld world({});
    world.run(startupTime);
    world.delayOwner(longLag);
    world.run(renewalTime);
    const GraphSpec shortJob = makeJob(makeStep(2, 1, 300)); // objective of 1.1 s
    const GraphSpec longJob = makeJob(makeStep(2, 1, 5000));
    world.submit("short", shortJob, "urgent", 1);
    world.submit("long", longJob, "urgent", 1);
    world.run(fromMilliseconds(100));
    BOOST_TEST(static_cast<int>(world.answerFor("short").outcome) == static_cast<int>(CallOutcome::Overloaded));
    BOOST_TEST(world.answerFor("short").retryAfter.count() == longLag.count());
    BOOST_TEST(static_cast<int>(world.answerFor("long").outcome) == static_cast<int>(CallOutcome::Accepted));
    world.run(fromMilliseconds(4000)); // the owner has caught up
    BOOST_TEST(world.startsOf("short") == 0U);
    world.submit("short", shortJob, "urgent", 1);
    world.run(fromMilliseconds(8000));
    BOOST_TEST(static_cast<int>(world.stateOf("short")) == static_cast<int>(GraphState::Completed));
    BOOST_TEST(static_cast<int>(world.stateOf("long")) == static_cast<int>(GraphState::Completed));
    for (const std::string &violation : world.violations()) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
