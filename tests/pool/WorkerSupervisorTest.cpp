#include "pool/WorkerSupervisor.h"
#include "SupervisorMessages.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <variant>
#include <vector>

namespace banyanlock
{
namespace
{

const WorkerIncarnation workerIncarnation{"worker", 1};
const RunName firstRun{{"job", 0, 0, 0}, 1};

/// A supervisor with a known worker and an owner. One start was ordered and got no answer, so the supervisor has queued a resend.
struct Fixture {
    Counters counters;
    WorkerSupervisor supervisor{7, SupervisorTiming(), counters};
    TimePoint now{std::chrono::seconds(100)};
    const TimePoint bornAt = now;
    TimePoint startBy{};

    Fixture()
    {
        supervisor.onRegistered(1);
        announce(1, false);
        SuperviseRequest firstRequest;
        firstRequest.epoch = 1;
        supervisor.onSupervise(firstRequest, now);
        answerWithEmptyLists();
        SuperviseRequest request = makeStartRequest(firstRun, workerIncarnation, 1, now);
        request.renews = true;
        startBy = request.orders.front().startBy;
        supervisor.onSupervise(request, now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const StartTask *start = std::get_if<StartTask>(&action)) {
                supervisor.onStarted(*start, OrderOutcome::Unknown, "", now);
            }
        }
    }

    void announce(std::uint64_t sequence, bool draining)
    {
        WorkerAnnouncement announcement;
        announcement.incarnation = workerIncarnation;
        announcement.sequence = sequence;
        announcement.draining = draining;
        supervisor.onAnnouncement(announcement);
    }

    /// @return The starts among the collected actions.
    std::vector<StartTask> takeStarts()
    {
        std::vector<StartTask> starts;
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const StartTask *start = std::get_if<StartTask>(&action)) {
                starts.push_back(*start);
            }
        }
        return starts;
    }

    /// @return The stops that are due now.
    std::vector<StopTask> takeStops()
    {
        std::vector<StopTask> stops;
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const StopTask *stop = std::get_if<StopTask>(&action)) {
                stops.push_back(*stop);
            }
        }
        return stops;
    }

    /// Orders another start, without renewing.
    /// @return Its start deadline.
    TimePoint orderSecondStart()
    {
        const SuperviseRequest request = makeStartRequest({{"job", 0, 0, 1}, 1}, workerIncarnation, 2, now);
        supervisor.onSupervise(request, now);
        return request.orders.front().startBy;
    }

    /// Confirms the starts that are due now.
    /// @return The renewal that is due now, if any.
    std::optional<RenewWorker> takePollAndConfirmStarts()
    {
        supervisor.step(now);
        std::optional<RenewWorker> poll;
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                poll = *renewal;
            } else if (const StartTask *start = std::get_if<StartTask>(&action)) {
                supervisor.onStarted(*start, OrderOutcome::Done, "", now);
            }
        }
        return poll;
    }

    /// Answers each renewal with empty lists; starts and stops get no answer.
    void answerWithEmptyLists()
    {
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                WorkerLists lists;
                lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
                lists.clock = now - bornAt;
                supervisor.onLists(*renewal, {lists, {}}, now);
            } else if (const StopTask *stop = std::get_if<StopTask>(&action)) {
                supervisor.onStopped(*stop, OrderOutcome::Unknown, now);
            } else if (const StartTask *start = std::get_if<StartTask>(&action)) {
                supervisor.onStarted(*start, OrderOutcome::Unknown, "", now);
            }
        }
    }

    bool isRunReported() const
    {
        return !supervisor.status(now, 0).runs.empty();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerSupervisorTest, Fixture)

BOOST_AUTO_TEST_CASE(unansweredStartIsReportedUntilItsLimitWhileWorkerDrains)
{
    announce(2, true);
    while (now < startBy) {
        answerWithEmptyLists();
        BOOST_TEST(isRunReported());
        now += fromMilliseconds(100);
    }
    for (int poll = 0; poll < 10; ++poll) {
        now += fromMilliseconds(100);
        answerWithEmptyLists();
    }
    BOOST_TEST(!isRunReported());
}

BOOST_AUTO_TEST_CASE(unansweredStartIsResentWithoutStop)
{
    now += fromMilliseconds(120);
    const std::vector<StartTask> resentStarts = takeStarts();
    BOOST_REQUIRE_EQUAL(resentStarts.size(), 1U);
    BOOST_TEST((resentStarts.front().run == firstRun));
    supervisor.onStarted(resentStarts.front(), OrderOutcome::Done, "", now);
    BOOST_TEST(isRunReported());
    BOOST_TEST(takeStops().empty());
}

