#include "dispatch/AgentGate.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

const TimePoint start{fromMilliseconds(1000)};

struct Fixture {
    Counters counters;
    AgentGate gate{{7, 1, 1, 0}, counters};

    static AttemptMessage attempt(std::uint64_t sequence, Duration startWithin = fromMilliseconds(100))
    {
        AttemptMessage message;
        message.id = {1, sequence};
        message.agentIncarnation = 7;
        message.startBy = start + startWithin;
        message.body = std::make_shared<const std::string>("body");
        return message;
    }

    ResultCode onlyReply()
    {
        const std::vector<GateAction> actions = gate.takeActions();
        BOOST_REQUIRE(actions.size() == 1U);
        return std::get<SendReply>(actions[0]).reply.code;
    }

    std::size_t forwards()
    {
        std::size_t count = 0;
        for (const GateAction &action : gate.takeActions()) {
            count += std::holds_alternative<ForwardToBackend>(action) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentGateTest, Fixture)

BOOST_AUTO_TEST_CASE(attemptIsForwardedOnce)
{
    gate.offer(attempt(1), start);
    gate.offer(attempt(1), start);
    BOOST_TEST(forwards() == 1U);
}

BOOST_AUTO_TEST_CASE(overflowSlotsBoundTheQueueBeyondTheAnnouncedOne)
{
    AgentGate gateWithOverflow({7, 1, 1, 2}, counters);
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        gateWithOverflow.offer(attempt(sequence), start);
    }
    BOOST_TEST(gateWithOverflow.takeActions().size() == 1U);
    gateWithOverflow.offer(attempt(5), start);
    const std::vector<GateAction> actions = gateWithOverflow.takeActions();
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_TEST((std::get<SendReply>(actions[0]).reply.code == ResultCode::AgentFull));
}

BOOST_AUTO_TEST_CASE(fullAgentRefusesWithAgentFull)
{
    gate.offer(attempt(1), start);
    gate.offer(attempt(2), start);
    BOOST_TEST(forwards() == 1U);
    gate.offer(attempt(3), start);
    BOOST_TEST((onlyReply() == ResultCode::AgentFull));
}

BOOST_AUTO_TEST_CASE(expiredAttemptIsRefused)
{
    gate.offer(attempt(1), start + fromMilliseconds(100));
    BOOST_TEST((onlyReply() == ResultCode::AttemptExpired));
}

BOOST_AUTO_TEST_CASE(attemptPastItsRetentionIsNeitherRunNorRevoked)
{
    gate.offer(attempt(1), start + fromMilliseconds(31000));
    BOOST_TEST(gate.takeActions().empty());
    BOOST_TEST((gate.revoke({{1, 1}, 7, start}, start + fromMilliseconds(31000)) == RevocationState::Started));
}

BOOST_AUTO_TEST_CASE(revokedAttemptNeverStarts)
{
    BOOST_TEST((gate.revoke({{1, 1}, 7, start + fromMilliseconds(100)}, start) == RevocationState::Revoked));
    gate.offer(attempt(1), start);
    BOOST_TEST((onlyReply() == ResultCode::AttemptRevoked));
}

BOOST_AUTO_TEST_CASE(queuedAttemptCanBeRevokedAndARunningOneCannot)
{
    gate.offer(attempt(1), start);
    gate.offer(attempt(2), start);
    BOOST_TEST((gate.revoke({{1, 2}, 7, start}, start) == RevocationState::Revoked));
    BOOST_TEST((gate.revoke({{1, 1}, 7, start}, start) == RevocationState::Started));
    gate.finish({1, 1}, {ResultCode::Ok, 200, "", nullptr}, start);
    BOOST_TEST(forwards() == 1U);
}

BOOST_AUTO_TEST_CASE(drainingAgentRefusesNewAttemptsAndFinishesAcceptedOnes)
{
    gate.offer(attempt(1), start);
    gate.offer(attempt(2), start);
    gate.takeActions();
    gate.drain();
    gate.offer(attempt(3), start);
    BOOST_TEST((onlyReply() == ResultCode::AgentDraining));
    BOOST_TEST(!gate.mayStop());
    gate.finish({1, 1}, {ResultCode::Ok, 200, "", nullptr}, start);
    BOOST_TEST(!gate.mayStop());
    gate.finish({1, 2}, {ResultCode::Ok, 200, "", nullptr}, start);
    BOOST_TEST(gate.mayStop());
}

BOOST_AUTO_TEST_CASE(trackedAttemptsAreEvictedAfterTheirRetention)
{
    for (std::uint64_t sequence = 1; sequence <= 1000; ++sequence) {
        gate.offer(attempt(sequence), start);
        gate.finish({1, sequence}, {ResultCode::Ok, 200, "", nullptr}, start);
    }
    BOOST_TEST(gate.trackedAttempts() == 1000U);
    gate.expire(start + fromMilliseconds(30101));
    BOOST_TEST(gate.trackedAttempts() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
