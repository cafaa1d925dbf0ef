#include "schedule/Cell.h"

#include "core/Assert.h"
#include "core/Guard.h"
#include "schedule/CellTable.h"
#include "schedule/JobCodec.h"
#include "schedule/JobRouter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration storeRetryDelay = fromMilliseconds(500);

} // namespace

const char *gangPhaseName(GangPhase phase)
{
    static constexpr std::array names{"reclaiming", "preparing", "recording", "starting", "running", "stopping", "closing"};
    return names[static_cast<std::size_t>(phase)];
}

// ---- observed state of tasks

Cell::ObservedState Cell::observedState(const Gang &gang, std::uint32_t task, TimePoint now) const
{
    const WorkerState &worker = m_workers.all()[gang.placement[task].worker];
    if (m_workers.isLost(worker, now)) {
        return ObservedState::Lost;
    }
    const TaskReport *report = worker.find({gang.job, gang.run, task});
    if (report == nullptr || report->accelerators != gang.placement[task].accelerators) {
        return ObservedState::NotReported;
    }
    switch (report->state) {
    case TaskState::Prepared:
        return ObservedState::Prepared;
    case TaskState::Running:
        return ObservedState::Running;
    case TaskState::Succeeded:
        return ObservedState::Succeeded;
    case TaskState::Failed:
        return ObservedState::Failed;
    case TaskState::Checkpointed:
        return ObservedState::Checkpointed;
    case TaskState::Stopped:
        return ObservedState::Stopped;
    }
    return ObservedState::NotReported;
}

bool Cell::allTasksIn(const Gang &gang, TimePoint now, std::initializer_list<ObservedState> states) const
{
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        if (std::ranges::find(states, observedState(gang, task, now)) == states.end()) {
            return false;
        }
    }
    return true;
}

bool Cell::anyTaskIn(const Gang &gang, TimePoint now, std::initializer_list<ObservedState> states) const
{
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        if (std::ranges::find(states, observedState(gang, task, now)) != states.end()) {
            return true;
        }
    }
    return false;
}

bool Cell::anyWorkerSilent(const Gang &gang, TimePoint now) const
{
    return std::ranges::any_of(gang.placement, [&](const TaskPlacement &task) {
        return m_workers.isSilent(m_workers.all()[task.worker], now);
    });
}

bool Cell::isTaskStopped(const Gang &gang, std::uint32_t task, TimePoint now) const
{
    const WorkerState &worker = m_workers.all()[gang.placement[task].worker];
    if (m_workers.isLost(worker, now)) {
        return true;
    }
    // A report from before the stop proves nothing, and the worker may still act on an unanswered message.
    const bool reportedSince = worker.answeredMessageSentAt >= gang.stoppingSince && now > worker.unansweredValidUntil;
    const TaskReport *report = worker.find({gang.job, gang.run, task});
    return reportedSince && (report == nullptr || !holdsResources(report->state));
}

bool Cell::mayStillStart(const Gang &gang) const
{
    const JobRecord *record = m_context.jobs.find(gang.job);
    BANYANLOCK_ASSERT(record != nullptr);
    return record->state == JobState::Queued && record->cell == m_failureDomain && !m_context.configuration.isOut(m_failureDomain);
}

// ---- phases of a gang

void Cell::advance(Gang &gang, TimePoint now)
{
    switch (gang.phase) {
    case GangPhase::Reclaiming:
        advanceReclaiming(gang, now);
        break;
    case GangPhase::Preparing:
        advancePreparing(gang, now);
        break;
    case GangPhase::Starting:
        advanceStarting(gang, now);
        break;
    case GangPhase::Running:
        advanceRunning(gang, now);
        break;
    case GangPhase::Stopping:
        advanceStopping(gang, now);
        break;
    case GangPhase::Recording:
        break;
    case GangPhase::Closing:
        if (!gang.transactionInFlight && now >= m_storeRetryAt) {
            close(gang, now);
        }
        break;
    }
}

