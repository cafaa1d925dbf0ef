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

/// Times that a cell keeps.
struct CellTiming {
    Duration heartbeat = fromMilliseconds(1000); ///< Longest time between two messages to a worker.
    Duration lease = fromMilliseconds(8000); ///< Time for which tasks go on without a message; covers the takeover of a cell.
    Duration silenceTimeout = fromMilliseconds(4000); ///< Time without a report after which a worker's gangs stop.
    Duration messageValidity = fromMilliseconds(2000); ///< Time after which a worker passes over a message.
    Duration prepareTimeout = fromMilliseconds(2000); ///< Limit for preparing a gang.
    Duration checkpointGrace = fromMilliseconds(10000); ///< Time that a checkpoint may take.
    Duration rerouteDelay = fromMilliseconds(2000); ///< Wait after which a job looks at other cells.
    Duration compactionDelay = fromMilliseconds(3000); ///< Wait after which small gangs are moved to make whole room for a large one.
    Duration minRunBeforeMove = fromMilliseconds(20000); ///< Time that a gang runs before it is moved.
    Duration withholdDelay = fromMilliseconds(20000); ///< Wait after which accelerators are kept free for a job.
    Duration agingThreshold = fromMilliseconds(60000); ///< Wait after which a job goes ahead of its share.
    Duration initialQuarantine = fromMilliseconds(30000); ///< First quarantine of a worker; doubled each time in a row.
    Duration maxQuarantine = fromMilliseconds(600000); ///< Longest quarantine.
    Duration detachedRenewalLimit = fromMilliseconds(60000); ///< Time for which an owner cut off from store and peers renews leases.
};

/// A worker as the cell's owner knows it.
struct WorkerState {
    WorkerInfo info; ///< What is fixed about it.
    std::uint32_t rack = 0; ///< Number of its rack in the cell.
    std::uint64_t boot = 0; ///< Its process; zero until the first report.
    TimePoint clock{}; ///< Its clock in the last report.
    TimePoint clockReadAt{}; ///< When that report came.
    TimePoint lastReport{}; ///< When the last report came, or when the cell was taken.
    TimePoint lastSent{}; ///< When the last message was sent.
    TimePoint answeredMessageSentAt{}; ///< When the message was sent that the last report answered.
    TimePoint lastRenewal{}; ///< Latest moment at which a renewal can have been sent.
    std::vector<TaskCommand> lastCommands; ///< Commands of the last message.
    TimePoint unansweredValidUntil{}; ///< Until when a message without an answer may still be acted on.
    bool messageInFlight = false; ///< A message waits for its report.
    bool renewed = false; ///< Its leases have been renewed since the cell was taken.
    std::uint64_t tasksNumber = 0; ///< Number of that list at the worker; zero for none.
    std::vector<TaskReport> tasks; ///< Tasks of the last report.
    AcceleratorMask acceleratorsHeld = 0; ///< Accelerators of the cell's gangs.
    std::uint32_t processorsHeld = 0; ///< Processor cores of the cell's gangs.
    std::uint32_t memoryHeld = 0; ///< Memory of the cell's gangs, in megabytes.
    std::uint32_t consecutiveFailures = 0; ///< Failed tasks since the last good one.
    std::string lastFailedJob; ///< Job of the last failed task.
    bool failedSeveralJobs = false; ///< The failures in a row came from more than one job.
    std::uint32_t consecutiveQuarantines = 0; ///< Quarantines in a row.
    TimePoint quarantinedUntil{}; ///< Nothing is placed before this time.

    /// @param key Task to look up.
    /// @return The last report of the task, or null.
    const TaskReport *find(const TaskKey &key) const;
};

/// The workers of a cell: their reports, silences and failures.
class CellWorkers
{
public:
    /// @param timing Times that the cell keeps.
    /// @param counters Where quarantines are counted.
    CellWorkers(CellTiming timing, Counters &counters)
        : m_timing(timing)
        , m_counters(counters)
    {
    }

    /// Takes over the workers of the cell, when it is taken. An earlier owner may have renewed leases until now, and may go on for a while
    /// if it is cut off.
    /// @param workers Workers, racks together.
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
    /// @return Its index, or the number of workers if it is unknown.
    std::uint32_t indexOf(const std::string &name) const;

    /// Takes in a report.
    /// @param worker Index of the worker.
    /// @param report Its report.
    /// @param now Current time.
    void onReport(std::uint32_t worker, const WorkerReport &report, TimePoint now);

    /// Takes in that a message got no report.
    /// @param worker Index of the worker.
    void onReportTimeout(std::uint32_t worker);

    /// @param worker Worker to look at.
    /// @param now Current time.
    /// @return Whether gangs may be placed on it.
    bool isUsable(const WorkerState &worker, TimePoint now) const;

    /// @param worker Worker to look at.
    /// @param now Current time.
    /// @return Whether it has reported lately; the leases of other workers are not renewed.
    bool hasReportedRecently(const WorkerState &worker, TimePoint now) const
    {
        return now - worker.lastReport <= 2 * m_timing.heartbeat + m_timing.heartbeat / 2;
    }

    /// @param worker Worker to look at.
    /// @param now Current time.
    /// @return Whether it has been silent for so long that its gangs must stop.
    bool isSilent(const WorkerState &worker, TimePoint now) const
    {
        return now - worker.lastReport > m_timing.silenceTimeout;
    }

    /// @param worker Worker to look at.
    /// @param now Current time.
    /// @return Whether its tasks have surely stopped: the last renewal that it can have acted on has run out.
    bool isLost(const WorkerState &worker, TimePoint now) const
    {
        return now > worker.lastRenewal + m_timing.messageValidity + m_timing.lease;
    }

    /// @return Whether every worker has reported under this ownership, or was asked and is silent.
    /// @param now Current time.
    bool allReportedOrSilent(TimePoint now) const;

    /// Takes in the end of a task for the worker's failure record.
    /// @param worker Index of the worker.
    /// @param job Job of the task.
    /// @param succeeded Whether it ended well.
    /// @param now Current time.
    void recordTaskEnd(std::uint32_t worker, const std::string &job, bool succeeded, TimePoint now);

private:
    CellTiming m_timing;
    Counters &m_counters;
    std::vector<WorkerState> m_workers;
};

} // namespace banyanlock
