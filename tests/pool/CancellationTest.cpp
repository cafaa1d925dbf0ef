// Cancellations of jobs whose submission has not arrived yet.

#include "PoolWorld.h"
#include "WorldChecks.h"

#include <boost/test/unit_test.hpp>

using namespace banyanlock;

namespace
{

constexpr Duration startupTime = fromMilliseconds(3000);
constexpr Duration answerTime = fromMilliseconds(300);

GraphSpec shortJob()
{
    constexpr std::int64_t milliseconds = 1000;
    return makeJob(makeStep(2, 1, milliseconds));
}

/// A pool with its owner and two entries that do not own it.
struct CalledPool {
    PoolWorld world{{}};
    std::size_t owner = 0;
    std::size_t second = 0;
    std::size_t third = 0;

    CalledPool()
    {
        world.run(startupTime);
        owner = world.owner();
        BOOST_REQUIRE(owner < 3U);
        second = (owner + 1) % 3;
        third = (owner + 2) % 3;
    }

    void checkAnswer(const std::string &job, CallOutcome outcome)
    {
        world.run(answerTime);
        BOOST_TEST(static_cast<int>(world.answerFor(job).outcome) == static_cast<int>(outcome));
    }

    /// Submits a job at an entry whose transactions are held up, cancels it elsewhere, and lets the transactions arrive.
    void checkHeldUpSubmissionNeverRuns(std::size_t submittedAt, std::size_t cancelledAt)
    {
        world.setTransactionsHeldUp(submittedAt, true);
        world.submit("job1", shortJob(), "normal", submittedAt);
        world.run(fromMilliseconds(1000));
        world.cancel("job1", cancelledAt);
        checkAnswer("job1", CallOutcome::NoSuchJob);
        world.run(fromMilliseconds(3000));
        world.setTransactionsHeldUp(submittedAt, false);
        world.run(fromMilliseconds(10000));
        BOOST_TEST(world.startsOf("job1") == 0U);
        world.queryState("job1", cancelledAt);
        checkAnswer("job1", CallOutcome::NoSuchJob);
        checkNoViolations(world);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Cancellation, CalledPool)

// A job ran although its cancellation had been answered with 410: the submission was held up until after it (review case 12).
BOOST_AUTO_TEST_CASE(submissionThatArrivesAfterItsCancellationNeverRuns)
{
    checkHeldUpSubmissionNeverRuns(second, third);
}

BOOST_AUTO_TEST_CASE(submissionHeldUpAtTheOwnerNeverRunsAfterItsCancellation)
{
    checkHeldUpSubmissionNeverRuns(owner, third);
}

BOOST_AUTO_TEST_CASE(copyOfACancelledSubmissionIsRefusedAtEachEntry)
{
    world.cancel("job1", second);
    checkAnswer("job1", CallOutcome::NoSuchJob);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        world.submit("job1", shortJob(), "normal", entry);
        checkAnswer("job1", CallOutcome::CancelledBefore);
    }
    world.run(fromMilliseconds(3000));
    BOOST_TEST(world.startsOf("job1") == 0U);
    checkNoViolations(world);
}

BOOST_AUTO_TEST_CASE(repeatedCancellationIsAnsweredAlike)
{
    for (std::size_t entry = 0; entry < 3; ++entry) {
        world.cancel("job1", entry);
        checkAnswer("job1", CallOutcome::NoSuchJob);
    }
}

BOOST_AUTO_TEST_CASE(acceptedJobThatAnEntryDoesNotKnowYetIsCancelled)
{
    world.partitionEntryFromStore(second, true);
    world.run(fromMilliseconds(100));
    world.submit("job1", shortJob(), "normal", third);
    checkAnswer("job1", CallOutcome::Accepted);
    world.partitionEntryFromStore(second, false);
    world.cancel("job1", second); // before the change feed has told
    world.run(fromMilliseconds(1000));
    checkAnswer("job1", CallOutcome::Accepted);
    world.queryState("job1", third);
    checkAnswer("job1", CallOutcome::Answered);
    checkShownAs(world, "job1", GraphState::Cancelled);
}

BOOST_AUTO_TEST_CASE(cancellationInAnotherQueueOrWorkspaceBarsNoSubmission)
{
    world.cancelAs("job1", "bulk", "key", second);
    checkAnswer("job1", CallOutcome::NoSuchJob);
    world.cancelAs("job1", "normal", "other-key", second);
    checkAnswer("job1", CallOutcome::NoSuchJob);
    world.submit("job1", shortJob(), "normal", third);
    checkAnswer("job1", CallOutcome::Accepted);
    world.run(fromMilliseconds(3000));
    checkCompleted(world, "job1");
}

// Callers that cancel unknown jobs without end fill neither the table nor the entries, and no answer becomes false.
BOOST_AUTO_TEST_CASE(cancellationsOfUnknownJobsAreBoundedByWorkspace)
{
    for (std::size_t number = 0; number < EarlyCancellations::maxPerWorkspace; ++number) {
        world.cancel("unknown" + std::to_string(number), second);
        world.run(fromMilliseconds(5));
    }
    world.run(fromMilliseconds(2000));
    world.cancel("job1", second);
    checkAnswer("job1", CallOutcome::Overloaded);
    BOOST_TEST(toMilliseconds(world.answerFor("job1").retryAfter) > 0);
    world.cancelAs("job1", "normal", "other-key", second); // another workspace is not concerned
    checkAnswer("job1", CallOutcome::NoSuchJob);
    world.submit("job1", shortJob(), "normal", third);
    checkAnswer("job1", CallOutcome::Accepted);
    world.cancel("job1", second); // an existing job is still cancelled
    checkAnswer("job1", CallOutcome::Accepted);
    world.run(PoolTiming().retentionPeriod + fromMilliseconds(30000));
    world.cancel("job2", second);
    checkAnswer("job2", CallOutcome::NoSuchJob);
    std::size_t rows = 0;
    for (const auto &[key, row] : world.tableService().rows) {
        rows += key.second.starts_with(PoolRows::earlyCancelPrefix) && !row.erased ? 1 : 0;
    }
    BOOST_TEST(rows == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
