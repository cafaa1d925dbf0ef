#pragma once

#include "core/Counters.h"
#include "core/TableTypes.h"
#include "graph/GraphCodec.h"
#include "headroom/PreemptionChurn.h"
#include "headroom/RestartBackOff.h"
#include "headroom/UrgentDemand.h"
#include "pool/ActiveUnit.h"
#include "pool/GraphTable.h"
#include "pool/PoolConfiguration.h"
#include "pool/PoolParts.h"
#include "pool/PoolPlanner.h"
#include "pool/PoolRows.h"
#include "pool/PoolWorker.h"
#include "runtimes/RunTimeModel.h"
#include "runtimes/WorkerSpeeds.h"
#include "shares/GroupOrder.h"
#include "shares/ShareTable.h"
#include "workerrecords/WorkerRecords.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Intervals and timeouts of the pool owner.
struct PoolTiming {
    Duration lease = fromMilliseconds(6000); ///< Lease duration of the workers' tasks; from the settings.
    Duration leaseSlack = fromMilliseconds(320); ///< Margin for a worker's clock that runs up to 2 % slow and for late timers.
    Duration maxSuspension = fromMilliseconds(4000); ///< Longest time for which a worker's instance may be suspended within a lease; the
                                                     ///< worker's clock stands still meanwhile. From the settings.
    Duration startTimeout = fromMilliseconds(1500); ///< Time after which a worker refuses a start; well below the bounds for draining a
                                                    ///< worker and for taking a failure domain out of service.
    Duration startExpiry
        = fromMilliseconds(2200); ///< Start timeout plus margin for clock drift; afterwards a start can no longer take effect.
    Duration maxListsAge
        = fromMilliseconds(2500); ///< Maximum age of a worker's lists while its agent reports it as answering: the agent's silence timeout.
    Duration minPollWait = fromMilliseconds(1000); ///< Long-poll wait in a small pool.
    Duration maxPollWait = fromMilliseconds(2000); ///< Long-poll wait in a large pool; a third of the lease.
    Duration pollWaitPerWorker
        = fromMilliseconds(35); ///< Long-poll wait per worker; at 0.4 ms of CPU time a call, polling uses 1 % of a core.
    Duration answerTimeout = fromMilliseconds(600); ///< Time allowed for an answer beyond the long-poll wait.
    Duration retryInterval = fromMilliseconds(250); ///< Delay after a failed call.
    Duration silenceTimeout
        = fromMilliseconds(1000); ///< Time without an answer, beyond the long-poll wait, after which the owner stops renewing and placing.
    Duration detachedLimit = fromMilliseconds(5000); ///< Time for which an owner that can't reach the table service keeps renewing leases;
                                                     ///< together with the lease this tolerates an outage of 8 s.
    Duration rejectionPause
        = fromMilliseconds(10000); ///< Pause before a job whose progress was rejected by the table service is tried again.
    Duration startConfirmation = fromMilliseconds(1000); ///< Time after which a job of which no start is confirmed is shown as queued
                                                         ///< again; counts of waiting jobs may be 2 s old.
    Duration stopRetryInterval = fromMilliseconds(500); ///< Interval between stops of the same run.
    Duration gangStartTimeout
        = fromMilliseconds(1200); ///< Time allowed for all members of a gang to start; less than half of the time that members wait.
    Duration retentionPeriod
        = std::chrono::minutes(10); ///< Retention of ended jobs and unreachable agents; callers poll an ended job for up to two minutes.
    Duration batchPausePerWorker = std::chrono::microseconds(500); ///< Pause after a transaction that concerned no urgent job, per worker:
                                                                   ///< 0.12 s at 240 workers, the time of four transactions.
    Duration maxBatchPause = fromMilliseconds(200); ///< Limit of the pause; a tenth of the time that a job of low priority may lose.
    Duration maxPlanInterval
        = fromMilliseconds(500); ///< Maximum interval between plans; due times and expired waits are noticed with at most this delay.
    Duration suspicionPeriod = fromMilliseconds(6000); ///< Time for which other workers are preferred after a worker failed, refused or was
                                                       ///< slow; most worker faults last no longer.
    Duration quarantinePeriod = fromMilliseconds(5000); ///< Time for which a worker with repeated failures gets no tasks.
};