void Cell::advanceReclaiming(Gang &gang, TimePoint now)
{
    if (!mayStillStart(gang) || now >= gang.deadline) {
        gang.finished = true;
        return;
    }
    const bool occupied = std::ranges::any_of(m_gangs, [&](const Gang &other) {
        return &other != &gang && !other.finished && other.phase != GangPhase::Reclaiming
            && std::ranges::any_of(other.placement, [&](const TaskPlacement &held) {
                   return std::ranges::any_of(gang.placement, [&](const TaskPlacement &wanted) {
                       return held.worker == wanted.worker && (held.accelerators & wanted.accelerators) != 0;
                   });
               });
    });
    if (!occupied) {
        gang.phase = GangPhase::Preparing;
        gang.deadline = now + m_timing.prepareTimeout;
    }
}

void Cell::advancePreparing(Gang &gang, TimePoint now)
{
    const bool ready
        = isEnabled(Guard::GangCommit) ? allTasksIn(gang, now, {ObservedState::Prepared}) : anyTaskIn(gang, now, {ObservedState::Prepared});
    if (!mayStillStart(gang) || now >= gang.deadline || anyWorkerSilent(gang, now)) {
        release(gang, now);
    } else if (ready) {
        record(gang, now);
    }
}

void Cell::advanceStarting(Gang &gang, TimePoint now)
{
    if (allTasksIn(gang, now, {ObservedState::Running, ObservedState::Succeeded, ObservedState::Failed})) {
        gang.phase = GangPhase::Running;
        gang.runningSince = now;
        m_context.counters.add(Counter::GangsStarted);
        m_actions.emplace_back(LogGangEvent{"gang_started", gang.job, gang.run, ""});
        advanceRunning(gang, now);
        return;
    }
    const bool unprepared = isEnabled(Guard::GangCommit) && anyTaskIn(gang, now, {ObservedState::NotReported});
    const bool startFailed = unprepared || anyTaskIn(gang, now, {ObservedState::Stopped, ObservedState::Checkpointed, ObservedState::Lost});
    if (startFailed || now >= gang.deadline || anyWorkerSilent(gang, now)) {
        requeue(gang, "a task did not start", false, now);
    }
}

void Cell::advanceRunning(Gang &gang, TimePoint now)
{
    const JobRecord &record = *m_context.jobs.find(gang.job);
    if (allTasksIn(gang, now, {ObservedState::Succeeded})) {
        stop(gang, {JobState::Succeeded, record.failures, false, "all tasks succeeded"}, false, now);
        return;
    }
    if (anyTaskIn(gang, now, {ObservedState::Failed})) {
        const std::uint32_t failures = record.failures + 1;
        const JobState state = failures >= m_policy.failureLimit ? JobState::Failed : JobState::Queued;
        stop(gang, {state, failures, record.fromCheckpoint, "a task failed"}, false, now);
        return;
    }
    const bool memberLost
        = anyTaskIn(gang, now, {ObservedState::NotReported, ObservedState::Stopped, ObservedState::Checkpointed, ObservedState::Lost});
    if ((memberLost || anyWorkerSilent(gang, now)) && isEnabled(Guard::GangMemberLoss)) {
        m_context.counters.add(Counter::GangMembersLost);
        requeue(gang, "a member was lost", false, now);
    } else if (record.cancelRequested) {
        stop(gang, {JobState::Cancelled, record.failures, false, "cancelled"}, false, now);
    } else if (m_context.configuration.isOut(m_failureDomain)) {
        requeue(gang, "failure domain " + m_failureDomain + " is out", record.spec.canCheckpoint, now);
    }
}

void Cell::requeue(Gang &gang, const std::string &reason, bool useCheckpoint, TimePoint now)
{
    const JobRecord &record = *m_context.jobs.find(gang.job);
    m_context.counters.add(Counter::GangsRequeued);
    stop(gang, {JobState::Queued, record.failures, record.fromCheckpoint, reason}, useCheckpoint, now);
}