BOOST_AUTO_TEST_CASE(confirmedStartIsReportedAsRunningBeforeNextLists)
{
    // Guards against stopping complete gangs: the lists that show a started run arrive up to 1 s after the worker has confirmed the start,
    // and until then the owner took the member for missing.
    const std::vector<StartTask> resentStarts = takeStarts();
    BOOST_REQUIRE_EQUAL(resentStarts.size(), 1U);
    supervisor.onStarted(resentStarts.front(), OrderOutcome::Done, "", now);
    const WorkerStatus status = supervisor.status(now, 0);
    BOOST_REQUIRE_EQUAL(status.runs.size(), 1U);
    BOOST_TEST(!status.runs.front().starting);
}

BOOST_AUTO_TEST_CASE(refusedResendOfStartIsFollowedByStop)
{
    const std::vector<StartTask> resentStarts = takeStarts();
    BOOST_REQUIRE_EQUAL(resentStarts.size(), 1U);
    supervisor.onStarted(resentStarts.front(), OrderOutcome::Refused, "status 503", now);
    BOOST_TEST(isRunReported()); // the first order may still be executed
    BOOST_TEST(takeStops().size() == 1U);
}

BOOST_AUTO_TEST_CASE(startIsNotResentToDrainingWorker)
{
    const std::vector<StartTask> resentStarts = takeStarts();
    BOOST_REQUIRE_EQUAL(resentStarts.size(), 1U);
    announce(2, true);
    supervisor.onStarted(resentStarts.front(), OrderOutcome::Unknown, "", now);
    BOOST_TEST(takeStarts().empty());
    BOOST_TEST(takeStops().size() == 1U);
}

BOOST_AUTO_TEST_CASE(outdatedListsDoNotHideRun)
{
    // The worker answers the fixture's pending renewal before it executes the start, but this answer arrives after newer lists.
    const std::optional<RenewWorker> earlier = takePollAndConfirmStarts();
    BOOST_REQUIRE(earlier.has_value());
    WorkerLists newer;
    newer.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    newer.clock = fromMilliseconds(20);
    newer.runs = {{firstRun, false, {}}};
    RenewWorker later = *earlier;
    later.sentAt = now + fromMilliseconds(10);
    now += fromMilliseconds(12);
    supervisor.onLists(later, {newer, {}}, now);
    WorkerLists older;
    older.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    older.clock = fromMilliseconds(5);
    supervisor.onLists(*earlier, {older, {}}, now + fromMilliseconds(1));
    BOOST_TEST(isRunReported());
}

BOOST_AUTO_TEST_CASE(listsOfTheSameMillisecondDoNotHideRun)
{
    // The worker answers a poll before it executes the start, but within the millisecond of newer lists, which arrive first.
    const std::optional<RenewWorker> poll = takePollAndConfirmStarts();
    BOOST_REQUIRE(poll.has_value());
    WorkerLists newer;
    newer.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    newer.clock = fromMilliseconds(20);
    newer.runs = {{firstRun, false, {}}};
    supervisor.onLists(*poll, {newer, {}}, now + fromMilliseconds(2));
    RenewWorker other = *poll;
    other.sentAt = now + fromMilliseconds(1);
    WorkerLists older = newer;
    older.runs.clear();
    supervisor.onLists(other, {older, {}}, now + fromMilliseconds(3));
    BOOST_TEST(isRunReported());
}

BOOST_AUTO_TEST_CASE(listsOfTheSameMillisecondAreNotTakenForThoseOfLaterEpoch)
{
    // Lists that were made before the worker heard of a new owner don't prove that it refuses the starts of the earlier one.
    supervisor.step(now);
    std::optional<RenewWorker> poll;
    for (const SupervisorAction &action : supervisor.takeActions()) {
        if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
            poll = *renewal;
        }
    }
    BOOST_REQUIRE(poll.has_value());
    WorkerLists lists;
    lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    lists.clock = fromMilliseconds(20);
    supervisor.onLists(*poll, {lists, {}}, now + fromMilliseconds(2));
    RenewWorker ofNewOwner = *poll;
    ofNewOwner.epoch = 2;
    ofNewOwner.sentAt = now + fromMilliseconds(1);
    const RunName ofEarlierOwner{{"job", 0, 0, 9}, 1};
    lists.runs = {{ofEarlierOwner, false, {}}};
    supervisor.onLists(ofNewOwner, {lists, {}}, now + fromMilliseconds(3));
    const WorkerStatus status = supervisor.status(now, 0);
    const bool reported = std::ranges::count(status.runs, ofEarlierOwner, &RunReport::run) != 0;
    BOOST_TEST((reported || status.runsKnownEpoch < 2));
}