/// A call to an agent; the result is passed to `PoolScheduler::onCallAnswered`.
struct CallAgent {
    std::string agent; ///< RPC address of the agent.
    std::uint64_t call = 0; ///< Number of the call.
    SuperviseRequest request; ///< Content of the call.
    Duration timeout{}; ///< Time allowed for the answer.
};

/// A transaction on the pool's rows; the host daemon adds the owner row.
struct PoolBatch {
    std::vector<RowCheck> checks; ///< Preconditions on row versions.
    std::vector<RowWrite> writes; ///< Rows to write or erase.
    bool startsRuns = false; ///< It records starts, which are ordered after it has committed.
};

/// State that operators set, as known to the scheduler.
struct OperatorView {
    PoolConfiguration configuration; ///< Configuration in effect.
    std::uint64_t configurationRowVersion = 0; ///< Version of the configuration row.
    std::set<std::string> outDomains; ///< Failure domains that are out of service.
};

/// The scheduler of a pool of workers, run by the entry that owns it.
///
/// Starts are recorded in the table service before they are ordered. The transaction checks the owner row, the configuration, the failure
/// domains and the job's cancellation, so neither a paused owner nor stale data can start a task. Ends are recorded before they are
/// acknowledged, so a new owner finds each end either in the rows or at the worker.
class PoolScheduler
{
public:
    /// @param jobs All jobs.
    /// @param operators State that operators set.
    /// @param rows Keys of the operators' rows.
    /// @param timing Intervals and timeouts.
    /// @param policy Policy of the planner.
    /// @param counters Counters to update.
    /// @param limits Limits of the table service.
    /// @param parts When each optional part acts.
    PoolScheduler(GraphTable &jobs, const OperatorView &operators, OperatorRows rows, PoolTiming timing, PlannerPolicy policy,
                  Counters &counters, TableLimits limits = TableLimits(), PoolParts parts = PoolParts());

    /// Acquires ownership of the pool; all rows up to the acquisition have been read.
    /// @param epoch Fencing token.
    /// @param handedOver Whether the earlier owner has released ownership, and so no longer renews leases.
    /// @param now Current time.
    void acquireOwnership(std::uint64_t epoch, bool handedOver, TimePoint now);

    /// Places no further units until ownership is released: what is under way is finished first.
    void stopPlacing()
    {
        m_placing = false;
    }

    /// Releases ownership of the pool; no more calls or transactions are produced.
    void releaseOwnership();

    /// @return Whether this entry owns the pool.
    bool isOwner() const
    {
        return m_epoch != 0;
    }

    /// @return Time for which an owner that can't reach the table service keeps renewing leases.
    Duration detachedLimit() const
    {
        return m_timing.detachedLimit;
    }

    /// @return Whether an agent has reported a newer owner.
    bool isSuperseded() const
    {
        return m_superseded;
    }

    /// @param now Current time.
    /// @return Whether no earlier owner can renew leases any more.
    bool earlierOwnersExpired(TimePoint now) const
    {
        return now >= m_earlierOwnersRenewUntil;
    }

    /// Sets whether leases may be renewed.
    /// @param allowed Whether the owner has reached the table service recently enough.
    void setRenewalsAllowed(bool allowed)
    {
        m_renewalsAllowed = allowed;
    }

    /// Handles a change of jobs, cancellations or operator state.
    void onRows();

    /// Handles a timer tick: the next step is due.
    void onTick()
    {
        m_changed = true;
    }

    /// Adds an agent to the pool unless it is known.
    /// @param agent RPC address.
    void addAgent(const std::string &agent);

    /// Handles the result of a `CallAgent` action.
    /// @param agent RPC address of the agent.
    /// @param call Number of the call.
    /// @param status Status of the agent, or null if the call failed.
    /// @param sentAt When the call was sent.
    /// @param now Current time.
    void onCallAnswered(const std::string &agent, std::uint64_t call, const WorkerStatus *status, TimePoint sentAt, TimePoint now);

    /// @return Whether events have been handled since the last step.
    bool isStepDue() const
    {
        return isOwner() && m_changed;
    }

    /// Expires silent runs, stops and closes units, schedules waiting units and queues calls to agents.
    /// @param now Current time.
    /// @param unixMilliseconds Time of day by this instance's clock, in milliseconds since 1970.
    void step(TimePoint now, std::int64_t unixMilliseconds);

    /// @param now Current time.
    /// @return The next transaction, if there is something to write and none is in flight; it stays in flight until `onCommitted` or
    /// `onConflict`.
    std::optional<PoolBatch> takeBatch(TimePoint now);

