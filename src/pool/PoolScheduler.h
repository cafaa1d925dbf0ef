#pragma once

#include "core/Counters.h"
#include "core/TableTypes.h"
#include "pool/ActiveUnit.h"
#include "pool/GraphTable.h"
#include "pool/PoolConfiguration.h"
#include "pool/PoolPlanner.h"
#include "pool/PoolRows.h"
#include "pool/PoolWorker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Times that the owner of a pool keeps.
struct PoolTiming {
    Duration lease = fromMilliseconds(6000); ///< Lease of the workers' tasks; setting.
    Duration leaseSlack = fromMilliseconds(320); ///< A worker's clock may run 2 % slow, and timers fire late.
    Duration callValidity = fromMilliseconds(1000); ///< Time after which an agent passes over a call.
    Duration startTimeout
        = fromMilliseconds(1500); ///< Time after which a worker refuses a start; far under the bounds of draining and taking out.
    Duration startExpiry = fromMilliseconds(2200); ///< Start limit with the slack of clocks: afterwards a start can't come any more.
    Duration minPollWait = fromMilliseconds(1000); ///< Wait of a call for news in a small pool.
    Duration maxPollWait = fromMilliseconds(2000); ///< Wait of a call for news in a large pool; a third of the lease.
    Duration pollWaitPerWorker
        = fromMilliseconds(35); ///< Spacing of calls: one takes 0.4 ms of a processor, so they stay at 1 % of a core.
    Duration answerTimeout = fromMilliseconds(600); ///< Time for an answer beyond the wait.
    Duration retryInterval = fromMilliseconds(250); ///< Pause after a call that failed.
    Duration silenceTimeout
        = fromMilliseconds(1000); ///< Time without an answer, beyond the wait, after which nothing is renewed or placed.
    Duration detachedLimit = fromMilliseconds(
        5000); ///< Time for which an owner that can't reach the table service renews leases; with the lease it bears an outage of 8 s.
    Duration stopRetryInterval = fromMilliseconds(500); ///< Pause between two stops of the same run.
    Duration gangStartTimeout = fromMilliseconds(1200); ///< Time for all members of a gang to start; under half of what members wait.
    Duration retentionPeriod
        = std::chrono::minutes(10); ///< Time for which ended jobs, and agents without an answer, are kept; callers ask for two minutes.
    Duration maxPlanInterval = fromMilliseconds(500); ///< Longest time between two plans: due times and patience are noticed this late.
    Duration suspicionPeriod = fromMilliseconds(6000); ///< Time for which others are preferred to a worker that failed, refused or was
                                                       ///< slow; as long as most troubles of workers last.
    double slowTaskFactor = 2.0; ///< Multiple of the declared run time from which a task was slow; declarations are off by up to a half.
    Duration quarantinePeriod = fromMilliseconds(5000); ///< Time for which a worker that fails what it is given gets nothing.
};

/// Calls an agent; its status or its silence comes back as an event.
struct CallAgent {
    std::string agent; ///< RPC address of the agent.
    std::uint64_t call = 0; ///< Number of the call.
    SuperviseRequest request; ///< The call.
    Duration timeout{}; ///< Limit for the answer.
};

/// A transaction on the pool's rows, to which the shell adds the owner's row.
struct PoolBatch {
    std::vector<RowCheck> checks; ///< Conditions.
    std::vector<RowWrite> writes; ///< Writes.
};

/// What the scheduler knows of the operators' wishes.
struct OperatorView {
    PoolConfiguration configuration; ///< Adopted configuration.
    std::uint64_t configurationRowVersion = 0; ///< Version of its row.
    std::set<std::string> outDomains; ///< Failure domains that are out.
};

/// The scheduler of a pool of workers, run by the entry that owns it.
///
/// Starts are recorded in the table service before they are ordered. The transaction checks the owner's row, the configuration, the
/// failure domains and the job's cancellation, so an owner that was paused, or old news, starts nothing. Ends are recorded before they are
/// acknowledged, so a new owner finds each end either in the rows or at the worker.
class PoolScheduler
{
public:
    /// @param jobs All jobs.
    /// @param operators What operators have set.
    /// @param rows Names of the operators' rows.
    /// @param timing Times to keep.
    /// @param policy Weights of the planner.
    /// @param counters Counters.
    PoolScheduler(GraphTable &jobs, const OperatorView &operators, OperatorRows rows, PoolTiming timing, PlannerPolicy policy,
                  Counters &counters);

