#include "workerrecords/WorkerRecords.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

BOOST_TEST_DONT_PRINT_LOG_VALUE(banyanlock::WorkerStanding)
BOOST_TEST_DONT_PRINT_LOG_VALUE(banyanlock::FailureCause)

namespace banyanlock
{
namespace
{

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + fromMilliseconds(milliseconds);
}

/// A run of a single task, whose unit has the same number.
RecordedRun runOf(std::uint64_t unit, std::int64_t startedAt)
{
    return {unit, unit, at(startedAt)};
}

/// Fails units on the worker that no other worker runs, so that it is barred.
void makeBad(WorkerRecords &records, PooledRecord &record, std::uint64_t firstUnit, std::int64_t now)
{
    records.addFailure(record, runOf(firstUnit, now - 100), at(now));
    records.addFailure(record, runOf(firstUnit + 1, now - 100), at(now));
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerRecordTest)

// Guards against last attempts that avoid workers without evidence, which would stop all work after a change of owner.
BOOST_AUTO_TEST_CASE(newWorkerIsUntestedAndMayTakeLastAttempts)
{
    WorkerRecords records(PartMode::On);
    const PooledRecord &record = records.add("a");
    BOOST_TEST((records.standing(record, at(0)) == WorkerStanding::Untested));
    BOOST_TEST(records.mayTakeLastAttempt(record, at(0)));
}

// Guards against last attempts on a worker that has just failed another task.
BOOST_AUTO_TEST_CASE(failureMakesDoubtfulUntilSuccessOrSixSeconds)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    records.addSuccess(record, runOf(1, 0));
    records.addFailure(record, runOf(2, 100), at(200));
    BOOST_TEST((records.standing(record, at(200)) == WorkerStanding::Doubtful));
    BOOST_TEST(!records.mayTakeLastAttempt(record, at(200)));
    BOOST_TEST((records.standing(record, at(6199)) == WorkerStanding::Doubtful));
    BOOST_TEST((records.standing(record, at(6200)) == WorkerStanding::Proven));
    records.addFailure(record, runOf(2, 7000), at(7100));
    records.addSuccess(record, runOf(3, 7050));
    BOOST_TEST((records.standing(record, at(7200)) == WorkerStanding::Proven));
}

// Guards against trust in a worker that fails all it starts, because runs that it started before the fault still succeed.
BOOST_AUTO_TEST_CASE(successOfARunStartedBeforeTheFailedOneClearsNothing)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    records.addFailure(record, runOf(1, 1000), at(1200));
    records.addSuccess(record, runOf(2, 500));
    BOOST_TEST((records.standing(record, at(1300)) == WorkerStanding::Doubtful));
    records.addFailure(record, runOf(3, 1100), at(1400));
    BOOST_TEST((records.standing(record, at(1400)) == WorkerStanding::Barred));
    records.addSuccess(record, runOf(4, 600));
    BOOST_TEST((records.standing(record, at(1500)) == WorkerStanding::Barred));
}

// Guards against a bar because of one unit: a task that always fails, or a gang with several members on the worker.
BOOST_AUTO_TEST_CASE(failuresOfOneUnitDoNotBar)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    for (std::int64_t attempt = 0; attempt < 5; ++attempt) {
        records.addFailure(record, {7, 70 + static_cast<std::uint64_t>(attempt % 2), at(attempt * 100)}, at(attempt * 100 + 50));
    }
    BOOST_TEST((records.standing(record, at(500)) == WorkerStanding::Doubtful));
}

// Guards against bars of workers that succeed meanwhile: a failure older than the latest good start is no sign of the worker's fault.
BOOST_AUTO_TEST_CASE(failureOfARunStartedBeforeASuccessfulOneDoesNotBar)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    records.addSuccess(record, runOf(1, 500));
    records.addFailure(record, runOf(2, 100), at(600));
    records.addFailure(record, runOf(3, 200), at(700));
    BOOST_TEST((records.standing(record, at(700)) == WorkerStanding::Doubtful));
}

// Guards against bars that do not grow for a worker that stays bad, that exceed 20 s, or that outlast a success.
BOOST_AUTO_TEST_CASE(barDoublesWithEachFailedTrialUpToItsLimit)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    makeBad(records, record, 1, 1000);
    std::int64_t begin = 1000;
    std::uint64_t unit = 10;
    for (const std::int64_t length : std::array{5000, 10000, 20000, 20000}) {
        BOOST_TEST((records.standing(record, at(begin + length - 1)) == WorkerStanding::Barred));
        BOOST_TEST((records.standing(record, at(begin + length)) == WorkerStanding::Doubtful));
        BOOST_TEST(!records.mayTakeLastAttempt(record, at(begin + length)));
        records.addFailure(record, runOf(++unit, begin + length + 100), at(begin + length + 200));
        begin += length + 200;
    }
    records.addSuccess(record, runOf(99, begin + 20100));
    BOOST_TEST((records.standing(record, at(begin + 20200)) == WorkerStanding::Proven));
    makeBad(records, record, 100, begin + 20400);
    BOOST_TEST((records.standing(record, at(begin + 20400 + 4999)) == WorkerStanding::Barred));
    BOOST_TEST((records.standing(record, at(begin + 20400 + 5000)) == WorkerStanding::Doubtful));
}