BOOST_AUTO_TEST_CASE(startIsRefusedWhileListsAreOutdated)
{
    now += SupervisorTiming().silenceTimeout + fromMilliseconds(1);
    takeStarts();
    orderSecondStart();
    BOOST_TEST(takeStarts().empty());
}

BOOST_AUTO_TEST_CASE(leaseIsNotTakenForExpiredWhileStartMayStillTakeEffect)
{
    // A start extends the lease of everything on the worker up to its deadline.
    supervisor.step(now);
    std::optional<RenewWorker> poll;
    for (const SupervisorAction &action : supervisor.takeActions()) {
        if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
            poll = *renewal;
        }
    }
    BOOST_REQUIRE(poll.has_value());
    const SupervisorTiming timing;
    const TimePoint lastLists = now + timing.lease - fromMilliseconds(1000);
    WorkerLists lists;
    lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    lists.clock = lastLists - now;
    supervisor.onLists(*poll, {lists, {}}, lastLists); // later renewals carry no lease, since the owner is out of contact
    now = lastLists + timing.silenceTimeout - fromMilliseconds(100);
    const TimePoint secondStartBy = orderSecondStart();
    BOOST_REQUIRE_EQUAL(takeStarts().size(), 1U);
    while (now < secondStartBy) {
        supervisor.step(now);
        supervisor.takeActions();
        BOOST_TEST(!supervisor.status(now, 0).leaseExpired);
        now += fromMilliseconds(100);
    }
}

// Two runs of a task: the agent took the lease of a silent worker for expired although the worker's clock had stood still.
BOOST_AUTO_TEST_CASE(leaseOfASilentWorkerLastsLongerByASuspension)
{
    answerWithEmptyLists();
    supervisor.step(now); // renews the lease
    supervisor.takeActions();
    const SupervisorTiming timing;
    const TimePoint renewed = now;
    constexpr Duration suspension = fromMilliseconds(4000);
    now += suspension;
    supervisor.onSuspended(suspension);
    const auto hasExpired = [&] {
        supervisor.step(now);
        supervisor.takeActions();
        return supervisor.status(now, 0).leaseExpired;
    };
    for (; now < renewed + timing.lease + suspension; now += fromMilliseconds(100)) {
        BOOST_TEST(!hasExpired());
    }
    now += timing.leaseSlack + fromMilliseconds(1);
    BOOST_TEST(hasExpired());
}

// Two runs of a task: a run worked on after the owner's renewal had expired (review case 13).
BOOST_AUTO_TEST_CASE(runWhoseRenewalHasExpiredIsStopped)
{
    BOOST_REQUIRE(takePollAndConfirmStarts().has_value());
    now += SupervisorTiming().lease;
    BOOST_TEST(takeStops().empty());
    now += fromMilliseconds(1);
    const std::vector<StopTask> stops = takeStops();
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    BOOST_TEST((stops.front().run == firstRun));
}

// The same after a delayed call: the owner counts the lease from the time at which it sent the renewal.
BOOST_AUTO_TEST_CASE(delayedRenewalCountsFromTheTimeAtWhichItWasSent)
{
    const std::optional<RenewWorker> poll = takePollAndConfirmStarts();
    BOOST_REQUIRE(poll.has_value());
    now += fromMilliseconds(1000);
    WorkerLists lists;
    lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    lists.clock = now - bornAt;
    lists.runs = {{firstRun, false, {}}};
    supervisor.onLists(*poll, {lists, {}}, now);
    BOOST_TEST(takeStops().empty());
    const Duration delay = callValidity / 2;
    SuperviseRequest renewal;
    renewal.epoch = 1;
    renewal.renews = true;
    renewal.knownIncarnation = supervisor.status(now, 0).agentIncarnation;
    renewal.validUntil = now - delay + callValidity;
    supervisor.onSupervise(renewal, now);
    now += SupervisorTiming().lease - delay;
    BOOST_TEST(takeStops().empty());
    now += fromMilliseconds(1);
    BOOST_TEST(takeStops().size() == 1U);
}

