#include "pool/WorkerSupervisor.h"

#include <boost/test/unit_test.hpp>
#include <variant>

namespace banyanlock
{
namespace
{

const WorkerLife life{"worker", 1};
const RunName firstRun{{"job", 0, 0, 0}, 1};

/// A supervisor with a known worker, an owner, and one start that got no answer.
struct Fixture {
    Counters counters;
    WorkerSupervisor supervisor{7, SupervisorTimes(), counters};
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
        order.life = life;
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
        announcement.life = life;
        announcement.sequence = sequence;
        announcement.draining = draining;
        supervisor.onAnnouncement(announcement);
    }

    /// Answers each look with lists that show nothing; stops get no answer.
    void answerLooks()
    {
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                WorkerLists lists;
                lists.bornUnixMilliseconds = life.bornUnixMilliseconds;
                supervisor.onLists(*renewal, {lists, false}, now);
            } else if (const StopTask *stop = std::get_if<StopTask>(&action)) {
                supervisor.onStopped(*stop, OrderOutcome::Unknown, now);
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