// Guards against a trial that puts several units at risk, and against one long run that keeps the rest of a good worker idle.
BOOST_AUTO_TEST_CASE(trialAllowsOneUnitUntilItHasRunForTheDoubtPeriod)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    BOOST_TEST(record.evidence.mayStartBeside(at(0), at(100)));
    makeBad(records, record, 1, 1000);
    BOOST_TEST(!record.evidence.trialSince(at(5999)).has_value());
    BOOST_TEST((record.evidence.trialSince(at(6000)) == at(6000)));
    BOOST_TEST(record.evidence.mayStartBeside(at(900), at(6100))); // started before the bar
    BOOST_TEST(!record.evidence.mayStartBeside(at(6050), at(6100)));
    BOOST_TEST(!record.evidence.mayStartBeside(at(6050), at(12049)));
    BOOST_TEST(record.evidence.mayStartBeside(at(6050), at(12050)));
    records.addSuccess(record, runOf(5, 6050));
    BOOST_TEST(record.evidence.mayStartBeside(at(12000), at(12100)));
}

// Guards against bars of good workers by a task that fails wherever it runs.
BOOST_AUTO_TEST_CASE(failureOfATaskThatFailsElsewhereTooIsTakenBack)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &first = records.add("a");
    PooledRecord &second = records.add("b");
    BOOST_TEST((records.addFailure(first, runOf(1, 0), at(100)) == FailureCause::Worker));
    records.addFailure(first, runOf(2, 0), at(100));
    BOOST_TEST((records.standing(first, at(100)) == WorkerStanding::Barred));
    BOOST_TEST((records.addFailure(second, runOf(1, 200), at(300)) == FailureCause::Task));
    BOOST_TEST((records.standing(first, at(300)) == WorkerStanding::Doubtful)); // the other unit's failure remains
    BOOST_TEST((records.standing(second, at(300)) == WorkerStanding::Untested));
    BOOST_TEST((records.addFailure(second, runOf(2, 300), at(400)) == FailureCause::Task));
    BOOST_TEST((records.standing(first, at(400)) == WorkerStanding::Untested));
}

// Guards against blaming a task that ran on two bad workers: the first one has failed enough others to be at fault.
BOOST_AUTO_TEST_CASE(failureOnAWorkerThatFailsOtherUnitsIsNotTakenBack)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &first = records.add("a");
    PooledRecord &second = records.add("b");
    records.addFailure(first, runOf(1, 0), at(100));
    makeBad(records, first, 2, 150);
    BOOST_TEST((records.addFailure(second, runOf(1, 200), at(300)) == FailureCause::Worker));
    BOOST_TEST((records.standing(first, at(300)) == WorkerStanding::Barred));
    BOOST_TEST((records.standing(second, at(300)) == WorkerStanding::Doubtful));
}

// Guards against a trial that counts as failed although the task was at fault.
BOOST_AUTO_TEST_CASE(failedTrialIsTakenBackToo)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &first = records.add("a");
    PooledRecord &second = records.add("b");
    makeBad(records, first, 1, 1000);
    records.addFailure(first, runOf(5, 6100), at(6200));
    BOOST_TEST((records.standing(first, at(6300)) == WorkerStanding::Barred));
    records.addFailure(second, runOf(5, 6300), at(6400));
    BOOST_TEST(first.evidence.trialSince(at(6400)).has_value());
}

// Guards against last attempts and preferred starts on workers that shed load or do not answer.
BOOST_AUTO_TEST_CASE(refusalAndLossMakeDoubtfulButDoNotBar)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &refusing = records.add("a");
    PooledRecord &silent = records.add("b");
    for (std::int64_t count = 0; count < 10; ++count) {
        refusing.evidence.addRefusal(at(count));
        silent.evidence.addLostRun(at(count));
    }
    for (const PooledRecord *record : {&refusing, &silent}) {
        BOOST_TEST((records.standing(*record, at(100)) == WorkerStanding::Doubtful), record->agent);
        BOOST_TEST(!records.mayTakeLastAttempt(*record, at(100)), record->agent);
        BOOST_TEST((records.standing(*record, at(6009)) != WorkerStanding::Doubtful), record->agent);
    }
    // A worker that refuses starts still completes what it started before.
    refusing.evidence.addRefusal(at(7000));
    records.addSuccess(refusing, runOf(2, 6900));
    BOOST_TEST((records.standing(refusing, at(7100)) == WorkerStanding::Doubtful));
    records.addSuccess(refusing, runOf(3, 7050));
    BOOST_TEST((records.standing(refusing, at(7100)) == WorkerStanding::Proven));
}

