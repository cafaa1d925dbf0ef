#include "PoolWorld.h"
#include "SupervisorMessages.h"
#include "WorldChecks.h"
#include "pool/WorkerSupervisor.h"
#include "support/Seeds.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

namespace banyanlock
{
namespace
{

constexpr std::uint64_t worldSeedCount = 30;

/// A supervisor with an owner, and the worker at its address, which answers at once.
struct AgentAndWorker {
    Counters counters;
    WorkerSupervisor supervisor{7, SupervisorTiming(), counters};
    TimePoint now{std::chrono::seconds(100)};
    WorkerIncarnation worker{"worker", 1'700'000'000'000};
    std::vector<std::string> services{"quote"}; // those that the owner's configuration names
    std::uint64_t sequence = 0;
    bool answers = true;

    AgentAndWorker()
    {
        supervisor.onRegistered(1);
    }

    void announce()
    {
        supervisor.onAnnouncement(makeAnnouncement(worker, "quote", ++sequence));
    }

    RenewalAnswer answerTo(const RenewWorker &renewal) const
    {
        if (!answers) {
            return {};
        }
        if (renewal.incarnation.worker != worker.worker) {
            return {std::nullopt, RenewalFailure::OtherWorker};
        }
        WorkerLists lists;
        lists.startedUnixMilliseconds = worker.startedUnixMilliseconds;
        lists.clock = now.time_since_epoch();
        return {lists, {}};
    }

    /// Lets the agent send what is due, and answers it.
    /// @return Number of calls for another incarnation than the worker's.
    std::size_t step()
    {
        std::size_t otherCalls = 0;
        supervisor.step(now);
        for (const SupervisorAction &action : supervisor.takeActions()) {
            if (const RenewWorker *renewal = std::get_if<RenewWorker>(&action)) {
                otherCalls += renewal->incarnation == worker ? 0 : 1;
                supervisor.onLists(*renewal, answerTo(*renewal), now);
            }
        }
        return otherCalls;
    }

    /// Runs the agent for a time in which the owner calls it and the worker announces itself every second.
    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += fromMilliseconds(10)) {
            if (now.time_since_epoch() % fromMilliseconds(1000) == Duration::zero()) {
                announce();
                SuperviseRequest request;
                request.epoch = 1;
                request.renews = true;
                request.validUntil = now + fromMilliseconds(1000);
                request.services = services;
                supervisor.onSupervise(request, now);
            }
            step();
        }
    }

