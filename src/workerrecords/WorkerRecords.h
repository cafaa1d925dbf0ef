#pragma once

#include "core/PartMode.h"
#include "core/Time.h"
#include "workerrecords/WorkerRecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace banyanlock
{

/// What placement considers while worker records do not act: the latest failures of a worker, without standings.
struct RecentTrouble {
    std::uint32_t consecutiveFailures = 0; ///< Failed tasks since the last successful one.
    TimePoint suspectedUntil{}; ///< Other workers are preferred until this time.
    TimePoint quarantinedUntil{}; ///< No task is placed on the worker until this time.
};

/// The record of one agent's worker, with its place in the pool.
struct PooledRecord {
    std::string agent; ///< RPC address of the agent.
    WorkerRecord evidence; ///< Evidence about the worker.
    RecentTrouble recent; ///< Considered instead of the evidence while the records do not act.
    bool leastBad = false; ///< Barred by its evidence, but used because most of the pool is barred.
    WorkerStanding reported = WorkerStanding::Untested; ///< Standing as of the last `WorkerRecords::refresh`.
};

/// A change of a worker's standing.
struct StandingChange {
    const PooledRecord *record = nullptr; ///< The worker's record.
    WorkerStanding from = WorkerStanding::Untested; ///< Earlier standing.
    WorkerStanding to = WorkerStanding::Untested; ///< New standing.
};

/// What a failure is attributed to.
enum class FailureCause : std::uint8_t {
    Worker, ///< The failure is on the worker's record.
    Task, ///< The task failed on another worker before; the earlier failures are taken back and this one is not recorded.
};

/// The records of all workers of a pool, as collected by its owner. Evidence is collected in every mode; it affects placement only while
/// the records act.
class WorkerRecords
{
public:
    /// @param mode When the records act.
    /// @param timing Periods.
    explicit WorkerRecords(PartMode mode, RecordTiming timing = RecordTiming());

    /// Removes all records. With `PartMode::Auto` the records stop acting.
    void clear();

    /// Adds a record without evidence, or discards the evidence if the agent is known.
    /// @param agent RPC address of the agent.
    /// @return The record; it stays in place until it is erased.
    PooledRecord &add(const std::string &agent);

    /// Erases a record.
    /// @param agent RPC address of the agent.
    void erase(const std::string &agent);

    /// @return Whether the records affect placement.
    bool isActing() const
    {
        return m_acting;
    }

    /// Begins to act, if the mode is `PartMode::Auto`.
    /// @return Whether the records act from now on and did not before.
    bool beginActing();

    /// Records a run that succeeded.
    /// @param record Record of the worker.
    /// @param run The run.
    void addSuccess(PooledRecord &record, const RecordedRun &run);

    /// Records a run that failed, unless it was the task's fault.
    /// @param record Record of the worker.
    /// @param run The run.
    /// @param now Current time.
    /// @return What the failure is attributed to.
    FailureCause addFailure(PooledRecord &record, const RecordedRun &run, TimePoint now);

    /// Counts a failure in a row. From the second one on the worker is quarantined, unless half of the pool already is.
    /// @param record Record of the worker.
    /// @param period Length of the quarantine.
    /// @param now Current time.
    /// @return Whether the worker is quarantined from now on.
    bool addFailureInRow(PooledRecord &record, Duration period, TimePoint now);

    /// Relates the workers to each other and notes changes of standing. If more than half of them are barred, the least bad of these become
    /// Doubtful until half remain barred.
    /// @param pool Records of the workers that could be used but for their standing.
    /// @param now Current time.
    /// @return The changes of standing since the last call; none while the records do not act.
    std::vector<StandingChange> refresh(std::span<PooledRecord *const> pool, TimePoint now);

    /// @param record Record of a worker.
    /// @param now Current time.
    /// @return The worker's standing within the pool.
    WorkerStanding standing(const PooledRecord &record, TimePoint now) const;

    /// @param record Record of a worker.
    /// @param now Current time.
    /// @return Whether other workers are preferred.
    bool isSuspect(const PooledRecord &record, TimePoint now) const;

    /// @param record Record of a worker.
    /// @param now Current time.
    /// @return Whether no run may start on the worker.
    bool isBarred(const PooledRecord &record, TimePoint now) const;

    /// @param record Record of a worker.
    /// @param now Current time.
    /// @return Whether the worker may run a unit that fails its job if it fails once more: it is Proven or Untested, or the records do
    /// not act.
    bool mayTakeLastAttempt(const PooledRecord &record, TimePoint now) const;

private:
    struct TaskFailure {
        std::string agent;
        TimePoint at;
    };

    void rememberFailure(std::uint64_t task, const std::string &agent, TimePoint now);

    PartMode m_mode;
    RecordTiming m_timing;
    bool m_acting;
    std::map<std::string, PooledRecord> m_records; // by agent
    std::map<std::uint64_t, std::vector<TaskFailure>> m_taskFailures; // by task, with the latest failure last
};

} // namespace banyanlock
