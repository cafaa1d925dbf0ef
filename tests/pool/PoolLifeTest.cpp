#include "PoolWorld.h"
#include "WorldChecks.h"

#include <boost/test/unit_test.hpp>

using namespace banyanlock;

namespace
{

constexpr Duration startupTime = fromMilliseconds(3000);

} // namespace

BOOST_AUTO_TEST_SUITE(PoolLife)

BOOST_AUTO_TEST_CASE(stepsRunInOrderAndJobCompletes)
{
    PoolWorld world({});
    world.run(startupTime);
    GraphSpec spec = makeJob(makeStep(4, 1, 1000));
    StepSpec second = makeStep(3, 2, 800);
    second.after = {0};
    second.gang = true;
    spec.steps.push_back(second);
    world.submit("job1", spec, "normal", 1);
    world.run(fromMilliseconds(500));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::Accepted));
    world.run(fromMilliseconds(5000));
    BOOST_TEST(static_cast<int>(world.stateOf("job1")) == static_cast<int>(GraphState::Completed));
    BOOST_TEST(world.startsOf("job1") == 7U);
    checkNoViolations(world);
}

// Guards against a lasting gang that is shown as completed and never started again, since its members' ends come in separate reports
// (review case 4).
BOOST_AUTO_TEST_CASE(lastingGangThatEndsIsStartedAgain)
{
    PoolWorld world({});
    world.run(startupTime);
    StepSpec step = makeStep(2, 8, 2000); // each member takes a whole worker
    step.gang = true;
    step.longRunning = true;
    world.submit("job1", makeJob(step), "normal");
    world.run(fromMilliseconds(20000));
    BOOST_TEST(static_cast<int>(world.stateOf("job1")) == static_cast<int>(GraphState::Running));
    BOOST_TEST(world.startsOf("job1") >= 8U);
    checkNoViolations(world);
}

BOOST_AUTO_TEST_CASE(repeatedSubmissionIsIdempotent)
{
    PoolWorld world({});
    world.run(startupTime);
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", 0);
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", 1);
    world.run(fromMilliseconds(4000));
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", 2);
    world.run(fromMilliseconds(4000));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::Accepted));
    BOOST_TEST(world.startsOf("job1") == 1U);
}

BOOST_AUTO_TEST_CASE(acceptedJobIsVisibleAtOtherEntries)
{
    PoolWorld world({});
    world.run(startupTime);
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", 0);
    while (world.answerFor("job1").outcome != CallOutcome::Accepted) {
        world.run(fromMilliseconds(1));
    }
    world.queryState("job1", 1);
    world.run(fromMilliseconds(200));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::Answered));
    world.queryState("unknown", 1);
    world.run(fromMilliseconds(200));
    BOOST_TEST(static_cast<int>(world.answerFor("unknown").outcome) == static_cast<int>(CallOutcome::NoSuchJob));
}

BOOST_AUTO_TEST_CASE(cancelledJobIsStoppedWithinOneSecond)
{
    PoolWorld world({});
    world.run(startupTime);
    world.submit("job1", makeJob(makeStep(6, 1, 20000)), "normal");
    world.run(fromMilliseconds(1000));
    BOOST_TEST(world.startsOf("job1") == 6U);
    world.cancel("job1", 2);
    world.run(fromMilliseconds(1000));
    for (std::size_t worker = 0; worker < world.workerCount(); ++worker) {
        BOOST_TEST(world.worker(worker).runningCount() == 0U);
    }
    world.queryState("job1", 1);
    world.run(fromMilliseconds(200));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").state) == static_cast<int>(GraphState::Cancelled));
}

BOOST_AUTO_TEST_CASE(guaranteedUrgentJobStartsOnFullPool)
{
    PoolWorld world({});
    world.run(startupTime);
    world.submit("bulk", makeJob(makeStep(48, 1, 60000)), "bulk");
    world.run(fromMilliseconds(2000));
    BOOST_TEST(world.startsOf("bulk") == 48U);
    StepSpec step = makeStep(2, 8, 2000);
    step.gang = true;
    step.preferOneRack = true;
    const TimePoint submitted = world.now();
    world.submit("urgent", makeJob(step), "urgent");
    world.run(fromMilliseconds(2700));
    BOOST_REQUIRE(world.firstStart("urgent").has_value());
    BOOST_TEST(toMilliseconds(*world.firstStart("urgent") - submitted) < 2700);
    checkNoViolations(world);
}

