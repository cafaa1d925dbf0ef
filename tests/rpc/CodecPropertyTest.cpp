#include "support/RandomText.h"
#include "support/WireRoundTrip.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <tuple>

namespace banyanlock
{
namespace
{

WorkerIncarnation anyIncarnation()
{
    return {*rc::gen::resize(20, anyBytes()), *rc::gen::arbitrary<std::int64_t>()};
}

RunName anyRun()
{
    return {{*anyBytes(), *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint32_t>()},
            *rc::gen::arbitrary<std::uint32_t>()};
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedPropertySeed);

// Each property guards against texts that end at their first zero byte on the way to another process (review case 8).
BOOST_AUTO_TEST_SUITE(CodecPropertyTest)

BOOST_AUTO_TEST_CASE(supervisionRequestsKeepAllBytes)
{
    BOOST_TEST(rc::check([] {
        constexpr std::size_t maxPayload = 4000;
        SuperviseRequest request;
        request.epoch = 3;
        request.acknowledgedIncarnation = anyIncarnation();
        request.services = {*anyBytes(), *anyBytes()};
        TaskOrder order;
        order.run = anyRun();
        order.incarnation = anyIncarnation();
        order.payload = *anyJsonText(maxPayload);
        order.checkpoint = *anyBytes();
        request.orders = {order, order};
        const auto received = receivedAs<wire::SuperviseRequest>(request);
        RC_ASSERT(received.acknowledgedIncarnation == request.acknowledgedIncarnation);
        RC_ASSERT(received.services == request.services);
        RC_ASSERT(received.orders.size() == 2U);
        for (const TaskOrder &each : received.orders) {
            RC_ASSERT(each.run == order.run);
            RC_ASSERT(each.incarnation == order.incarnation);
            RC_ASSERT(each.payload == order.payload);
            RC_ASSERT(each.checkpoint == order.checkpoint);
        }
    }));
}

BOOST_AUTO_TEST_CASE(workerStatusesKeepAllBytes)
{
    BOOST_TEST(rc::check([] {
        WorkerStatus status;
        status.number = 4;
        status.worker.incarnation = anyIncarnation();
        status.worker.service = *anyBytes();
        status.worker.failureDomain = *rc::gen::resize(20, anyBytes());
        status.worker.labels = {*anyBytes(), *anyBytes()};
        status.runs = {{anyRun(), true, *anyBytes(), 50}};
        status.ends = {{7, anyRun(), RunEnding::Failed, *anyBytes()}};
        status.refusals = {{anyRun(), *anyBytes()}};
        const auto received = receivedAs<wire::WorkerStatus>(status);
        RC_ASSERT(received.worker == status.worker);
        RC_ASSERT(received.runs.front().run == status.runs.front().run);
        RC_ASSERT(received.runs.front().checkpoint == status.runs.front().checkpoint);
        RC_ASSERT(received.ends.front().run == status.ends.front().run);
        RC_ASSERT(received.ends.front().checkpoint == status.ends.front().checkpoint);
        RC_ASSERT(received.refusals.front().run == status.refusals.front().run);
        RC_ASSERT(received.refusals.front().reason == status.refusals.front().reason);
    }));
}

BOOST_AUTO_TEST_CASE(attemptsAndRepliesKeepAllBytes)
{
    BOOST_TEST(rc::check([] {
        AttemptMessage attempt;
        attempt.workspace = *anyBytes();
        attempt.service = *anyBytes();
        attempt.contentType = *anyBytes();
        attempt.body = std::make_shared<const std::string>(*anyBytes());
        const auto receivedAttempt = receivedAs<wire::Attempt>(attempt);
        RC_ASSERT(std::tie(receivedAttempt.workspace, receivedAttempt.service, receivedAttempt.contentType, *receivedAttempt.body)
                  == std::tie(attempt.workspace, attempt.service, attempt.contentType, *attempt.body));
        AttemptReply reply;
        reply.contentType = *anyBytes();
        reply.body = std::make_shared<const std::string>(*anyBytes());
        const auto receivedReply = receivedAs<wire::Reply>(reply);
        RC_ASSERT(std::tie(receivedReply.contentType, *receivedReply.body) == std::tie(reply.contentType, *reply.body));
    }));
}

BOOST_AUTO_TEST_CASE(announcementsAndHeartbeatsKeepAllBytes)
{
    BOOST_TEST(rc::check([] {
        Announcement announcement;
        announcement.agent = *anyBytes();
        announcement.service = *anyBytes();
        announcement.address = *anyBytes();
        announcement.failureDomain = *anyBytes();
        announcement.region = *anyBytes();
        const auto received = receivedAs<wire::Announcement>(announcement);
        RC_ASSERT(
            std::tie(received.agent, received.service, received.address, received.failureDomain, received.region)
            == std::tie(announcement.agent, announcement.service, announcement.address, announcement.failureDomain, announcement.region));
        PeerHeartbeat heartbeat;
        heartbeat.entry = *anyBytes();
        heartbeat.failureDomain = *anyBytes();
        heartbeat.region = *anyBytes();
        const auto peer = receivedAs<wire::PeerHeartbeat>(heartbeat);
        RC_ASSERT(std::tie(peer.entry, peer.failureDomain, peer.region)
                  == std::tie(heartbeat.entry, heartbeat.failureDomain, heartbeat.region));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