    /// Handles the commit of the batch.
    /// @param now Current time.
    void onCommitted(TimePoint now);

    /// Handles the rejection of the batch because of a change of the configuration, failure domains or cancellations. The changed rows
    /// have been read by now.
    void onConflict();

    /// Handles the final rejection of the batch by the table service. Smaller batches follow. A job that can't be recorded even by itself
    /// is set aside for a while, so that it holds up no other.
    /// @param now Current time.
    void onRejected(TimePoint now);

    /// @return The calls queued since the last call, in order.
    std::vector<CallAgent> takeCalls();

    /// @return The active units, by job and key.
    const std::map<std::pair<std::string, UnitKey>, ActiveUnit> &units() const
    {
        return m_units;
    }

    /// @return The workers, by RPC address of the agent.
    const std::map<std::string, PoolWorker> &workers() const
    {
        return m_workers;
    }

    /// @return Whether the progress of any job has yet to be written.
    bool hasUnwritten() const
    {
        return !m_dirty.empty();
    }

private:
    using UnitId = std::pair<std::string, UnitKey>;

    /// What a batch writes about a job.
    struct WrittenJob {
        GraphState state = GraphState::Queued;
        std::uint32_t continuationCount = 0;
    };

    /// Version of the row of an early cancellation, and when this owner first noticed it.
    struct NoticedRow {
        std::uint64_t version = 0;
        TimePoint since{};
    };

    void requestPlan()
    {
        m_changed = true;
        m_planDue = true;
    }

    // PoolScheduler.cpp: ownership and rows
    void restoreRunningUnits(TimePoint now);
    void markDirty(const GraphRecord &job);
    std::vector<std::string> chooseDirtyJobs() const;
    std::set<std::string> domainsToCheck(const std::string &job) const;
    void setAside(const std::string &job, TimePoint now);
    void resumeSetAside(TimePoint now);
    bool addToBatch(PoolBatch &batch, const std::string &job);
    void beginRecording(const std::string &job);
    void addChecks(PoolBatch &batch);
    ProgressRows encodeProgress(const GraphRecord &job) const;
    bool isBatchDue(TimePoint now) const;
    bool isStillAllowed(const ActiveUnit &unit) const;
    void withdraw(const UnitId &id);
    void addErasures(PoolBatch &batch, TimePoint now);
    void addEarlyCancellationErasures(PoolBatch &batch, std::size_t &room, TimePoint now);
    void removeErased();

    // PoolMembers.cpp: reports of workers on members of units
    std::optional<UnitId> unitOf(const TaskName &task) const;
    const ActiveUnit *findUnitOf(const TaskName &task) const;
    static bool isExpectedOn(const PoolWorker &worker, const RunName &run);
    void applyStatus(PoolWorker &worker, TimePoint now);
    void resolveUnconfirmed(const PoolWorker &worker);
    void updateMember(const PlacedMember &placed, const PoolWorker &worker);
    void updateProgress(const ActiveUnit &unit, ActiveMember &member, const RunReport &report, const PoolWorker &worker);
    static std::optional<Duration> projectRunTime(const ActiveMember &member);
    static bool isNearData(const ActiveUnit &unit);
    Duration remainingOf(const ActiveUnit &unit, TimePoint now) const;
    void endMember(const ActiveUnit &unit, ActiveMember &member, RunEnding ending);
    void expireSilentRuns(TimePoint now);
    void resolveBrokenGang(ActiveUnit &unit);
    void checkGang(ActiveUnit &unit, TimePoint now);
    bool belongsToActiveUnit(const RunName &run) const;
    void updateProcessedEnds(PoolWorker &worker);
    void acknowledgeEnds(PoolWorker &worker);
    void resolveTruncatedLists();
    void applyLateSuccesses(const PoolWorker &worker);
    void stopUnknownRuns(PoolWorker &worker, TimePoint now);

