#pragma once

#include "core/Counters.h"
#include "core/Time.h"
#include "placement/WorkerInfo.h"
#include "schedule/WorkerMessage.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanlock
{

/// Intervals, timeouts and thresholds of a cell.
struct CellTiming {
    Duration heartbeat = fromMilliseconds(1000); ///< Maximum interval between two messages to a worker.
    Duration lease = fromMilliseconds(8000); ///< Time for which tasks run without a renewal; must cover a takeover of the cell.
    Duration silenceTimeout = fromMilliseconds(4000); ///< Time without a report after which the gangs of a worker are stopped.
    Duration messageValidity = fromMilliseconds(2000); ///< Age after which a worker ignores a message.
    Duration prepareTimeout = fromMilliseconds(2000); ///< Time limit for preparing a gang.
    Duration checkpointGrace = fromMilliseconds(10000); ///< Time allowed for saving a checkpoint before the task is stopped.
    Duration rerouteDelay = fromMilliseconds(2000); ///< Waiting time after which a job may be rerouted to another cell.
    Duration compactionDelay = fromMilliseconds(3000); ///< Waiting time after which small gangs are relocated for a large job.
    Duration minRunBeforeMove = fromMilliseconds(20000); ///< Minimum time that a gang runs before it may be relocated.
    Duration withholdDelay = fromMilliseconds(20000); ///< Waiting time after which accelerators are kept free for a job.
    Duration agingThreshold = fromMilliseconds(60000); ///< Waiting time after which a job takes precedence over fair share.
    Duration initialQuarantine = fromMilliseconds(30000); ///< First quarantine of a worker; doubled for each consecutive one.
    Duration maxQuarantine = fromMilliseconds(600000); ///< Maximum duration of a quarantine.
    Duration detachedRenewalLimit = fromMilliseconds(60000); ///< Time for which an owner without store and peers renews leases.
};

/// State of a worker as known to the owner of the cell.
struct WorkerState {
    WorkerInfo info; ///< Static properties.
    std::uint32_t rack = 0; ///< Index of its rack in the cell.
    std::uint64_t boot = 0; ///< Boot id of its process; zero until the first report.
    TimePoint clock{}; ///< Clock of the worker in the last report.
    TimePoint clockReadAt{}; ///< When that report was received.
    TimePoint lastReport{}; ///< When the last report was received; initially when ownership was acquired.
    TimePoint lastSent{}; ///< When the last message was sent.
    TimePoint answeredMessageSentAt{}; ///< When the message answered by the last report was sent.
    TimePoint lastRenewal{}; ///< Latest time at which this or an earlier owner can have sent a renewal.
    std::vector<TaskCommand> lastCommands; ///< Commands of the last message.
    TimePoint unansweredValidUntil{}; ///< Time until which the worker may still act on an unanswered message.
    bool messageInFlight = false; ///< A message awaits its report.
    bool renewed = false; ///< Leases were renewed since ownership was acquired.
    std::uint64_t tasksNumber = 0; ///< Number of the task list at the worker; zero if unknown.
    std::vector<TaskReport> tasks; ///< Tasks of the last report.
    AcceleratorMask acceleratorsHeld = 0; ///< Accelerators held by gangs of the cell.
    std::uint32_t processorsHeld = 0; ///< Processor cores held by gangs of the cell.
    std::uint32_t memoryHeld = 0; ///< Memory held by gangs of the cell, in megabytes.
    std::uint32_t consecutiveFailures = 0; ///< Failed tasks since the last successful task.
    std::string lastFailedJob; ///< Job of the last failed task.
    bool failedSeveralJobs = false; ///< The consecutive failures belong to more than one job.
    std::uint32_t consecutiveQuarantines = 0; ///< Number of quarantines since the last successful task.
    TimePoint quarantinedUntil{}; ///< No gang is placed on the worker before this time.

    /// @param key Task to look up.
    /// @return Last reported state of the task, or null.
    const TaskReport *find(const TaskKey &key) const;
};

/// Workers of a cell with their reports, report timeouts and failures.
class CellWorkers
{
public:
    /// @param timing Intervals, timeouts and thresholds of the cell.
    /// @param counters Metrics that count quarantines.
    CellWorkers(CellTiming timing, Counters &counters)
        : m_timing(timing)
        , m_counters(counters)
    {
    }

    /// Resets the state of all workers when ownership of the cell is acquired. A previous owner may have renewed leases until now, and may
    /// continue to renew them for `detachedRenewalLimit` if it is disconnected from store and peers.
    /// @param workers Workers of the cell, grouped by rack.
    /// @param now Current time.
    void reset(std::span<const WorkerInfo> workers, TimePoint now);

    /// @return All workers of the cell.
    std::span<WorkerState> all()
    {
        return m_workers;
    }

    /// @return All workers of the cell.
    std::span<const WorkerState> all() const
    {
        return m_workers;
    }

    /// @param name Name of a worker.
    /// @return Index of the worker, or the number of workers if the name is unknown.
    std::uint32_t indexOf(const std::string &name) const;

    /// Updates the state of a worker from a report.
    /// @param worker Index of the worker.
    /// @param report Its report.
    /// @param now Current time.
    void onReport(std::uint32_t worker, const WorkerReport &report, TimePoint now);

    /// Handles a message that was not answered in time.
    /// @param worker Index of the worker.
    void onReportTimeout(std::uint32_t worker);

    /// @param worker Worker to check.
    /// @param now Current time.
    /// @return Whether gangs may be placed on the worker.
    bool isUsable(const WorkerState &worker, TimePoint now) const;

    /// @param worker Worker to check.
    /// @param now Current time.
    /// @return Whether the worker reported within 2.5 heartbeats. The leases of other workers are not renewed.
    bool hasReportedRecently(const WorkerState &worker, TimePoint now) const
    {
        return now - worker.lastReport <= 2 * m_timing.heartbeat + m_timing.heartbeat / 2;
    }

    /// @param worker Worker to check.
    /// @param now Current time.
    /// @return Whether the last report is older than `silenceTimeout`, so that the gangs of the worker must stop.
    bool isSilent(const WorkerState &worker, TimePoint now) const
    {
        return now - worker.lastReport > m_timing.silenceTimeout;
    }

    /// @param worker Worker to check.
    /// @param now Current time.
    /// @return Whether all tasks of the worker are guaranteed to have stopped: every lease that it can have received has expired.
    bool isLost(const WorkerState &worker, TimePoint now) const
    {
        return now > worker.lastRenewal + m_timing.messageValidity + m_timing.lease;
    }

    /// @return Whether each worker has reported since ownership was acquired, or has left the messages since then unanswered for 2.5
    /// heartbeats.
    /// @param now Current time.
    bool allReportedOrSilent(TimePoint now) const;

    /// Records the end of a task; consecutive failures of several jobs quarantine the worker.
    /// @param worker Index of the worker.
    /// @param job Job of the task.
    /// @param succeeded Whether the task succeeded.
    /// @param now Current time.
    void recordTaskEnd(std::uint32_t worker, const std::string &job, bool succeeded, TimePoint now);

private:
    CellTiming m_timing;
    Counters &m_counters;
    std::vector<WorkerState> m_workers;
};

} // namespace banyanlock