    /// @return Whether the owner is told to use the worker, with its own service and capacity.
    bool isUsed() const
    {
        const WorkerStatus status = supervisor.status(now, 0);
        return status.runsKnown && status.answering && !status.unfenced && status.worker.incarnation == worker
            && status.worker.service == "quote" && !status.worker.draining && status.worker.capacity.accelerators == 8;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForeignAnnouncementTest, AgentAndWorker)

// Guards against a foreign announcement that displaces the worker for good (review case 6).
BOOST_AUTO_TEST_CASE(announcementOfAnotherWriterDoesNotDisplaceTheWorker)
{
    run(fromMilliseconds(3000));
    BOOST_REQUIRE(isUsed());
    supervisor.onAnnouncement(makeAnnouncement({"other", worker.startedUnixMilliseconds + 5000}, "other-service", 1));
    BOOST_TEST(isUsed());
    run(fromMilliseconds(100));
    BOOST_TEST(isUsed());
    BOOST_TEST(counters.value(Counter::PoolAnnouncementsUnconfirmed) == 1U);
    run(fromMilliseconds(10000));
    BOOST_TEST(isUsed());
}

// Guards against the same under the worker's own id, with a later birth and the highest sequence number.
BOOST_AUTO_TEST_CASE(announcementUnderTheIdOfTheWorkerDoesNotDisplaceIt)
{
    run(fromMilliseconds(3000));
    supervisor.onAnnouncement(makeAnnouncement({"worker", worker.startedUnixMilliseconds + 5000}, "other-service", 0xffffffff));
    run(fromMilliseconds(100));
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(departureSentByAnotherWriterIsUndoneByTheNextAnnouncement)
{
    run(fromMilliseconds(3000));
    supervisor.onWorkerLeft("other");
    BOOST_TEST(isUsed());
    supervisor.onWorkerLeft("worker");
    BOOST_TEST(supervisor.status(now, 0).worker.draining);
    run(fromMilliseconds(1100));
    BOOST_TEST(isUsed());
}

// Guards against a foreign service and capacity for the very incarnation that is there, which the worker can't be asked about.
BOOST_AUTO_TEST_CASE(announcementOfServiceThatIsNotNamedIsNotUsed)
{
    run(fromMilliseconds(3000));
    WorkerAnnouncement foreign = makeAnnouncement(worker, "other-service", 0xffffffff);
    foreign.draining = true;
    foreign.capacity = {};
    supervisor.onAnnouncement(foreign);
    BOOST_TEST(isUsed());
    BOOST_TEST(counters.value(Counter::PoolAnnouncementsOfOtherService) == 1U);
    run(fromMilliseconds(5000));
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(foreignAnnouncementsBeforeTheFirstOwnOneDoNotKeepTheWorkerOut)
{
    supervisor.onAnnouncement(makeAnnouncement({"other", worker.startedUnixMilliseconds + 5000}, "quote", 9));
    supervisor.onAnnouncement(makeAnnouncement(worker, "other-service", 9));
    run(fromMilliseconds(2000));
    BOOST_TEST(isUsed());
}

// Guards against a worker that is lost since it announced itself before the configuration named its service, or while that was dropped.
BOOST_AUTO_TEST_CASE(workerIsUsedWhenItsServiceIsNamedLaterOrAgain)
{
    services = {"audit"};
    supervisor.onAnnouncement(makeAnnouncement(worker, "audit", 1)); // foreign, and named at first
    run(fromMilliseconds(5000));
    services = {"quote"};
    run(fromMilliseconds(1100));
    BOOST_TEST(isUsed());
    services = {"audit"};
    run(fromMilliseconds(2000));
    services = {"audit", "quote"};
    run(fromMilliseconds(4000));
    BOOST_TEST(isUsed());
}

// Guards against a worker that is never used again after a restart behind a clock that was set back (review play born-back).
BOOST_AUTO_TEST_CASE(restartedWorkerWithEarlierBirthIsUsed)
{
    run(fromMilliseconds(3000));
    worker.startedUnixMilliseconds -= 60'000;
    sequence = 0;
    run(fromMilliseconds(1100));
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(delayedAnnouncementOfAnEndedIncarnationIsNotUsed)
{
    const WorkerIncarnation ended = worker;
    run(fromMilliseconds(3000));
    worker.startedUnixMilliseconds += 3000;
    sequence = 0;
    run(fromMilliseconds(1100));
    BOOST_REQUIRE(isUsed());
    supervisor.onAnnouncement(makeAnnouncement(ended, "quote", 50));
    run(fromMilliseconds(100));
    BOOST_TEST(isUsed());
}

// Guards against starts that reach a new incarnation of the worker which has announced itself but was not asked yet.
BOOST_AUTO_TEST_CASE(nothingIsStartedWhileAnotherIncarnationIsAnnounced)
{
    run(fromMilliseconds(3000));
    answers = false;
    supervisor.onAnnouncement(makeAnnouncement({"worker", worker.startedUnixMilliseconds + 5000}, "quote", 1));
    run(fromMilliseconds(300));
    supervisor.onSupervise(makeStartRequest({{"job", 0, 0, 0}, 1}, worker, 1, now), now);
    BOOST_TEST(supervisor.status(now, 0).runs.empty());
    BOOST_TEST(supervisor.status(now, 0).refusals.size() == 1U);
}

// Guards against calls without bound to the worker when foreign announcements flood its address.
BOOST_AUTO_TEST_CASE(floodOfAnnouncementsCausesFewCalls)
{
    run(fromMilliseconds(3000));
    std::size_t calls = 0;
    for (std::int64_t number = 0; number < 1000; ++number) {
        supervisor.onAnnouncement(makeAnnouncement({"other-" + std::to_string(number), 1}, "quote", 1));
        now += fromMilliseconds(1);
        calls += step();
    }
    BOOST_TEST(calls < 50U);
    run(fromMilliseconds(2000));
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(poolUnderForeignAnnouncementsCompletesItsJobs)
{
    const SeedRange seeds = seedRange(worldSeedCount);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            WorldOptions options;
            options.seed = seed;
            options.foreignAnnouncementRate = 0.5;
            options.lateAnnouncementRate = 0.2;
            PoolWorld world(options);
            world.run(fromMilliseconds(6000));
            world.submit("job1", makeJob(makeStep(40, 1, 2000)), "normal");
            world.run(fromMilliseconds(2500));
            world.worker(seed % world.workerCount()).rebirth(world.now());
            world.restartAgent((seed + 1) % world.workerCount());
            world.run(fromMilliseconds(30000));
            checkCompleted(world, "job1");
            for (std::size_t worker = 0; worker < world.workerCount(); ++worker) {
                BOOST_TEST(world.isWorkerUsed(worker), "worker " << worker << " is not used");
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
