#include "dispatch/RequestPipeline.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

const TimePoint start{fromMilliseconds(1000)};

struct Fixture {
    TimerService timers;
    Counters counters;
    RequestPipeline pipeline{{"fd", "region", 1}, CompletionTimePolicy(), timers, counters};

    Fixture()
    {
        pipeline.configure({{"w", 1000, 1000, 1}}, {}, start);
    }

    void announce(const std::string &agent, std::uint64_t incarnation, TimePoint now)
    {
        Announcement announcement;
        announcement.agent = agent;
        announcement.address = agent;
        announcement.incarnation = incarnation;
        announcement.service = "s";
        announcement.failureDomain = "fd";
        announcement.region = "region";
        announcement.slots = 8;
        announcement.load.clock = now;
        pipeline.onAnnouncement(announcement, now);
    }

    RequestHandle request(bool idempotent, const std::string &workspace = "w")
    {
        CallerRequest request;
        request.workspace = workspace;
        request.service = "s";
        request.idempotent = idempotent;
        request.timeout = fromMilliseconds(10000);
        return pipeline.start(std::move(request), start);
    }

    /// Returns the requests refused with a code since the last call.
    std::vector<RequestHandle> refusedWith(ResultCode code)
    {
        std::vector<RequestHandle> refused;
        for (const PipelineAction &action : pipeline.takeActions()) {
            const AnswerCaller *answer = std::get_if<AnswerCaller>(&action);
            if (answer != nullptr && answer->answer.code == code) {
                refused.push_back(answer->request);
            }
        }
        return refused;
    }

    /// Returns the addresses to which attempts were sent since the last call.
    std::vector<std::string> attempts()
    {
        std::vector<std::string> addresses;
        for (const PipelineAction &action : pipeline.takeActions()) {
            if (const SendAttempt *attempt = std::get_if<SendAttempt>(&action)) {
                addresses.push_back(attempt->address);
            }
        }
        return addresses;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestPipelineTest, Fixture)

BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedWhenItsAgentGoesStale)
{
    announce("silent", 1, start);
    request(true);
    BOOST_TEST(attempts() == std::vector<std::string>{"silent"});
    const TimePoint later = start + fromMilliseconds(1600);
    announce("other", 2, later);
    pipeline.expireMembers(later);
    BOOST_TEST(attempts() == std::vector<std::string>{"other"});
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestWaitsForItsStaleAgent)
{
    announce("silent", 1, start);
    request(false);
    attempts();
    const TimePoint later = start + fromMilliseconds(1600);
    announce("other", 2, later);
    pipeline.expireMembers(later);
    BOOST_TEST(attempts().empty());
}

BOOST_AUTO_TEST_CASE(disconnectedAgentGetsNoAttemptsUntilItsNextAnnouncement)
{
    announce("a", 1, start);
    pipeline.onDisconnected("a");
    request(true);
    BOOST_TEST(attempts().empty());
    announce("a", 1, start + fromMilliseconds(300));
    BOOST_TEST(attempts() == std::vector<std::string>{"a"});
}

BOOST_AUTO_TEST_CASE(claimAcquiredAfterTheDeadlineIsReleased)
{
    announce("a", 1, start);
    CallerRequest keyed;
    keyed.workspace = "w";
    keyed.service = "s";
    keyed.idempotencyKey = "k";
    keyed.timeout = fromMilliseconds(100);
    const RequestHandle handle = pipeline.start(std::move(keyed), start);
    std::vector<PipelineAction> actions = pipeline.takeActions();
    BOOST_REQUIRE(actions.size() == 1U);
    const KeyClaim claim = std::get<ClaimKey>(actions[0]).claim;
    timers.advanceTo(start + fromMilliseconds(200));
    pipeline.takeActions();
    pipeline.onClaimResult(handle, claim, {ClaimState::Acquired, {}}, start + fromMilliseconds(300));
    actions = pipeline.takeActions();
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_TEST(std::get<ReleaseClaim>(actions[0]).claim.holder == claim.holder);
}

BOOST_AUTO_TEST_CASE(workspaceThatFillsTheQueueDoesNotBlockOthers)
{
    pipeline.configure({{"w", 1e6, 1000, 1}, {"v", 1e6, 1000, 1}}, {}, start);
    announce("a", 1, start);
    const std::size_t filling = 8 + PipelineLimits().queueLimit;
    RequestHandle last = 0;
    for (std::size_t number = 0; number < filling; ++number) {
        last = request(true);
    }
    BOOST_TEST(refusedWith(ResultCode::QueueFull).empty());
    request(true, "v");
    BOOST_TEST(refusedWith(ResultCode::QueueFull) == std::vector<RequestHandle>{last});
    const RequestHandle beyond = request(true);
    BOOST_TEST(refusedWith(ResultCode::QueueFull) == std::vector<RequestHandle>{beyond});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
