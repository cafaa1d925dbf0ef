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

/// Choices that measurements compare; the defaults are what daemons use.
struct CellPolicy {
    PlacementOrder order = PlacementOrder::BestFit; ///< How to choose among placements.
    bool respectReservations = true; ///< Whether placements look at reservations.
    bool orderByArrival = false; ///< Baseline: jobs start in the order of submission.
    bool compact = true; ///< Whether small gangs are moved to make whole room for a large one.
    std::uint32_t failureLimit = 3; ///< Runs with a failed task after which a job has failed.
};

/// What all cells of an entry share.
struct CellContext {
    TimerService &timers; ///< Timer service.
    Counters &counters; ///< Counters.
    const Fleet &fleet; ///< All workers.
    const Configuration &configuration; ///< Adopted configuration.
    const ReservationPlan &plan; ///< Reservations of the guarantees.
    JobTable &jobs; ///< All jobs.
};

/// The scheduler of one failure domain, run by the entry that owns it.
///
/// The cell compares what its gangs need with what the workers report, and sends the commands that bring the two together; commands may be
/// lost and repeated. A gang starts only after all its workers have prepared and a transaction has recorded it; the transaction checks the
/// owner's epoch, the failure domain's state and the job's row, so an owner that was paused, or an old configuration, starts nothing.
class Cell
{
public:
    /// @param failureDomain Failure domain of the cell.
    /// @param entry Name of this entry, for change ids.
    /// @param context What all cells share.
    /// @param policy Choices that measurements compare.
    /// @param timing Times that the cell keeps.
    Cell(std::string failureDomain, std::string entry, CellContext context, CellPolicy policy = {}, CellTiming timing = {});

    /// Cancels the cell's timer.
    ~Cell();

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    /// Takes the cell over; first it learns from the workers what runs.
    /// @param epoch Fencing token: version of the cell's row.
    /// @param now Current time.
    void acquireOwnership(std::uint64_t epoch, TimePoint now);

    /// Gives the cell up: nothing is sent any more.
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

    /// @return Whether the cell has learned what runs and may start gangs.
    bool isRecovered() const
    {
        return m_recovered;
    }

    /// @return Fencing token; zero when not owned.
    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    /// @return Counts the takings of the cell; answers to messages of an earlier term are to be dropped.
    std::uint64_t term() const
    {
        return m_term;
    }

    /// Tells that all job rows up to a version have been read.
    /// @param version The store's version.
    /// @param now Current time.
    void onJobsRead(std::uint64_t version, TimePoint now);

    /// Takes in a worker's report.
    /// @param worker Name of the worker.
    /// @param report The report.
    /// @param now Current time.
    void onReport(const std::string &worker, const WorkerReport &report, TimePoint now);

    /// Takes in that a worker gave no report.
    /// @param worker Name of the worker.
    /// @param now Current time.
    void onReportTimeout(const std::string &worker, TimePoint now);

    /// Takes in the result of a `CommitJob` action.
    /// @param job Id of the job.
    /// @param result The result.
    /// @param now Current time.
    void onCommit(const std::string &job, const CommitResult &result, TimePoint now);

    /// Takes in the result of a `RefreshJob` action; a row that was read is in the job table by then.
    /// @param job Id of the job.
    /// @param available Whether the store answered.
    /// @param now Current time.
    void onRefresh(const std::string &job, bool available, TimePoint now);

    /// Sets whether leases may be renewed: not by an owner that is cut off from store and peers for long.
    /// @param allowed Whether they may.
    void setRenewalsAllowed(bool allowed)
    {
        m_renewalsAllowed = allowed;
    }

    /// @return The actions collected since the last call, in order.
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

    /// Checks that no accelerator is held by two gangs and no gang is placed outside its worker.
    /// @return Whether all of it holds.
    bool isConsistent() const;

private:
    /// What is known of a task.
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

    /// What a worker's next message would carry.
    struct MessagePlan {
        std::vector<TaskCommand> commands;
        TimePoint validUntil{};
        bool reportNeeded = false; // a stop waits for a report that is newer than itself
    };

    /// What decides whether a job finds a place; jobs that are alike in it fail alike.
    struct PlacementRequirements {
        std::string_view workspace;
        GangShape shape;
        bool canCheckpoint = false;
        bool urgent = false;
        bool mayCompact = false;
        bool aged = false;

        bool operator==(const PlacementRequirements &) const = default;
    };

    /// One look at the queue.
    struct QueuePass {
        std::vector<PlacementRequirements> unplaceable; // what found no place
        std::size_t withholdingJobs = 0; // jobs for which accelerators are withheld
        std::size_t reroutes = 0;
    };

    // Cell.cpp: ownership, events and steps
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
    bool allTasksIn(const Gang &gang, TimePoint now, std::initializer_list<ObservedState> wanted) const;
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

    // CellQueue.cpp: order of the queue, waits, other cells
    void schedule(TimePoint now);
    std::vector<const JobRecord *> queuedJobs(TimePoint now);
    void handleUnplacedJob(const JobRecord &job, QueuePass &pass, TimePoint now);
    void pruneEndedJobs(TimePoint now);
    double weightedUsage(const std::string &workspace) const;
    Duration waitingTime(const JobRecord &job, TimePoint now) const;
    bool isAged(const JobRecord &job, TimePoint now) const;
    bool mayReroute(const JobRecord &job, TimePoint now) const;
    void tryReroute(const JobRecord &job, TimePoint now);

    // CellPlacement.cpp: places for jobs
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
    std::unordered_map<std::string, std::size_t> m_gangIndex; // place in m_gangs by job
    std::vector<CellAction> m_actions;
    std::vector<AcceleratorMask> m_withheld; // by worker, for jobs that have waited long; made anew in each step
    std::map<std::string, std::uint32_t> m_lastRuns;
    std::map<std::string, TimePoint> m_queuedSince;
    std::map<std::string, TimePoint> m_nextRerouteAt;
    TimerId m_timer;
    TimePoint m_nextStepAt{};
    TimePoint m_lastScheduleAt{};
    TimePoint m_lastPruneAt{};
    TimePoint m_storeRetryAt{};
    std::uint64_t m_epoch = 0;
    std::uint64_t m_jobsReadVersion = 0;
    std::uint64_t m_term = 0;
    bool m_recovered = false;
    bool m_queueChanged = false; // jobs or room may have come since the queue was last looked at
    bool m_storeUnavailable = false; // since the last read of the tables
    bool m_renewalsAllowed = true;
};

} // namespace banyanlock