BOOST_AUTO_TEST_CASE(noTaskStartsInFailureDomainThatIsOut)
{
    PoolWorld world({});
    world.run(startupTime);
    world.setFailureDomainOut("domain-0", true);
    world.run(fromMilliseconds(100));
    world.submit("job1", makeJob(makeStep(48, 1, 1000)), "normal");
    world.run(fromMilliseconds(800));
    BOOST_TEST(world.worker(0).runningCount() == 0U);
    BOOST_TEST(world.worker(3).runningCount() == 0U);
    BOOST_TEST(world.worker(1).runningCount() == 8U);
    world.setFailureDomainOut("domain-0", false);
    world.run(fromMilliseconds(800));
    BOOST_TEST(world.worker(0).runningCount() == 8U);
    world.run(fromMilliseconds(3000));
    BOOST_TEST(static_cast<int>(world.stateOf("job1")) == static_cast<int>(GraphState::Completed));
}

BOOST_AUTO_TEST_CASE(revokedKeyIsRefused)
{
    PoolWorld world({});
    world.run(startupTime);
    world.setKeys({"other"});
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal"); // the entry has not yet read the new configuration
    world.run(fromMilliseconds(500));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::KeyRefused));
    BOOST_TEST(world.startsOf("job1") == 0U);
}

// Guards against a job whose specification the table service can't hold: it is refused at once, and nothing is repeated.
BOOST_AUTO_TEST_CASE(specificationBeyondARowIsRefused)
{
    PoolWorld world({});
    world.run(startupTime);
    StepSpec step = makeStep(1, 1, 1000);
    step.requiredLabel.assign(60'000, 'x');
    world.submit("job1", makeJob(step), "normal");
    world.run(fromMilliseconds(200));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::Malformed));
    BOOST_TEST(world.answerFor("job1").reason.find("49152") != std::string::npos);
}

// Guards against one job whose record the table service rejects for good: the owner repeated that transaction for ever, and nobody's jobs
// started any more (review case 1).
BOOST_AUTO_TEST_CASE(jobThatCannotBeRecordedHoldsUpNoOther)
{
    PoolWorld world({});
    world.run(startupTime);
    world.tableService().limits.rowBytes = 900; // less than the entries assume
    world.submit("before", makeJob(makeStep(2, 1, 3000)), "normal");
    world.submit("large", makeJob(makeStep(30, 1, 1000)), "normal");
    world.submit("urgent", makeJob(makeStep(2, 1, 1000)), "urgent");
    world.run(fromMilliseconds(6000));
    world.submit("after", makeJob(makeStep(2, 1, 1000)), "normal");
    world.run(fromMilliseconds(3000));
    for (const char *job : {"before", "urgent", "after"}) {
        BOOST_TEST(static_cast<int>(world.stateOf(job)) == static_cast<int>(GraphState::Completed), job);
    }
    BOOST_TEST(world.startsOf("large") == 0U);
    BOOST_TEST(world.tableService().rejections > 0U);
    BOOST_TEST(world.tableService().rejections < 20U);
    world.tableService().limits = TableLimits();
    world.run(PoolTiming().rejectionPause + fromMilliseconds(3000));
    BOOST_TEST(static_cast<int>(world.stateOf("large")) == static_cast<int>(GraphState::Completed));
    BOOST_TEST(world.violations().empty());
}

BOOST_AUTO_TEST_CASE(entryPartitionedFromStoreRefusesAtOnce)
{
    PoolWorld world({});
    world.run(startupTime);
    world.submit("job1", makeJob(makeStep(1, 1, 60000)), "normal");
    world.run(fromMilliseconds(500));
    world.partitionEntryFromStore(2, true);
    world.run(fromMilliseconds(5200));
    world.queryState("job1", 2);
    world.run(fromMilliseconds(10));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::NotReady));
    BOOST_TEST(toMilliseconds(world.answerFor("job1").retryAfter) > 0);
}

