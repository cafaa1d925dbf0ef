#include "PoolWorld.h"
#include "graph/GraphCodec.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

namespace banyanlock
{
namespace
{

constexpr std::uint64_t ownerEpoch = 5;
const std::string agentName = "10.0.0.1:7000";
const WorkerIncarnation workerIncarnation{"worker", 100};

/// A scheduler that has acquired a pool with one agent; the tests answer its calls.
struct Fixture {
    GraphTable jobs;
    OperatorView operators;
    Counters counters;
    PoolScheduler scheduler{jobs, operators, OperatorRows{"operators", "configuration", "out/"}, PoolTiming(), PlannerPolicy(), counters};
    TimePoint now{std::chrono::seconds(1000)};
    TimePoint lastRenewal{};
    std::function<void(const CallAgent &)> onCall;

    /// @param places Places of the run in progress; empty for a job that has not started.
    void addJob(const StepSpec &step, const std::vector<TaskPlace> &places)
    {
        GraphRecord record;
        record.spec = makeJob(step);
        record.terms.service = "service";
        jobs.adopt({std::string(PoolRows::table), "spec/job", 1, encodeGraphSpec(record), false}, false);
        GraphProgress progress;
        if (!places.empty()) {
            progress.state = GraphState::Running;
            progress.units[UnitKey()].run = 1;
            progress.units[UnitKey()].places = places;
        }
        jobs.adopt({std::string(PoolRows::table), "job/job", 2, encodeGraphProgress(progress), false}, false);
    }

    /// Acquires the pool from an owner that has not released it.
    void acquire()
    {
        scheduler.addAgent(agentName);
        scheduler.acquireOwnership(ownerEpoch, false, now);
    }

    WorkerStatus makeStatus(std::uint64_t agentIncarnation, std::uint64_t number, bool runsKnown) const
    {
        WorkerStatus status;
        status.agentIncarnation = agentIncarnation;
        status.number = number;
        status.clock = now;
        status.highestEpoch = ownerEpoch;
        status.runsKnown = runsKnown;
        status.answering = runsKnown;
        status.worker.incarnation = workerIncarnation;
        status.worker.service = "service";
        status.worker.capacity = {128000, 256000, 8};
        status.worker.labels = {"kind", "rack"};
        return status;
    }

    /// Advances the time in steps of 50 ms; calls are passed to `onCall`, or fail if there is none.
    void run(Duration span)
    {
        const TimePoint end = now + span;
        while (now < end) {
            now += fromMilliseconds(50);
            step();
        }
    }

    void step()
    {
        scheduler.onTick();
        scheduler.step(now, 0);
        if (scheduler.takeBatch(now)) {
            scheduler.onCommitted(now);
            scheduler.step(now, 0);
        }
        for (const CallAgent &call : scheduler.takeCalls()) {
            lastRenewal = call.request.renews ? now : lastRenewal;
            if (onCall) {
                onCall(call);
            } else {
                scheduler.onCallAnswered(call.agent, call.call, nullptr, now, now);
            }
        }
    }

    void answer(const CallAgent &call, const WorkerStatus &status)
    {
        scheduler.onCallAnswered(call.agent, call.call, &status, now, now);
    }

    /// @return Number of the latest run of the job's task.
    std::uint32_t latestRun()
    {
        return jobs.find("job")->progress.units[UnitKey()].run;
    }

