#include "pool/WorkerSupervisor.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <variant>
#include <vector>

namespace banyanlock
{
namespace
{

const WorkerIncarnation incarnation{"worker", 1};
const RunName firstRun{{"job", 0, 0, 0}, 1};

/// A supervisor with a known worker, an owner, and one start that got no answer.
struct Fixture {
    Counters counters;
    WorkerSupervisor supervisor{7, SupervisorTiming(), counters};
    TimePoint now{std::chrono::seconds(100)};
    TimePoint startBy{};

    Fixture()
    {
        announce(1, false);
        SuperviseRequest hello;
        hello.epoch = 1;
        supervisor.onSupervise(hello, now);
        answerLooks();
        startBy = now + fromMilliseconds(1500);
        SuperviseRequest request;
        request.epoch = 1;
        request.renews = true;
        request.validUntil = now + fromMilliseconds(1000);
        request.batch = 1;
        TaskOrder order;
        order.run = firstRun;
        order.incarnation = incarnation;
        order.startBy = startBy;
        request.orders = {order};
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
        announcement.incarnation = incarnation;
        announcement.sequence = sequence;
        announcement.draining = draining;
        supervisor.onAnnouncement(announcement);
    }

    /// @return The starts among the actions that wait.
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

    /// @return The stops that are sent now.
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

    /// Answers each look with lists that show nothing; starts and stops get no answer.
    void answerLooks()
    {
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                WorkerLists lists;
                lists.startedUnixMilliseconds = incarnation.startedUnixMilliseconds;
                supervisor.onLists(*renewal, {lists, false}, now);
            } else if (const StopTask *stop = std::get_if<StopTask>(&action)) {
                supervisor.onStopped(*stop, OrderOutcome::Unknown, now);
            } else if (const StartTask *start = std::get_if<StartTask>(&action)) {
                supervisor.onStarted(*start, OrderOutcome::Unknown, "", now);
            }
        }
    }

    bool mayStillStart() const
    {
        return !supervisor.status(now, 0).runs.empty();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerSupervisorTest, Fixture)

BOOST_AUTO_TEST_CASE(anUnansweredStartIsOpenUntilItsLimitAlsoWhileTheWorkerDrains)
{
    announce(2, true);
    while (now < startBy) {
        answerLooks();
        BOOST_TEST(mayStillStart());
        now += fromMilliseconds(100);
    }
    for (int look = 0; look < 10; ++look) {
        now += fromMilliseconds(100);
        answerLooks();
    }
    BOOST_TEST(!mayStillStart());
}

BOOST_AUTO_TEST_CASE(anUnansweredStartIsSentAgainAndKeepsItsGangWhole)
{
    now += fromMilliseconds(120);
    const std::vector<StartTask> copies = takeStarts();
    BOOST_REQUIRE_EQUAL(copies.size(), 1U);
    BOOST_TEST((copies.front().run == firstRun));
    supervisor.onStarted(copies.front(), OrderOutcome::Done, "", now);
    BOOST_TEST(mayStillStart());
    BOOST_TEST(takeStops().empty());
}

BOOST_AUTO_TEST_CASE(anAnsweredStartIsToldAsBegunBeforeTheNextLists)
{
    // Found by himal-recall-grown, scale-2: lists come up to a second later, and the owner stopped gangs that were whole.
    const std::vector<StartTask> copies = takeStarts();
    BOOST_REQUIRE_EQUAL(copies.size(), 1U);
    supervisor.onStarted(copies.front(), OrderOutcome::Done, "", now);
    const WorkerStatus status = supervisor.status(now, 0);
    BOOST_REQUIRE_EQUAL(status.runs.size(), 1U);
    BOOST_TEST(!status.runs.front().starting);
}

BOOST_AUTO_TEST_CASE(aRefusedCopyOfAStartIsClosedByAStop)
{
    const std::vector<StartTask> copies = takeStarts();
    BOOST_REQUIRE_EQUAL(copies.size(), 1U);
    supervisor.onStarted(copies.front(), OrderOutcome::Refused, "status 503", now);
    BOOST_TEST(mayStillStart()); // the first copy may still begin
    BOOST_TEST(takeStops().size() == 1U);
}

BOOST_AUTO_TEST_CASE(aStartIsNotSentAgainOnceTheWorkerDrains)
{
    const std::vector<StartTask> copies = takeStarts();
    BOOST_REQUIRE_EQUAL(copies.size(), 1U);
    announce(2, true);
    supervisor.onStarted(copies.front(), OrderOutcome::Unknown, "", now);
    BOOST_TEST(takeStarts().empty());
    BOOST_TEST(takeStops().size() == 1U);
}

BOOST_AUTO_TEST_CASE(listsThatNewerOnesHaveOvertakenHideNoRun)
{
    // The fixture's waiting look was answered by the worker before the start, but the answer comes after newer lists.
    supervisor.step(now);
    std::optional<RenewWorker> earlier;
    for (const SupervisorAction &action : supervisor.takeActions()) {
        if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
            earlier = *renewal;
        } else if (const StartTask *start = std::get_if<StartTask>(&action)) {
            supervisor.onStarted(*start, OrderOutcome::Done, "", now);
        }
    }
    BOOST_REQUIRE(earlier.has_value());
    WorkerLists newer;
    newer.startedUnixMilliseconds = incarnation.startedUnixMilliseconds;
    newer.clock = fromMilliseconds(20);
    newer.runs = {{firstRun, false, {}}};
    RenewWorker later = *earlier;
    later.sentAt = now + fromMilliseconds(10);
    now += fromMilliseconds(12);
    supervisor.onLists(later, {newer, false}, now);
    WorkerLists older;
    older.startedUnixMilliseconds = incarnation.startedUnixMilliseconds;
    older.clock = fromMilliseconds(5);
    supervisor.onLists(*earlier, {older, false}, now + fromMilliseconds(1));
    BOOST_TEST(mayStillStart());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