BOOST_AUTO_TEST_CASE(entryWithUnresponsiveStoreRefusesBeforeDeadline)
{
    // Guards against stalled callers: an entry that had lost the store let them wait until their deadline instead of refusing, so that they
    // could not use another entry.
    PoolWorld world({});
    world.run(startupTime);
    world.setStoreUnresponsive(2, true);
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", 2);
    world.run(fromMilliseconds(1000));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::Unsettled));
    world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", 1);
    world.run(fromMilliseconds(1000));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::Accepted));
    world.submit("job2", makeJob(makeStep(1, 1, 1000)), "normal", 2);
    world.run(fromMilliseconds(10));
    BOOST_TEST(static_cast<int>(world.answerFor("job2").outcome) == static_cast<int>(CallOutcome::StoreUnavailable));
    BOOST_TEST(toMilliseconds(world.answerFor("job2").retryAfter) > 0);
    world.run(fromMilliseconds(5000));
    BOOST_TEST(world.startsOf("job1") == 1U);
    BOOST_TEST(world.startsOf("job2") == 0U);
}

BOOST_AUTO_TEST_CASE(submissionIsAcceptedDespiteLostStoreAnswer)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            WorldOptions options;
            options.seed = seed;
            PoolWorld world(options);
            world.run(startupTime);
            world.tableService().lostAnswerRate = 1.0;
            world.submit("job1", makeJob(makeStep(1, 1, 1000)), "normal", 1);
            world.run(fromMilliseconds(200));
            world.tableService().lostAnswerRate = 0.0;
            world.run(fromMilliseconds(300));
            BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::Accepted));
        }
    }
}

BOOST_AUTO_TEST_CASE(slowStoreIsNotOverloadedByRetries)
{
    // Guards against overload by retries: resent transactions, ownership renewals and takeovers saturated a store that needed 180 ms for a
    // transaction, and callers were refused. The load is at most five transactions per second, of which 1.5 are submissions.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            WorldOptions options;
            options.seed = seed;
            PoolWorld world(options);
            world.run(startupTime);
            const std::size_t owner = world.owner();
            world.tableService().transactionDuration = fromMilliseconds(180);
            constexpr std::size_t submissions = 9;
            for (std::size_t job = 0; job < submissions; ++job) {
                world.submit("job" + std::to_string(job), makeJob(makeStep(2, 1, 60000)), "normal", job % 3);
                world.run(fromMilliseconds(667));
            }
            world.run(fromMilliseconds(2000));
            for (std::size_t job = 0; job < submissions; ++job) {
                BOOST_TEST_CONTEXT("job " << job)
                {
                    BOOST_TEST(static_cast<int>(world.answerFor("job" + std::to_string(job)).outcome)
                               == static_cast<int>(CallOutcome::Accepted));
                }
            }
            BOOST_TEST(world.owner() == owner);
        }
    }
}

BOOST_AUTO_TEST_CASE(repeatedJobStartsAtItsDueTimes)
{
    PoolWorld world({});
    world.run(startupTime);
    GraphSpec spec = makeJob(makeStep(1, 1, 300));
    const std::int64_t due = 1'700'000'000'000 + toMilliseconds(world.now().time_since_epoch()) + 3000;
    spec.repetition = {3, due, 1000};
    world.submit("job1", spec, "normal");
    world.run(fromMilliseconds(2990));
    BOOST_TEST(world.startsOf("job1") == 0U);
    world.run(fromMilliseconds(1000));
    BOOST_TEST(world.startsOf("job1") == 1U);
    world.run(fromMilliseconds(3500));
    BOOST_TEST(world.startsOf("job1") == 3U);
    BOOST_TEST(static_cast<int>(world.stateOf("job1")) == static_cast<int>(GraphState::Completed));
}