    // PoolUnits.cpp: life cycle of units
    void activate(ActiveUnit unit);
    ActiveUnit deactivate(const UnitId &id);
    void stop(ActiveUnit &unit, StopReason reason);
    static void setStopping(ActiveUnit &unit, StopReason reason);
    void sendStops(ActiveUnit &unit, TimePoint now);
    static void orderStop(PoolWorker &worker, const RunName &run, const WorkerIncarnation &incarnation);
    void closeEndedUnits(TimePoint now);
    void close(const ActiveUnit &unit, TimePoint now);
    bool wasSlow(const ActiveUnit &unit, const PoolWorker &worker, TimePoint now) const;
    void stopUnitsOnLeavingWorkers(TimePoint now);
    bool usesWorkerSpeeds();
    static RunTimeKey runTimeKeyOf(const GraphRecord &job, std::uint32_t step);
    RunTimeForecast forecastOf(const GraphRecord &job, std::uint32_t step) const;
    void learnRunTime(const ActiveUnit &unit, TimePoint now);
    void recordEndings(const ActiveUnit &unit, RunEnding ending, TimePoint now);
    void recordSuccess(GraphRecord &job, const UnitKey &key);
    bool hasUnits(const std::string &job) const;
    void closeIfIdle(const GraphRecord &job);
    void finishJob(GraphRecord &job, GraphState state);
    void noteStarted(GraphRecord &job);
    void showUnstartedAsQueued(TimePoint now);
    void dropFinishedOccurrences(GraphRecord &job) const;
    void stopObsoleteUnits(TimePoint now);
    void orderStarts(ActiveUnit &unit, TimePoint now);
    Duration pollWait() const;
    bool isSilent(const PoolWorker &worker, TimePoint now) const;

    // PoolRecords.cpp: evidence about workers
    void recordLife(PoolWorker &worker, const WorkerIncarnation &incarnation, TimePoint now);
    void recordEnding(const ActiveUnit &unit, const ActiveMember &member, TimePoint now);
    void recordFailure(const ActiveUnit &unit, const ActiveMember &member, TimePoint now);
    void suspect(PoolWorker &worker, const char *reason, TimePoint now);
    void considerAttempts(const GraphRecord &job, const UnitProgress &progress);
    void refreshRecords(TimePoint now);
    bool isHeldByRecord(const PoolWorker &worker, TimePoint now) const;
    bool withdrawExtraTrials(TimePoint now);

    // PoolPlanning.cpp: waiting units and their placement
    /// Waiting units of a job, kept until its progress changes.
    struct WaitingUnits {
        bool changed = true; // must be collected again
        TimePoint collectAgainAt{}; // when the first delay or preference of a unit ends; zero if there is none
        std::vector<Duration> criticalPaths; // by step
        Duration objective{}; // latency objective of the job
        std::vector<PlanGroup> groups;
    };

    bool schedule(TimePoint now);
    void indexWorkers();
    void collectGroups(const GraphRecord &job, WaitingUnits &waiting, TimePoint now) const;
    PlanGroup makeGroup(const GraphRecord &job, std::uint32_t occurrence, std::uint32_t step) const;
    void separateLastAttempts(const GraphRecord &job, PlanGroup group, WaitingUnits &waiting, TimePoint now) const;
    std::vector<PlanGroup> waitingGroups(const std::set<const GraphRecord *> &guaranteed, TimePoint now);
    std::vector<PlanVictim> makeVictims(const std::set<const GraphRecord *> &guaranteed, std::vector<ActiveUnit *> &units, TimePoint now);
    bool isDue(const GraphRecord &job, std::uint32_t occurrence, TimePoint now) const;
    bool isReady(const GraphRecord &job, std::uint32_t occurrence, const StepSpec &step) const;
    bool stepSucceeded(const GraphRecord &job, std::uint32_t occurrence, std::uint32_t step) const;
    std::int64_t unixNow(TimePoint now) const;
    Duration slackOf(const GraphRecord &job, const WaitingUnits &waiting, std::uint32_t occurrence, std::uint32_t step,
                     TimePoint now) const;
    std::set<const GraphRecord *> guaranteedJobs() const;
    void updatePlanWorkers(TimePoint now);

    // PoolHeadroom.cpp: room that is held for urgent units
    bool isIrregular() const;
    PlanOptions planOptions(std::span<const PlanGroup> groups, TimePoint now);
    void chargeAgedUnit(const PlanGroup &group);
    void accountShares(TimePoint now);
    std::vector<std::size_t> orderByShares(std::span<const PlanGroup> groups);
    void recordPreemption(const ActiveUnit &unit, TimePoint now);
    void keepRoomForUrgent(TimePoint now);
    void addUpResources(PoolWorker &worker);
    bool isUsable(const PoolWorker &worker, TimePoint now) const;
    void place(const PlanGroup &group, const PlannedStart &start, TimePoint now);