    bool isRunOver() const
    {
        return scheduler.units().empty();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunEndTest, Fixture)

BOOST_AUTO_TEST_CASE(delayedAnnouncementOfEarlierWorkerDoesNotEndRuns)
{
    // A new process of the agent hears a delayed announcement of an earlier worker first.
    addJob(makeStep(1, 1, 60000), {{workerIncarnation, agentName}});
    acquire();
    onCall = [&](const CallAgent &call) {
        WorkerStatus status = makeStatus(1, 1, false);
        status.worker.incarnation = {"earlier", 90};
        answer(call, status);
    };
    run(fromMilliseconds(500));
    BOOST_TEST(!isRunOver());
    onCall = [&](const CallAgent &call) {
        WorkerStatus status = makeStatus(1, 2, true);
        status.runs = {{{{"job", 0, 0, 0}, 1}, false, {}}};
        answer(call, status);
    };
    run(fromMilliseconds(500));
    BOOST_TEST(!isRunOver());
    BOOST_TEST(latestRun() == 1U);
}

BOOST_AUTO_TEST_CASE(runsAreOverOnceSuccessorUnderOtherIdReportsItsRuns)
{
    addJob(makeStep(1, 1, 60000), {{workerIncarnation, agentName}});
    acquire();
    onCall = [&](const CallAgent &call) {
        WorkerStatus status = makeStatus(1, 1, true);
        status.worker.incarnation = {"later", 110};
        status.worker.draining = true;
        answer(call, status);
    };
    run(fromMilliseconds(500));
    BOOST_TEST(isRunOver());
}

BOOST_AUTO_TEST_CASE(leaseRenewedByEarlierOwnerThroughEarlierAgentProcessIsWaitedFor)
{
    // The earlier owner renews for 5 s after the takeover through an agent that restarts before the new owner reaches it.
    addJob(makeStep(1, 1, 60000), {{workerIncarnation, agentName}});
    acquire();
    const TimePoint acquired = now;
    run(fromMilliseconds(6000));
    onCall = [&](const CallAgent &call) {
        answer(call, makeStatus(1, 1, false));
    };
    while (!isRunOver() && now - acquired < fromMilliseconds(20000)) {
        step();
        now += fromMilliseconds(50);
    }
    const PoolTiming timing;
    BOOST_TEST(toMilliseconds(now - acquired) >= toMilliseconds(timing.detachedLimit + callValidity + timing.lease));
    BOOST_TEST(isRunOver());
}

BOOST_AUTO_TEST_CASE(runsAreKeptForOneLeaseAfterRenewalOfAgentThatForgetsThemAgain)
{
    // The agent may learn the runs, renew the lease and restart between two statuses.
    addJob(makeStep(1, 1, 60000), {{workerIncarnation, agentName}});
    acquire();
    std::uint64_t number = 1;
    onCall = [&](const CallAgent &call) {
        answer(call, makeStatus(1, number += 2, false));
    };
    const TimePoint acquired = now;
    while (!isRunOver() && now - acquired < fromMilliseconds(20000)) {
        step();
        now += fromMilliseconds(50);
    }
    BOOST_TEST(isRunOver());
    BOOST_TEST(toMilliseconds(now - lastRenewal) >= toMilliseconds(PoolTiming().lease));
}

BOOST_AUTO_TEST_CASE(expiredLeaseDoesNotEndRunWhoseStartIsInFlight)
{
    addJob(makeStep(1, 1, 60000), {});
    acquire();
    onCall = [&](const CallAgent &call) {
        answer(call, makeStatus(1, 1, true));
    };
    bool ordered = false;
    while (!ordered) {
        const auto answerCall = [&](const CallAgent &call) {
            if (!call.request.orders.empty()) {
                ordered = true; // stays in flight
                return;
            }
            WorkerStatus status = makeStatus(1, ordered ? 2 : 1, !ordered);
            status.leaseExpired = ordered;
            answer(call, status);
        };
        onCall = answerCall;
        step();
        now += fromMilliseconds(50);
    }
    run(fromMilliseconds(300));
    BOOST_TEST(latestRun() == 1U);
    BOOST_TEST(!isRunOver());
}

BOOST_AUTO_TEST_CASE(startSentByEarlierAgentProcessIsNotEndedByListsOlderThanItsExecution)
{
    addJob(makeStep(1, 1, 60000), {});
    acquire();
    bool ordered = false;
    onCall = [&](const CallAgent &call) {
        ordered = ordered || !call.request.orders.empty();
        WorkerStatus status = makeStatus(ordered ? 2 : 1, 1, true); // the process that got the order ends
        answer(call, status);
    };
    while (!ordered) {
        run(fromMilliseconds(50));
    }
    const TimePoint orderedAt = now;
    const PoolTiming timing;
    while (latestRun() == 1 && now - orderedAt < fromMilliseconds(20000)) {
        run(fromMilliseconds(50));
    }
    BOOST_TEST(latestRun() == 2U);
    BOOST_TEST(toMilliseconds(now - orderedAt) >= toMilliseconds(timing.startTimeout + timing.maxListsAge));
}

BOOST_AUTO_TEST_CASE(batchesToNewAgentProcessAreNotIgnoredAfterItReceivedBatchForItsPredecessor)
{
    // The new process answers a poll; a batch that the owner numbered for the earlier process reaches it afterwards.
    constexpr std::uint64_t batchOfPredecessor = 58;
    addJob(makeStep(1, 1, 60000), {});
    acquire();
    std::uint64_t number = 0;
    std::uint64_t batch = 0;
    onCall = [&](const CallAgent &call) {
        batch = std::max(batch, call.request.batch);
        WorkerStatus status = makeStatus(2, ++number, true);
        status.worker.draining = number < 3;
        status.lastOrderBatch = number < 2 ? 0 : batchOfPredecessor;
        answer(call, status);
    };
    run(fromMilliseconds(2000));
    BOOST_TEST(batch > batchOfPredecessor);
}

BOOST_AUTO_TEST_CASE(runIsNotOverWhenItsEndMayBeCutFromTheLists)
{
    // A worker lists at most 500 ends; the end of a run that is no longer in progress may follow them.
    constexpr std::uint64_t maxListedEnds = 500;
    addJob(makeStep(1, 1, 60000), {{workerIncarnation, agentName}});
    acquire();
    std::uint64_t number = 0;
    onCall = [&](const CallAgent &call) {
        WorkerStatus status = makeStatus(1, ++number, true);
        status.runsKnownEpoch = ownerEpoch;
        for (std::uint64_t end = 1; end <= maxListedEnds; ++end) {
            status.ends.push_back({end, {{"other", 0, 0, static_cast<std::uint32_t>(end)}, 1}, RunEnding::Succeeded, {}});
        }
        answer(call, status);
    };
    run(fromMilliseconds(500));
    BOOST_TEST(latestRun() == 1U);
    BOOST_TEST(!isRunOver());
}

// Guards against a second run of tasks whose ends the worker could not list at once (review case 2): once the listed ends have been
// acknowledged, the status holds neither them nor the others.
BOOST_AUTO_TEST_CASE(runIsNotOverWhenTheListedEndsWereAcknowledged)
{
    addJob(makeStep(1, 1, 60000), {{workerIncarnation, agentName}});
    acquire();
    std::uint64_t number = 0;
    onCall = [&](const CallAgent &call) {
        WorkerStatus status = makeStatus(1, ++number, true);
        status.runsKnownEpoch = ownerEpoch;
        status.endsTruncated = true;
        answer(call, status);
    };
    run(fromMilliseconds(500));
    BOOST_TEST(!isRunOver());
    onCall = [&](const CallAgent &call) {
        WorkerStatus status = makeStatus(1, ++number, true);
        status.runsKnownEpoch = ownerEpoch;
        answer(call, status);
    };
    run(fromMilliseconds(500));
    BOOST_TEST(latestRun() == 2U);
}

// Guards against an owner that ends because a worker lists the end of a task whose job has ended and has unreadable units.
BOOST_AUTO_TEST_CASE(endOfATaskWithUnreadableProgressIsIgnored)
{
    addJob(makeStep(1, 1, 60000), {});
    const std::string text = R"({"finished":0,"state":"failed","units":[["odd"]]})";
    jobs.adopt({std::string(PoolRows::table), "job/job", 3, text, false}, false);
    acquire();
    std::uint64_t number = 0;
    onCall = [&](const CallAgent &call) {
        WorkerStatus status = makeStatus(1, ++number, true);
        status.ends.push_back({1, {{"job", 0, 0, 0}, 1}, RunEnding::Succeeded, {}});
        answer(call, status);
    };
    run(fromMilliseconds(500));
    BOOST_TEST((jobs.find("job") == nullptr));
    BOOST_TEST(scheduler.isOwner());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