BOOST_AUTO_TEST_CASE(unansweredStartIsKeptUntilWorkerClockHasPassedItsDeadline)
{
    // The worker's clock may be behind the agent's estimate after a suspension.
    const std::vector<StartTask> starts = takeStarts();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    announce(2, true);
    supervisor.onStarted(starts.front(), OrderOutcome::Unknown, "", now);
    now = startBy + fromMilliseconds(1000);
    const auto answer = [&](Duration clock) {
        RenewWorker poll;
        poll.epoch = 1;
        poll.incarnation = workerIncarnation;
        poll.sentAt = now;
        WorkerLists lists;
        lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
        lists.clock = clock;
        now += fromMilliseconds(1);
        supervisor.onLists(poll, {lists, {}}, now);
    };
    answer(starts.front().startBy - fromMilliseconds(500));
    BOOST_TEST(isRunReported());
    answer(starts.front().startBy + fromMilliseconds(1));
    BOOST_TEST(!isRunReported());
}

BOOST_AUTO_TEST_CASE(leaseIsRenewedAtOnceWhenOwnerIsInContactAgain)
{
    // The owner renews only once the agent has reported the worker's runs; a request that waits for an end is in flight by then.
    supervisor.step(now);
    supervisor.takeActions();
    now += SupervisorTiming().lease / 2 + fromMilliseconds(1);
    RenewWorker poll;
    poll.epoch = 1;
    poll.incarnation = workerIncarnation;
    poll.sentAt = now - fromMilliseconds(1);
    WorkerLists lists;
    lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    lists.clock = fromMilliseconds(3000);
    supervisor.onLists(poll, {lists, {}}, now);
    supervisor.step(now);
    supervisor.takeActions();
    now += fromMilliseconds(100);
    SuperviseRequest request;
    request.epoch = 1;
    request.renews = true;
    request.validUntil = now + fromMilliseconds(1000);
    supervisor.onSupervise(request, now);
    supervisor.step(now);
    bool renewed = false;
    for (const SupervisorAction &action : supervisor.takeActions()) {
        const RenewWorker *renewal = std::get_if<RenewWorker>(&action);
        renewed = renewed || (renewal != nullptr && renewal->leaseEnd.has_value());
    }
    BOOST_TEST(renewed);
}

BOOST_AUTO_TEST_CASE(ordersForEarlierProcessAreNotCountedAsReceived)
{
    constexpr std::uint64_t batchOfPredecessor = 58;
    SuperviseRequest request;
    request.epoch = 1;
    request.validUntil = now + fromMilliseconds(1000);
    request.knownIncarnation = 6; // the predecessor's
    request.batch = batchOfPredecessor;
    supervisor.onSupervise(request, now);
    BOOST_TEST(supervisor.status(now, 0).lastOrderBatch < batchOfPredecessor);
}

BOOST_AUTO_TEST_CASE(unregisteredProcessFindsTokenThatIsNotLowerThanThatOfItsPredecessor)
{
    // The predecessor has raised its token after its last status, so the worker refuses the token that the owner returns.
    constexpr std::uint64_t returnedFence = 4100;
    constexpr int maxTries = 20;
    WorkerSupervisor successor{8, SupervisorTiming(), counters};
    WorkerAnnouncement announcement;
    announcement.incarnation = workerIncarnation;
    announcement.sequence = 1;
    successor.onAnnouncement(announcement);
    SuperviseRequest request;
    request.epoch = 1;
    request.acknowledgedIncarnation = workerIncarnation;
    request.workerFence = returnedFence;
    successor.onSupervise(request, now);
    std::uint64_t fence = 0;
    for (int i = 0; i < maxTries; ++i) {
        successor.step(now);
        for (const SupervisorAction &action : successor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                fence = renewal->fence;
                successor.onLists(*renewal, RenewalAnswer(), now); // refused
            }
        }
        now += SupervisorTiming().retryInterval;
    }
    BOOST_TEST(fence > returnedFence);
}

BOOST_AUTO_TEST_CASE(fencingTokensOfTwoRegistrationsDiffer)
{
    // The tokens of a registration are used up while the table service is down.
    constexpr int moreThanAllTokens = 5000;
    std::uint64_t fence = 0;
    for (int i = 0; i < moreThanAllTokens; ++i) {
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                fence = std::max(fence, renewal->fence);
                supervisor.onLists(*renewal, RenewalAnswer(), now);
            }
        }
        now += SupervisorTiming().retryInterval;
    }
    WorkerSupervisor successor{8, SupervisorTiming(), counters};
    successor.onRegistered(2);
    BOOST_TEST(fence < successor.status(now, 0).workerFence);
}