void Cell::stop(Gang &gang, GangOutcome outcome, bool useCheckpoint, TimePoint now)
{
    countTaskEnds(gang, now);
    gang.phase = GangPhase::Stopping;
    gang.transactionInFlight = false;
    gang.outcome = std::move(outcome);
    gang.useCheckpoint = useCheckpoint;
    gang.deadline = useCheckpoint ? now + m_timing.checkpointGrace : now;
    gang.stoppingSince = now;
    if (gang.recorded) {
        m_actions.emplace_back(LogGangEvent{"gang_stopping", gang.job, gang.run, gang.outcome.reason});
    }
    advanceStopping(gang, now);
}

void Cell::countTaskEnds(const Gang &gang, TimePoint now)
{
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        const ObservedState observed = observedState(gang, task, now);
        if (observed == ObservedState::Succeeded || observed == ObservedState::Failed) {
            m_workers.recordTaskEnd(gang.placement[task].worker, gang.job, observed == ObservedState::Succeeded, now);
        }
    }
}

void Cell::advanceStopping(Gang &gang, TimePoint now)
{
    bool allStopped = true;
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        allStopped = allStopped && isTaskStopped(gang, task, now);
    }
    const bool succeeded = gang.outcome.state == JobState::Succeeded;
    if (!allStopped && !succeeded && isEnabled(Guard::RunOnce)) {
        return;
    }
    if (gang.useCheckpoint && allTasksIn(gang, now, {ObservedState::Checkpointed})) {
        gang.outcome.fromCheckpoint = true;
    }
    if (!gang.recorded) {
        gang.finished = true;
        return;
    }
    gang.phase = GangPhase::Closing;
    if (now >= m_storeRetryAt) {
        close(gang, now);
    }
}

// ---- transactions

TableTransaction Cell::makeTransaction(const JobRecord &next, const std::string &step) const
{
    const JobRecord &current = *m_context.jobs.find(next.id);
    TableTransaction transaction;
    transaction.changeId = m_entry + "/" + std::to_string(m_epoch) + "/" + next.id + "/" + std::to_string(next.run) + "/" + step;
    if (isEnabled(Guard::StartTransaction)) {
        transaction.checks.push_back({cellTable, m_failureDomain, m_epoch});
    }
    transaction.checks.push_back({jobTable, next.id, current.version});
    transaction.writes.push_back({jobTable, next.id, encodeJobRecord(next)});
    return transaction;
}

JobRecord Cell::makeStartRecord(const Gang &gang) const
{
    JobRecord next = *m_context.jobs.find(gang.job);
    next.state = JobState::Running;
    next.run = gang.run;
    next.startEpoch = gang.startEpoch;
    next.reason = "started by " + m_entry;
    next.tasks.clear();
    for (const TaskPlacement &task : gang.placement) {
        next.tasks.push_back({m_workers.all()[task.worker].info.name, task.accelerators});
    }
    return next;
}

void Cell::record(Gang &gang, TimePoint now)
{
    gang.phase = GangPhase::Recording;
    gang.transactionInFlight = true;
    // The transaction guarantees that the failure domain was in service at least until now, so the start deadline counts from now.
    gang.startDeadline = now + m_timing.messageValidity;
    gang.pendingRecord = makeStartRecord(gang);
    TableTransaction transaction = makeTransaction(gang.pendingRecord, "start");
    if (isEnabled(Guard::StartTransaction)) {
        const std::uint64_t domainVersion = m_context.configuration.failureDomainVersion(m_failureDomain);
        transaction.checks.push_back({ConfigurationRows::table, ConfigurationRows::failureDomainKey(m_failureDomain), domainVersion});
    }
    m_actions.emplace_back(CommitJob{gang.job, std::move(transaction)});
}

JobRecord Cell::makeEndRecord(const Gang &gang) const
{
    JobRecord next = *m_context.jobs.find(gang.job);
    next.state = gang.outcome.state;
    next.failures = gang.outcome.failures;
    next.fromCheckpoint = gang.outcome.fromCheckpoint;
    next.reason = gang.outcome.reason;
    next.tasks.clear();
    if (next.state == JobState::Queued && next.cancelRequested) {
        next.state = JobState::Cancelled;
        next.reason = "cancelled";
    }
    if (next.state == JobState::Queued && m_context.configuration.isOut(m_failureDomain)) {
        const JobRouter router(m_context.fleet, m_context.configuration, m_context.plan, m_context.jobs);
        next.cell = router.chooseCell(next.spec, m_failureDomain).value_or(m_failureDomain);
    }
    return next;
}