    /// Takes the pool over; all rows up to the taking have been read.
    /// @param epoch Fencing token.
    /// @param handedOver Whether the earlier owner has given the pool up, and so renews nothing any more.
    /// @param now Current time.
    void acquireOwnership(std::uint64_t epoch, bool handedOver, TimePoint now);

    /// Gives the pool up: nothing is sent any more.
    void releaseOwnership();

    /// @return Whether this entry owns the pool.
    bool isOwner() const
    {
        return m_epoch != 0;
    }

    /// @return Time for which an owner that can't reach the table service renews leases.
    Duration detachedLimit() const
    {
        return m_timing.detachedLimit;
    }

    /// @return Whether an agent has heard of a newer owner.
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
    /// @param allowed Whether the owner has reached the table service lately.
    void setRenewalsAllowed(bool allowed)
    {
        m_renewalsAllowed = allowed;
    }

    /// Tells that jobs, cancellations or operators' wishes have changed.
    void onRows()
    {
        requestPlan();
    }

    /// Tells that some time has passed.
    void onTick()
    {
        m_changed = true;
    }

    /// Takes in that an agent exists.
    /// @param agent RPC address.
    void addAgent(const std::string &agent);

    /// Takes in the answer to a `CallAgent` action.
    /// @param agent RPC address of the agent.
    /// @param call Number of the call.
    /// @param status Its status, or null without an answer.
    /// @param sentAt When the call was sent.
    /// @param now Current time.
    void onCallAnswered(const std::string &agent, std::uint64_t call, const WorkerStatus *status, TimePoint sentAt, TimePoint now);

    /// @return Whether events have come since the last step.
    bool isStepDue() const
    {
        return isOwner() && m_changed;
    }

    /// Does what is due.
    /// @param now Current time.
    /// @param unixMilliseconds Time of day by this instance's clock.
    void step(TimePoint now, std::int64_t unixMilliseconds);

    /// @param now Current time.
    /// @return The transaction that is due, if any has something to write; it is under way until `onCommitted` or `onConflict`.
    std::optional<PoolBatch> takeBatch(TimePoint now);

    /// Takes in that the batch has taken effect.
    /// @param now Current time.
    void onCommitted(TimePoint now);

    /// Takes in that the batch was refused, for a change of configuration, failure domains or cancellations that is known by now.
    void onConflict();

    /// @return The calls collected since the last call, in order.
    std::vector<CallAgent> takeCalls();

    /// @return Units that run.
    const std::map<std::pair<std::string, UnitKey>, ActiveUnit> &units() const
    {
        return m_units;
    }

    /// @return The workers, by agent.
    const std::map<std::string, PoolWorker> &workers() const
    {
        return m_workers;
    }

    /// @return Whether a job's rows are to be written.
    bool hasUnwritten() const
    {
        return !m_dirty.empty();
    }

private:
    using UnitId = std::pair<std::string, UnitKey>;

    void requestPlan()
    {
        m_changed = true;
        m_planDue = true;
    }

    // PoolScheduler.cpp: ownership and rows
    void restoreRunningUnits(TimePoint now);
    void markDirty(const std::string &job);
    void addErasures(PoolBatch &batch, TimePoint now);
    void removeErased();

    // PoolMembers.cpp: what workers report
    std::optional<UnitId> unitOf(const TaskName &task) const;
    const ActiveUnit *findUnitOf(const TaskName &task) const;
    bool isExpectedOn(const std::string &agent, const RunName &run) const;
    void applyStatus(PoolWorker &worker, TimePoint now);
    void resolveUnconfirmed(const PoolWorker &worker);
    void updateMember(ActiveMember &member, const PoolWorker &worker);
    void expireSilentRuns(TimePoint now);
    void resolveBrokenGang(ActiveUnit &unit);
    void checkGang(ActiveUnit &unit, TimePoint now);
    bool belongsToActiveUnit(const RunName &run) const;
    void updateProcessedEnds(PoolWorker &worker);
    void applyLateSuccesses(const PoolWorker &worker);
    void stopUnknownRuns(PoolWorker &worker);