BOOST_AUTO_TEST_CASE(statusChangesWhenStoppedStartProvesNeverExecuted)
{
    // Guards against a run that its owner waits for forever: the status omitted the run but kept its number.
    const std::vector<StartTask> starts = takeStarts();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    announce(2, true);
    supervisor.onStarted(starts.front(), OrderOutcome::Unknown, "", now);
    const std::vector<StopTask> stops = takeStops();
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    supervisor.onStopped(stops.front(), OrderOutcome::Done, now);
    BOOST_TEST(isRunReported());
    const std::uint64_t number = supervisor.status(now, 0).number;
    now += fromMilliseconds(10);
    RenewWorker poll;
    poll.epoch = 1;
    poll.incarnation = workerIncarnation;
    poll.sentAt = now;
    WorkerLists lists;
    lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
    lists.clock = now - bornAt;
    supervisor.onLists(poll, {lists, {}}, now + fromMilliseconds(1));
    BOOST_TEST(!isRunReported());
    BOOST_TEST(supervisor.status(now, 0).number > number);
}

// Guards against a status that looks complete after the listed ends of a worker with more ends have been acknowledged (review case 2).
BOOST_AUTO_TEST_CASE(statusTellsThatEndsMayFollowTheAcknowledgedOnes)
{
    const auto answerWithEnds = [&](std::uint64_t first, std::uint64_t last) {
        now += fromMilliseconds(300);
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                BOOST_TEST((renewal->wait == Duration::zero()));
                WorkerLists lists;
                lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
                lists.clock = now - bornAt;
                for (std::uint64_t end = first; end <= last; ++end) {
                    lists.ends.push_back({end, {{"other", 0, 0, static_cast<std::uint32_t>(end)}, 1}, RunEnding::Succeeded, {}});
                }
                supervisor.onLists(*renewal, {lists, {}}, now);
            }
        }
    };
    SuperviseRequest request;
    request.epoch = 1;
    request.acknowledgedIncarnation = workerIncarnation;
    now += fromMilliseconds(2000);
    answerWithEnds(1, maxListedEnds);
    BOOST_TEST(supervisor.status(now, 0).endsTruncated);
    request.acknowledgedEnd = maxListedEnds;
    supervisor.onSupervise(request, now);
    BOOST_TEST(supervisor.status(now, 0).ends.empty());
    BOOST_TEST(supervisor.status(now, 0).endsTruncated);
    const std::uint64_t number = supervisor.status(now, 0).number;
    answerWithEnds(maxListedEnds + 1, maxListedEnds + 1);
    BOOST_TEST(!supervisor.status(now, 0).endsTruncated);
    BOOST_TEST(supervisor.status(now, 0).number > number);
}

// Guards against a start after its run has ended: a copy of the start that got no answer can arrive at the next incarnation of the worker,
// before the agent's first call to it (review case 3).
BOOST_AUTO_TEST_CASE(endIsAcknowledgedOnlyWhenNoCopyOfItsStartCanArriveAnyMore)
{
    const TimePoint unansweredAt = now;
    BOOST_REQUIRE(takePollAndConfirmStarts().has_value()); // the second copy is answered
    SuperviseRequest request;
    request.epoch = 1;
    request.renews = true;
    request.acknowledgedIncarnation = workerIncarnation;
    std::uint64_t acknowledged = 0;
    std::size_t polls = 0;
    while (now < unansweredAt + SupervisorTiming().lateCallLimit + fromMilliseconds(500)) {
        now += fromMilliseconds(50);
        request.validUntil = now + fromMilliseconds(1000);
        supervisor.onSupervise(request, now);
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                ++polls;
                acknowledged = renewal->acknowledgedEnd;
                BOOST_TEST((acknowledged == 0 || now > unansweredAt + SupervisorTiming().lateCallLimit));
                WorkerLists lists;
                lists.startedUnixMilliseconds = workerIncarnation.startedUnixMilliseconds;
                lists.clock = now - bornAt;
                if (acknowledged == 0) {
                    lists.ends = {{1, firstRun, RunEnding::Succeeded, {}}, {2, {{"other", 0, 0, 0}, 1}, RunEnding::Succeeded, {}}};
                }
                supervisor.onLists(*renewal, {lists, {}}, now);
            }
        }
        for (const RunEnd &end : supervisor.status(now, 0).ends) {
            request.acknowledgedEnd = std::max(request.acknowledgedEnd, end.number);
        }
    }
    BOOST_TEST(supervisor.status(now, 0).ends.empty()); // acknowledged ends are not reported again
    BOOST_TEST(acknowledged == 2U);
    BOOST_TEST(polls < 80U); // the worker answers at once while it has ends to list
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
