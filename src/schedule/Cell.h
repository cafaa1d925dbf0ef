#pragma once

#include "contract/Configuration.h"
#include "core/Counters.h"
#include "core/TimerService.h"
#include "placement/Fleet.h"
#include "placement/ReservationPlan.h"
#include "schedule/CellAction.h"
#include "schedule/CellPlanner.h"
#include "schedule/CellWorkers.h"
#include "schedule/Gang.h"
#include "schedule/JobTable.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyanlock
{

/// Scheduling policy of a cell. Daemons use the defaults; benchmarks compare them with alternatives.
struct CellPolicy {
    PlacementOrder order = PlacementOrder::BestFit; ///< How to choose among the placements that fit.
    bool respectReservations = true; ///< Whether placements respect reservations; false is a baseline.
    bool orderByArrival = false; ///< Baseline: jobs start strictly in the order of submission.
    bool compact = true; ///< Whether small gangs are relocated to defragment capacity for a large one.
    std::uint32_t failureLimit = 3; ///< Number of runs with a failed task after which the job fails.
};

/// Services and state shared by all cells of an entry.
struct CellContext {
    TimerService &timers; ///< Timers of the entry.
    Counters &counters; ///< Metrics of the entry.
    const Fleet &fleet; ///< All workers of the platform.
    const Configuration &configuration; ///< Current configuration.
    const ReservationPlan &plan; ///< Reservations for the guarantees.
    JobTable &jobs; ///< All known jobs.
};

/// Scheduler of one failure domain, run by the entry that owns the cell.
///
/// The cell reconciles the desired state of its gangs with the reports of the workers by sending commands. Commands are idempotent, since
/// messages may be lost or repeated. A gang starts only after all its workers have prepared its tasks and a transaction has recorded the
/// start. The transaction checks the owner's epoch, the state of the failure domain and the version of the job's row, so neither a paused
/// owner nor an owner with a stale configuration can start a gang.
class Cell
{
public:
    /// @param failureDomain Failure domain of the cell.
    /// @param entry Name of this entry, used in change ids.
    /// @param context Services and state shared by all cells.
    /// @param policy Scheduling policy.
    /// @param timing Intervals and timeouts.
    Cell(std::string failureDomain, std::string entry, CellContext context, CellPolicy policy = {}, CellTiming timing = {});

    /// Cancels the timer of the cell.
    ~Cell();

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    /// Acquires ownership of the cell. No gang starts until the state of all workers is recovered from their reports.
    /// @param epoch Fencing token: the version of the cell's row.
    /// @param now Current time.
    void acquireOwnership(std::uint64_t epoch, TimePoint now);

    /// Releases ownership of the cell: drops all gangs and pending actions and sends no further messages.
    void releaseOwnership();

    /// @return Failure domain of the cell.
    const std::string &failureDomain() const
    {
        return m_failureDomain;
    }

    /// @return Whether this entry owns the cell.
    bool isOwned() const
    {
        return m_epoch != 0;
    }

    /// @return Whether the state of the workers has been recovered, so that gangs may start.
    bool isRecovered() const
    {
        return m_recovered;
    }

    /// @return Fencing token; zero when not owned.
    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    /// @return Number of times that ownership was acquired; replies to messages of an earlier term must be dropped.
    std::uint64_t term() const
    {
        return m_term;
    }

    /// Notes that all job rows up to a version have been read.
    /// @param version Version of the store.
    /// @param now Current time.
    void onJobsRead(std::uint64_t version, TimePoint now);

    /// Handles a report of a worker.
    /// @param worker Name of the worker.
    /// @param report The report.
    /// @param now Current time.
    void onReport(const std::string &worker, const WorkerReport &report, TimePoint now);

    /// Handles a message to which the worker did not reply in time.
    /// @param worker Name of the worker.
    /// @param now Current time.
    void onReportTimeout(const std::string &worker, TimePoint now);

    /// Handles the result of a `CommitJob` action.
    /// @param job Id of the job.
    /// @param result The result.
    /// @param now Current time.
    void onCommit(const std::string &job, const CommitResult &result, TimePoint now);

    /// Handles the result of a `RefreshJob` action. A row that was read has already been applied to the job table.
    /// @param job Id of the job.
    /// @param available Whether the store answered.
    /// @param now Current time.
    void onRefresh(const std::string &job, bool available, TimePoint now);

    /// Sets whether leases may be renewed. An owner that has long been disconnected from store and peers must not renew them.
    /// @param allowed Whether renewals are allowed.
    void setRenewalsAllowed(bool allowed)
    {
        m_renewalsAllowed = allowed;
    }

    /// @return Actions collected since the last call, in order.
    std::vector<CellAction> takeActions();

    /// @return Gangs of the cell.
    const std::vector<Gang> &gangs() const
    {
        return m_gangs;
    }

    /// @return Workers of the cell.
    const CellWorkers &workers() const
    {
        return m_workers;
    }

    /// Checks that no accelerator is held by two gangs and that each placement uses only accelerators that its worker has.
    /// @return Whether the state is consistent.
    bool isConsistent() const;

private:
    /// State of a task as derived from the last report of its worker.
    enum class ObservedState : std::uint8_t {
        NotReported,
        Prepared,
        Running,
        Succeeded,
        Failed,
        Checkpointed,
        Stopped,
        Lost,
    };

    /// Content of the next message to a worker.
    struct MessagePlan {
        std::vector<TaskCommand> commands;
        TimePoint validUntil{};
        bool reportNeeded = false; // a stop is confirmed only by a report that is newer than the stop
    };

    /// Properties that determine whether a job can be placed. Jobs with equal requirements get the same result within a pass.
    struct PlacementRequirements {
        std::string_view workspace;
        GangShape shape;
        bool canCheckpoint = false;
        bool urgent = false;
        bool mayCompact = false;
        bool aged = false;

        bool operator==(const PlacementRequirements &) const = default;
    };

    /// State of one pass over the queue.
    struct QueuePass {
        std::vector<PlacementRequirements> unplaceable; // requirements that could not be placed
        std::size_t withholdingJobs = 0; // number of jobs for which accelerators are withheld
        std::size_t reroutes = 0;
    };

    // Cell.cpp: ownership, events, periodic steps
    void scheduleStep(TimePoint now);
    void step(TimePoint now);
    void finishRecovery(TimePoint now);
    void adoptRunningJobs(TimePoint now);
    Gang *findGang(const std::string &job);
    const Gang *findGang(const std::string &job) const;
    void indexGangs();
    CellSnapshot snapshot(TimePoint now) const;
    std::uint32_t firstWorkerIndex() const;

    // CellGangs.cpp: life cycle of gangs
    ObservedState observedState(const Gang &gang, std::uint32_t task, TimePoint now) const;
    bool allTasksIn(const Gang &gang, TimePoint now, std::initializer_list<ObservedState> states) const;
    bool anyTaskIn(const Gang &gang, TimePoint now, std::initializer_list<ObservedState> states) const;
    bool anyWorkerSilent(const Gang &gang, TimePoint now) const;
    bool isTaskStopped(const Gang &gang, std::uint32_t task, TimePoint now) const;
    bool mayStillStart(const Gang &gang) const;
    void advance(Gang &gang, TimePoint now);
    void advanceReclaiming(Gang &gang, TimePoint now);
    void advancePreparing(Gang &gang, TimePoint now);
    void advanceStarting(Gang &gang, TimePoint now);
    void advanceRunning(Gang &gang, TimePoint now);
    void advanceStopping(Gang &gang, TimePoint now);
    void record(Gang &gang, TimePoint now);
    void close(Gang &gang, TimePoint now);
    void stop(Gang &gang, GangOutcome outcome, bool useCheckpoint, TimePoint now);
    void requeue(Gang &gang, const std::string &reason, bool useCheckpoint, TimePoint now);
    void beginStarting(Gang &gang, TimePoint now);
    void release(Gang &gang, TimePoint now);
    void onRecordResult(Gang &gang, const CommitResult &result, TimePoint now);
    void onCloseResult(Gang &gang, const CommitResult &result, TimePoint now);
    void adoptPendingRecord(Gang &gang, std::uint64_t version);
    void countTaskEnds(const Gang &gang, TimePoint now);
    bool isRecordOf(const JobRecord &record, const Gang &gang) const;
    JobRecord makeStartRecord(const Gang &gang) const;
    JobRecord makeEndRecord(const Gang &gang) const;
    TableTransaction makeTransaction(const JobRecord &next, const std::string &step) const;

    // CellQueue.cpp: queue order, waiting times, rerouting to other cells
    void schedule(TimePoint now);
    std::vector<const JobRecord *> queuedJobs(TimePoint now);
    void handleUnplacedJob(const JobRecord &job, QueuePass &pass, TimePoint now);
    void pruneEndedJobs(TimePoint now);
    double weightedUsage(const std::string &workspace) const;
    Duration waitingTime(const JobRecord &job, TimePoint now) const;
    bool isAged(const JobRecord &job, TimePoint now) const;
    bool mayReroute(const JobRecord &job, TimePoint now) const;
    void tryReroute(const JobRecord &job, TimePoint now);

    // CellPlacement.cpp: placement of jobs
    bool tryPlace(const JobRecord &job, QueuePass &pass, TimePoint now);
    PlacementRequirements requirementsOf(const JobRecord &job, TimePoint now) const;
    std::optional<PlannedGang> plan(const JobRecord &job, TimePoint now) const;
    std::optional<PlannedGang> planCompaction(const JobRecord &job, const CellSnapshot &cell) const;
    bool mayCompact(const JobRecord &job, TimePoint now) const;
    bool isMovable(const Gang &gang, const JobRecord &job, TimePoint now) const;
    bool withhold(const JobRecord &job, TimePoint now);
    void addGang(const JobRecord &job, PlannedGang planned, TimePoint now);
    bool isWithinLimit(const JobSpec &spec) const;
    bool isOnOwnReservation(const GangPlacement &placement, const std::string &workspace) const;
    bool isReclaimable(const Gang &gang) const;
    bool mayPreempt(const Gang &victim, const JobRecord &job) const;
    void recomputeHeldResources();
    void addHeldResources(const Gang &gang);

    // CellMessages.cpp: messages to workers
    void sendMessages(TimePoint now);
    bool isMessageDue(const WorkerState &worker, const MessagePlan &plan, TimePoint now) const;
    std::vector<MessagePlan> planMessages(TimePoint now) const;
    std::optional<TaskCommandKind> commandKindFor(const Gang &gang, std::uint32_t task, TimePoint now) const;
    TaskCommand makeCommand(TaskCommandKind kind, const Gang &gang, std::uint32_t task) const;
    void addOrphanCommands(std::vector<TaskCommand> &commands, const WorkerState &worker) const;

    std::string m_failureDomain;
    std::string m_entry;
    CellContext m_context;
    CellPolicy m_policy;
    CellTiming m_timing;
    CellPlanner m_planner;
    CellWorkers m_workers;
    std::vector<Gang> m_gangs;
    std::unordered_map<std::string, std::size_t> m_gangIndex; // index in m_gangs by job id
    std::vector<CellAction> m_actions;
    std::vector<AcceleratorMask> m_withheld; // by worker, for jobs that have waited long; recomputed in each scheduling pass
    std::map<std::string, std::uint32_t> m_lastRuns; // highest run number used here, by job id
    std::map<std::string, TimePoint> m_queuedSince; // when this owner first saw the job queued, by job id
    std::map<std::string, TimePoint> m_nextRerouteAt; // earliest next attempt to reroute, by job id
    TimerId m_timer;
    TimePoint m_nextStepAt{};
    TimePoint m_lastScheduleAt{};
    TimePoint m_lastPruneAt{};
    TimePoint m_storeRetryAt{};
    std::uint64_t m_epoch = 0;
    std::uint64_t m_jobsReadVersion = 0;
    std::uint64_t m_term = 0;
    bool m_recovered = false;
    bool m_queueChanged = false; // jobs may have been added or accelerators released since the last scheduling pass
    bool m_storeUnavailable = false; // a transaction could not be sent since the last read of the tables
    bool m_renewalsAllowed = true;
};

} // namespace banyanlock