    // PoolUnits.cpp: life cycle of units
    void stop(ActiveUnit &unit, StopReason reason);
    void sendStops(ActiveUnit &unit, TimePoint now);
    static void orderStop(PoolWorker &worker, const RunName &run, const WorkerIncarnation &incarnation);
    void closeEndedUnits(TimePoint now);
    void close(const ActiveUnit &unit, TimePoint now);
    void suspect(PoolWorker &worker, const char *reason, TimePoint now);
    bool wasSlow(const ActiveUnit &unit, const PoolWorker &worker, TimePoint now) const;
    void recordEndings(const ActiveUnit &unit, RunEnding ending, TimePoint now);
    void recordSuccess(GraphRecord &job, UnitProgress &progress);
    bool hasUnits(const std::string &job) const;
    void closeIfIdle(const GraphRecord &job);
    void finishJob(GraphRecord &job, GraphState state);
    void dropFinishedOccurrences(GraphRecord &job) const;
    void stopObsoleteUnits(TimePoint now);
    void orderStarts(ActiveUnit &unit, TimePoint now);
    PoolWorker *findWorker(const TaskPlace &place);
    Duration pollWait() const;
    bool isSilent(const PoolWorker &worker, TimePoint now) const;

    // PoolPlanning.cpp: what waits, and where it goes
    void schedule(TimePoint now);
    void addGroups(const GraphRecord &job, TimePoint now, const std::vector<std::string> &agents, std::vector<PlanGroup> &groups);
    bool isDue(const GraphRecord &job, std::uint32_t occurrence, TimePoint now) const;
    bool isReady(const GraphRecord &job, std::uint32_t occurrence, const StepSpec &step) const;
    bool stepSucceeded(const GraphRecord &job, std::uint32_t occurrence, std::uint32_t step) const;
    std::int64_t unixNow(TimePoint now) const;
    Duration slackOf(const GraphRecord &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now) const;
    std::set<std::string> guaranteedJobs() const;
    std::vector<PlanWorker> planWorkers(const std::vector<std::string> &agents, TimePoint now) const;
    bool isUsable(const PoolWorker &worker, TimePoint now) const;
    void place(const PlanGroup &group, const PlannedStart &start, const std::vector<std::string> &agents, TimePoint now);

    // PoolCalls.cpp: calls to agents
    void sendCalls(TimePoint now);
    void sendCall(PoolWorker &worker, bool waits, TimePoint now);

    GraphTable &m_jobs;
    const OperatorView &m_operators;
    OperatorRows m_rows;
    PoolTiming m_timing;
    PoolPlanner m_planner;
    Counters &m_counters;
    std::map<std::string, PoolWorker> m_workers; // by agent
    std::map<UnitId, ActiveUnit> m_units;
    std::set<std::string> m_dirty; // jobs whose progress is to be written
    std::vector<UnitId> m_recording; // units whose start the batch under way records
    std::map<std::string, GraphState> m_batchJobs; // jobs whose progress the batch under way writes, with the state that it writes
    std::map<std::string, std::uint64_t> m_endsInBatch; // by agent
    std::map<std::pair<std::string, UnitKey>, TimePoint> m_waitingSince; // by step: the index is zero
    std::map<std::string, TimePoint> m_endedSince; // jobs that have ended, by the time at which this owner first knew
    std::vector<std::string> m_erasedJobs; // whose rows the batch under way erases
    std::vector<std::string> m_erasedAgents; // whose rows the batch under way erases
    std::vector<CallAgent> m_calls;
    TimePoint m_ownedAt{};
    TimePoint m_earlierOwnersRenewUntil{}; // an earlier owner that is cut off may renew leases until then
    std::int64_t m_unixOffset = 0; // milliseconds between the time of day and this instance's clock
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextCall = 1;
    TimePoint m_plannedAt{};
    bool m_batchInFlight = false;
    bool m_changed = false; // events have come since the last step
    bool m_planDue = false; // what waits or where it can go has changed since the last plan
    bool m_renewalsAllowed = true;
    bool m_superseded = false;
};

} // namespace banyanlock