bool Cell::isRecordOf(const JobRecord &record, const Gang &gang) const
{
    // Another cell or another owner of this cell may have started a run with the same number.
    return record.state == JobState::Running && record.cell == m_failureDomain && record.run == gang.run
        && record.startEpoch == gang.startEpoch;
}

void Cell::close(Gang &gang, TimePoint now)
{
    const JobRecord &current = *m_context.jobs.find(gang.job);
    if (!isRecordOf(current, gang)) {
        // An earlier attempt took effect although its reply was lost.
        gang.finished = true;
        return;
    }
    gang.transactionInFlight = true;
    gang.deadline = now;
    gang.pendingRecord = makeEndRecord(gang);
    m_actions.emplace_back(CommitJob{gang.job, makeTransaction(gang.pendingRecord, "close")});
}

void Cell::adoptPendingRecord(Gang &gang, std::uint64_t version)
{
    // Applies the record that was written rather than a new one, since the configuration may have changed in the meantime.
    gang.pendingRecord.version = version;
    m_context.jobs.adopt(std::move(gang.pendingRecord));
}

void Cell::beginStarting(Gang &gang, TimePoint now)
{
    gang.transactionInFlight = false;
    gang.recorded = true;
    gang.phase = GangPhase::Starting;
    gang.deadline = std::max(now, gang.startDeadline) + m_timing.heartbeat;
}

void Cell::release(Gang &gang, TimePoint now)
{
    stop(gang, {}, false, now);
    m_context.counters.add(Counter::GangsReleased);
}

void Cell::onRecordResult(Gang &gang, const CommitResult &result, TimePoint now)
{
    switch (result.state) {
    case CommitState::Committed:
        adoptPendingRecord(gang, result.version);
        beginStarting(gang, now);
        break;
    case CommitState::NotSent:
        m_storeUnavailable = true;
        release(gang, now);
        break;
    case CommitState::Conflict:
    case CommitState::Rejected:
    case CommitState::Unknown:
        m_actions.emplace_back(RefreshJob{gang.job});
        break;
    }
}

void Cell::onCloseResult(Gang &gang, const CommitResult &result, TimePoint now)
{
    if (result.state == CommitState::Committed) {
        adoptPendingRecord(gang, result.version);
        const JobState state = m_context.jobs.find(gang.job)->state;
        if (hasEnded(state)) {
            constexpr std::array counters{Counter::JobsSucceeded, Counter::JobsFailed, Counter::JobsCancelled};
            m_context.counters.add(counters[static_cast<std::size_t>(state) - static_cast<std::size_t>(JobState::Succeeded)]);
        }
        m_actions.emplace_back(LogGangEvent{"gang_closed", gang.job, gang.run, jobStateName(state)});
        gang.finished = true;
        return;
    }
    m_storeRetryAt = now + storeRetryDelay;
    m_actions.emplace_back(RefreshJob{gang.job});
}

void Cell::onRefresh(const std::string &job, bool available, TimePoint now)
{
    Gang *gang = isOwned() ? findGang(job) : nullptr;
    if (gang == nullptr || !gang->transactionInFlight) {
        return;
    }
    if (gang->phase == GangPhase::Closing) {
        // The next step retries with the current version of the row.
        gang->transactionInFlight = false;
        m_storeRetryAt = now + storeRetryDelay;
        scheduleStep(now);
        return;
    }
    if (!available) {
        m_context.timers.subscribe(now + storeRetryDelay, [this, job](TimePoint) {
            if (isOwned() && findGang(job) != nullptr) {
                m_actions.emplace_back(RefreshJob{job});
            }
        });
        return;
    }
    const JobRecord &record = *m_context.jobs.find(job);
    if (isRecordOf(record, *gang)) {
        m_context.counters.add(Counter::StoreUnknownSettled);
        beginStarting(*gang, now);
    } else {
        release(*gang, now);
    }
    scheduleStep(now);
}

} // namespace banyanlock