BOOST_AUTO_TEST_CASE(endedJobsAndLostAgentsAreErasedAfterRetention)
{
    PoolWorld world({});
    world.run(startupTime);
    world.submit("job1", makeJob(makeStep(2, 1, 1000)), "normal");
    world.run(fromMilliseconds(4000));
    world.removeInstance(5);
    world.run(std::chrono::minutes(9));
    world.queryState("job1", 1);
    world.run(fromMilliseconds(200));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").state) == static_cast<int>(GraphState::Completed));
    world.run(std::chrono::minutes(2));
    world.queryState("job1", 1);
    world.run(fromMilliseconds(200));
    BOOST_TEST(static_cast<int>(world.answerFor("job1").outcome) == static_cast<int>(CallOutcome::NoSuchJob));
    std::size_t rowCount = 0;
    for (const auto &[key, row] : world.tableService().rows) {
        rowCount += row.erased ? 0 : 1;
    }
    BOOST_TEST(rowCount == 7U); // one of the configuration, one of the owner, five of agents
}

BOOST_AUTO_TEST_CASE(jobFailsAfterAttemptLimit)
{
    WorldOptions options;
    options.workers = 1;
    PoolWorld world(options);
    world.run(startupTime);
    world.worker(0).setFailing(true);
    world.submit("job1", makeJob(makeStep(1, 1, 5000)), "normal");
    world.run(fromMilliseconds(20000));
    BOOST_TEST(static_cast<int>(world.stateOf("job1")) == static_cast<int>(GraphState::Failed));
    BOOST_TEST(world.startsOf("job1") == 3U);
}

// Guards against a second run of tasks that ended while the table service was down, more of them than a worker lists at once (review
// case 2).
BOOST_AUTO_TEST_CASE(tasksThatEndDuringAnOutageOfTheTableServiceRunOnce)
{
    WorldOptions options;
    options.workers = 2;
    PoolWorld world(options);
    world.run(startupTime);
    constexpr int jobs = 25;
    constexpr std::uint32_t tasks = 60;
    constexpr std::uint32_t nextTasks = 10;
    for (int job = 0; job < jobs; ++job) {
        StepSpec step = makeStep(tasks, 0, 6000);
        step.demand = {50, 0, 0};
        StepSpec next = makeStep(nextTasks, 0, 1000);
        next.demand = step.demand;
        next.after = {0};
        GraphSpec spec = makeJob(step);
        spec.steps.push_back(next);
        world.submit("job" + std::to_string(job), spec, "normal");
        world.run(fromMilliseconds(200));
    }
    world.tableService().down = true;
    world.run(fromMilliseconds(4200));
    world.tableService().down = false;
    world.run(fromMilliseconds(15000));
    for (int job = 0; job < jobs; ++job) {
        const std::string id = "job" + std::to_string(job);
        BOOST_TEST(static_cast<int>(world.stateOf(id)) == static_cast<int>(GraphState::Completed), id);
        BOOST_TEST(world.startsOf(id) == tasks + nextTasks, id);
    }
    BOOST_TEST(world.violations().empty());
}

// Guards against a gang that never ends because its members' ends on one worker are more than the worker lists at once: none of them was
// acknowledged before all were known.
BOOST_AUTO_TEST_CASE(gangWithMoreEndsThanAWorkerListsIsClosed)
{
    WorldOptions options;
    options.workers = 1;
    PoolWorld world(options);
    world.run(startupTime);
    StepSpec gang = makeStep(512, 0, 1000);
    gang.gang = true;
    gang.demand = {100, 0, 0};
    StepSpec whole = makeStep(1, 8, 500);
    whole.demand.processors = 128000;
    world.worker(0).setFailing(true);
    world.submit("failing", makeJob(gang), "normal");
    world.run(fromMilliseconds(1500));
    world.worker(0).setFailing(false);
    world.run(fromMilliseconds(15000));
    BOOST_TEST(static_cast<int>(world.stateOf("failing")) == static_cast<int>(GraphState::Completed));
    world.submit("whole1", makeJob(whole), "normal");
    world.run(fromMilliseconds(4000));
    BOOST_TEST(static_cast<int>(world.stateOf("whole1")) == static_cast<int>(GraphState::Completed));

    gang.estimate = fromMilliseconds(60000);
    world.submit("cancelled", makeJob(gang), "normal");
    world.run(fromMilliseconds(1500));
    world.cancel("cancelled");
    world.run(fromMilliseconds(3000));
    world.submit("whole2", makeJob(whole), "normal");
    world.run(fromMilliseconds(4000));
    BOOST_TEST(static_cast<int>(world.stateOf("whole2")) == static_cast<int>(GraphState::Completed));
    BOOST_TEST(world.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
