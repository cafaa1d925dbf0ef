#include "workerrecords/WorkerRecords.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

// Time for which the failures of a task are remembered. A unit waits for at most a few seconds between attempts; half a minute also covers
// a full pool.
constexpr Duration taskFailureMemory = std::chrono::seconds(30);

// Bounds memory: the failures of half a minute at 100 failures per second, rounded up.
constexpr std::size_t maxFailedTasks = 4096;

} // namespace

WorkerRecords::WorkerRecords(PartMode mode, RecordTiming timing)
    : m_mode(mode)
    , m_timing(timing)
    , m_acting(mode == PartMode::On)
{
}

void WorkerRecords::clear()
{
    m_records.clear();
    m_taskFailures.clear();
    m_acting = m_mode == PartMode::On;
}

PooledRecord &WorkerRecords::add(const std::string &agent)
{
    PooledRecord &record = m_records[agent];
    record = PooledRecord();
    record.agent = agent;
    record.evidence = WorkerRecord(m_timing);
    return record;
}

void WorkerRecords::erase(const std::string &agent)
{
    m_records.erase(agent);
}

bool WorkerRecords::beginActing()
{
    if (m_mode != PartMode::Auto) {
        return false;
    }
    return !std::exchange(m_acting, true);
}

void WorkerRecords::addSuccess(PooledRecord &record, const RecordedRun &run)
{
    record.evidence.addSuccess(run.startedAt);
    m_taskFailures.erase(run.task);
}

FailureCause WorkerRecords::addFailure(PooledRecord &record, const RecordedRun &run, TimePoint now)
{
    bool taskFailedElsewhere = false;
    const auto earlier = m_taskFailures.find(run.task);
    if (earlier != m_taskFailures.end()) {
        for (const TaskFailure &failure : earlier->second) {
            const auto other = m_records.find(failure.agent);
            if (failure.agent == record.agent || other == m_records.end() || now >= failure.at + taskFailureMemory) {
                continue;
            }
            // If enough other units have failed there, that worker is at fault, and the failure says nothing about the task. Failures from
            // before a bar do not explain a failure in the trial after it.
            const WorkerRecord &evidence = other->second.evidence;
            if (evidence.failedUnits(run.unit) >= WorkerRecord::barringUnits && !evidence.failedTrial(run.task)) {
                continue;
            }
            taskFailedElsewhere = true;
            other->second.evidence.takeBackFailures(run.task, now);
        }
    }
    rememberFailure(run.task, record.agent, now);
    if (taskFailedElsewhere) {
        return FailureCause::Task;
    }
    record.evidence.addFailure(run, now);
    return FailureCause::Worker;
}

bool WorkerRecords::addFailureInRow(PooledRecord &record, Duration period, TimePoint now)
{
    constexpr std::uint32_t quarantineThreshold = 2; // a single failure may be the task's fault
    if (++record.recent.consecutiveFailures < quarantineThreshold) {
        return false;
    }
    // Failures on more than half of the pool are more likely the fault of what runs there, and the rest must be served.
    const auto others = std::ranges::count_if(m_records, [&](const auto &entry) {
        return &entry.second != &record && now < entry.second.recent.quarantinedUntil;
    });
    if (2 * (static_cast<std::size_t>(others) + 1) > m_records.size()) {
        return false;
    }
    record.recent.quarantinedUntil = now + period;
    return true;
}

void WorkerRecords::rememberFailure(std::uint64_t task, const std::string &agent, TimePoint now)
{
    std::erase_if(m_taskFailures, [&](const auto &entry) {
        return now >= entry.second.back().at + taskFailureMemory;
    });
    if (m_taskFailures.size() >= maxFailedTasks && !m_taskFailures.contains(task)) {
        m_taskFailures.erase(std::ranges::min_element(m_taskFailures, {}, [](const auto &entry) {
            return entry.second.back().at;
        }));
    }
    std::vector<TaskFailure> &failures = m_taskFailures[task];
    std::erase_if(failures, [&](const TaskFailure &failure) {
        return failure.agent == agent || now >= failure.at + taskFailureMemory;
    });
    failures.push_back({agent, now});
}

std::vector<StandingChange> WorkerRecords::refresh(std::span<PooledRecord *const> pool, TimePoint now)
{
    std::vector<StandingChange> changes;
    if (!m_acting) {
        return changes;
    }
    std::vector<PooledRecord *> barred;
    for (PooledRecord *record : pool) {
        record->leastBad = false;
        if (record->evidence.standing(now) == WorkerStanding::Barred) {
            barred.push_back(record);
        }
    }
    const std::size_t maxBarred = pool.size() / 2;
    if (barred.size() > maxBarred) {
        std::ranges::stable_sort(barred, {}, [](const PooledRecord *record) {
            return record->evidence.failedUnits();
        });
        for (std::size_t index = 0; index < barred.size() - maxBarred; ++index) {
            barred[index]->leastBad = true;
        }
    }
    for (PooledRecord *record : pool) {
        const WorkerStanding current = standing(*record, now);
        if (current != record->reported) {
            changes.push_back({record, record->reported, current});
            record->reported = current;
        }
    }
    return changes;
}

WorkerStanding WorkerRecords::standing(const PooledRecord &record, TimePoint now) const
{
    const WorkerStanding own = record.evidence.standing(now);
    return own == WorkerStanding::Barred && record.leastBad ? WorkerStanding::Doubtful : own;
}

bool WorkerRecords::isSuspect(const PooledRecord &record, TimePoint now) const
{
    if (!m_acting) {
        return now < record.recent.suspectedUntil;
    }
    return standing(record, now) == WorkerStanding::Doubtful || record.evidence.wasSlow(now);
}

bool WorkerRecords::isBarred(const PooledRecord &record, TimePoint now) const
{
    return m_acting ? standing(record, now) == WorkerStanding::Barred : now < record.recent.quarantinedUntil;
}

bool WorkerRecords::mayTakeLastAttempt(const PooledRecord &record, TimePoint now) const
{
    return !m_acting || standing(record, now) <= WorkerStanding::Untested;
}

} // namespace banyanlock