// Guards against last attempts that wait for sound workers, because declared times are wrong, and against slow workers that are preferred.
BOOST_AUTO_TEST_CASE(slowRunAffectsPreferenceOnly)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    const auto addSlowRun = [&](std::int64_t startedAt, std::int64_t now) {
        records.addSuccess(record, runOf(1, startedAt));
        record.evidence.addSlowRun(at(startedAt), at(now));
    };
    addSlowRun(0, 4000);
    BOOST_TEST(records.isSuspect(record, at(9999)));
    BOOST_TEST(!records.isSuspect(record, at(10000)));
    BOOST_TEST((records.standing(record, at(4000)) == WorkerStanding::Proven));
    BOOST_TEST(records.mayTakeLastAttempt(record, at(4000)));
    addSlowRun(10000, 14000);
    records.addSuccess(record, runOf(2, 10000)); // started with the slow one, so it is no sign that the worker has become faster
    BOOST_TEST(records.isSuspect(record, at(14100)));
    records.addSuccess(record, runOf(3, 13000));
    BOOST_TEST(!records.isSuspect(record, at(14200)));
}

// Guards against trust in a worker that restarts every 1.4 s: each life begins without evidence.
BOOST_AUTO_TEST_CASE(flappingWorkerIsDoubtfulUntilALifeLasts)
{
    WorkerRecords records(PartMode::On);
    PooledRecord &record = records.add("a");
    record.evidence.beginLife(at(0), false);
    record.evidence.beginLife(at(1400), true);
    BOOST_TEST((records.standing(record, at(1400)) == WorkerStanding::Untested)); // the length of the first life is unknown
    for (std::int64_t now = 2800; now < 14000; now += 1400) {
        record.evidence.beginLife(at(now), true);
        records.addSuccess(record, runOf(1, now + 100));
        BOOST_TEST((records.standing(record, at(now + 200)) == WorkerStanding::Doubtful));
        BOOST_TEST(!records.mayTakeLastAttempt(record, at(now + 200)));
    }
    BOOST_TEST((records.standing(record, at(12600 + 6000)) == WorkerStanding::Proven));
    record.evidence.beginLife(at(60000), true); // a single restart after a long life
    BOOST_TEST((records.standing(record, at(60000)) == WorkerStanding::Untested));
}

// Guards against a pool that stops working because most of its workers are barred.
BOOST_AUTO_TEST_CASE(mostlyBarredPoolUsesItsLeastBadWorkers)
{
    WorkerRecords records(PartMode::On);
    std::vector<PooledRecord *> pool;
    for (std::uint64_t index = 0; index < 10; ++index) {
        PooledRecord &record = records.add(std::to_string(index));
        pool.push_back(&record);
        for (std::uint64_t failure = 0; failure < 2 + index; ++failure) {
            records.addFailure(record, runOf(index * 100 + failure, 0), at(100));
        }
    }
    records.refresh(pool, at(200));
    for (std::size_t index = 0; index < pool.size(); ++index) {
        BOOST_TEST(records.isBarred(*pool[index], at(200)) == (index >= 5));
        BOOST_TEST(records.isSuspect(*pool[index], at(200)) == (index < 5));
    }
    for (std::size_t index = 0; index < 5; ++index) {
        records.addSuccess(*pool[index], runOf(9000 + index, 150));
    }
    records.refresh(pool, at(300));
    BOOST_TEST((records.standing(*pool[0], at(300)) == WorkerStanding::Proven));
    BOOST_TEST(records.isBarred(*pool[9], at(300)));
}

// Guards against standings that affect placement before there is evidence, and against changes that are not reported.
BOOST_AUTO_TEST_CASE(recordsActByTheirModeAndReportChangesOnce)
{
    for (const PartMode mode : {PartMode::Auto, PartMode::On, PartMode::Off}) {
        WorkerRecords records(mode);
        PooledRecord &record = records.add("a");
        makeBad(records, record, 1, 100);
        std::vector<PooledRecord *> pool{&record, &records.add("b"), &records.add("c")};
        BOOST_TEST(records.isActing() == (mode == PartMode::On));
        BOOST_TEST(records.isBarred(record, at(200)) == (mode == PartMode::On));
        BOOST_TEST(records.mayTakeLastAttempt(record, at(200)) == (mode != PartMode::On));
        BOOST_TEST(records.refresh(pool, at(200)).size() == (mode == PartMode::On ? 1U : 0U));
        BOOST_TEST(records.beginActing() == (mode == PartMode::Auto));
        BOOST_TEST(!records.beginActing());
        BOOST_TEST(records.isBarred(record, at(200)) == (mode != PartMode::Off));
        BOOST_TEST(records.refresh(pool, at(200)).size() == (mode == PartMode::Auto ? 1U : 0U));
        BOOST_TEST(records.refresh(pool, at(200)).empty());
        records.clear();
        BOOST_TEST(records.isActing() == (mode == PartMode::On));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