    // PoolCalls.cpp: calls to agents
    void sendCalls(TimePoint now);
    const std::vector<std::string> &namedServices();
    void sendCall(PoolWorker &worker, bool waits, TimePoint now);

    GraphTable &m_jobs;
    const OperatorView &m_operators;
    std::vector<std::string> m_services; // named by the configuration of m_servicesRowVersion
    std::uint64_t m_servicesRowVersion = 0;
    OperatorRows m_rows;
    PoolTiming m_timing;
    PoolPlanner m_planner;
    RunTimeModel m_runTimes;
    WorkerSpeeds m_speeds;
    UrgentDemand m_urgentDemand;
    PreemptionChurn m_churn;
    RestartBackOff m_backOff;
    bool m_holdsRoom = false; // as of the latest plan
    ShareTable m_shares;
    AgeingBudget m_ageing;
    bool m_agedFirst = false; // in the order of the latest plan
    TimePoint m_sharesAccountedAt{};
    bool m_usesShares = false; // as of the latest plan
    bool m_usesSpeeds = false; // as of the latest plan
    std::size_t m_contradictedKeys = 0; // as of the latest plan
    Counters &m_counters;
    TableLimits m_limits;
    PoolParts m_parts;
    WorkerRecords m_records;
    std::map<std::string, PoolWorker> m_workers; // by agent
    std::map<UnitId, ActiveUnit> m_units;
    std::set<UnitId> m_unitsWithNewEnds; // units with a member whose end has not been evaluated yet
    std::vector<PoolWorker *> m_workersByIndex; // as in the plans; empty when workers were added or erased
    std::vector<PlanWorker> m_planWorkers; // by index of the worker
    std::unordered_map<const GraphRecord *, WaitingUnits> m_waiting; // by open job
    std::map<std::string, TimePoint>
        m_jobsWithoutStart; // jobs with placed units of which no start is confirmed, with the time of the first placement
    std::map<std::string, std::uint64_t> m_dirty; // jobs whose progress has yet to be written, with the order in which they changed
    std::uint64_t m_dirtyOrder = 0;
    bool m_urgentDirty = false; // an urgent job has changed since the last batch
    TimePoint m_lastBatchAt{};
    std::vector<UnitId> m_recording; // units whose start is recorded by the batch in flight
    std::map<std::string, WrittenJob> m_batchJobs; // jobs whose progress is written by the batch in flight
    std::size_t m_maxJobsInBatch = 0; // lowered after a rejection
    std::map<std::string, TimePoint> m_setAside; // jobs whose progress was rejected, with the time until which it isn't written
    std::set<std::string> m_batchDomains; // failure domains that the batch in flight checks
    std::size_t m_batchBytes = 0; // size of the progress in the batch in flight
    std::map<std::string, std::uint64_t> m_endsInBatch; // by agent: last end that the batch in flight records
    std::map<std::pair<std::string, UnitKey>, TimePoint> m_waitingSince; // by step: the index is zero
    std::map<UnitId, TimePoint> m_lastAttemptsUntil; // units down to their last attempt, with the time until which they wait for a
                                                     // worker with a good record
    std::map<std::string, TimePoint> m_endedSince; // ended jobs, with the time at which this owner first noticed the end
    std::vector<std::string> m_erasedJobs; // jobs whose rows the batch in flight erases
    std::map<std::string, NoticedRow> m_earlyCancellations; // by key
    std::vector<std::string> m_erasedEarlyCancellations; // keys of the rows that the batch in flight erases
    std::vector<std::string> m_erasedAgents; // agents whose rows the batch in flight erases
    std::vector<CallAgent> m_calls;
    TimePoint m_ownedAt{};
    TimePoint m_earlierOwnersRenewUntil{}; // a disconnected earlier owner may renew leases until this time
    std::int64_t m_unixOffset = 0; // milliseconds from this instance's monotonic clock to the time of day
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextCall = 1;
    TimePoint m_plannedAt{};
    TimePoint m_nextErasure{};
    bool m_batchInFlight = false;
    bool m_changed = false; // events have been handled since the last step
    bool m_planDue = false; // waiting units or available resources have changed since the last plan
    bool m_renewalsAllowed = true;
    bool m_superseded = false;
    bool m_placing = true;
};

} // namespace banyanlock
