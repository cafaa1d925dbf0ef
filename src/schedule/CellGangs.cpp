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

// ---- what is known of tasks

Cell::Presence Cell::presenceOf(const Gang &gang, std::uint32_t task, TimePoint now) const
{
    const WorkerState &worker = m_workers.all()[gang.placement[task].worker];
    if (m_workers.isLost(worker, now)) {
        return Presence::Lost;
    }
    const TaskReport *report = worker.find({gang.job, gang.run, task});
    if (report == nullptr || report->accelerators != gang.placement[task].accelerators) {
        return Presence::Unseen;
    }
    switch (report->state) {
    case TaskState::Prepared:
        return Presence::Prepared;
    case TaskState::Running:
        return Presence::Running;
    case TaskState::Succeeded:
        return Presence::Succeeded;
    case TaskState::Failed:
        return Presence::Failed;
    case TaskState::Checkpointed:
        return Presence::Checkpointed;
    case TaskState::Stopped:
        return Presence::Stopped;
    }
    return Presence::Unseen;
}

bool Cell::everyTask(const Gang &gang, TimePoint now, std::initializer_list<Presence> wanted) const
{
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        if (std::ranges::find(wanted, presenceOf(gang, task, now)) == wanted.end()) {
            return false;
        }
    }
    return true;
}

bool Cell::anyTask(const Gang &gang, TimePoint now, std::initializer_list<Presence> unwanted) const
{
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        if (std::ranges::find(unwanted, presenceOf(gang, task, now)) != unwanted.end()) {
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

bool Cell::taskIsGone(const Gang &gang, std::uint32_t task, TimePoint now) const
{
    const WorkerState &worker = m_workers.all()[gang.placement[task].worker];
    if (m_workers.isLost(worker, now)) {
        return true;
    }
    // A report from before the stop says nothing, and a message without an answer may still be acted on.
    const bool reportedSince = worker.reportSentAt >= gang.stopSince && now > worker.unresolvedUntil;
    const TaskReport *report = worker.find({gang.job, gang.run, task});
    return reportedSince && (report == nullptr || !holdsResources(report->state));
}

bool Cell::isWanted(const Gang &gang) const
{
    const JobRecord *record = m_context.jobs.find(gang.job);
    BANYANLOCK_ASSERT(record != nullptr);
    return record->state == JobState::Queued && record->cell == m_failureDomain && !m_context.configuration.isOut(m_failureDomain);
}

// ---- steps

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
        if (!gang.transactionSent && now >= m_storeRetryAt) {
            close(gang, now);
        }
        break;
    }
}

void Cell::advanceReclaiming(Gang &gang, TimePoint now)
{
    if (!isWanted(gang) || now >= gang.deadline) {
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
        gang.deadline = now + m_times.prepareLimit;
    }
}

void Cell::advancePreparing(Gang &gang, TimePoint now)
{
    const bool ready = isEnabled(Guard::GangCommit) ? everyTask(gang, now, {Presence::Prepared}) : anyTask(gang, now, {Presence::Prepared});
    if (!isWanted(gang) || now >= gang.deadline || anyWorkerSilent(gang, now)) {
        release(gang, now);
    } else if (ready) {
        record(gang, now);
    }
}

void Cell::advanceStarting(Gang &gang, TimePoint now)
{
    if (everyTask(gang, now, {Presence::Running, Presence::Succeeded, Presence::Failed})) {
        gang.phase = GangPhase::Running;
        gang.runningSince = now;
        m_context.counters.add(Counter::GangsStarted);
        m_actions.emplace_back(ReportGang{"gang_started", gang.job, gang.run, ""});
        advanceRunning(gang, now);
        return;
    }
    const bool unprepared = isEnabled(Guard::GangCommit) && anyTask(gang, now, {Presence::Unseen});
    const bool broken = unprepared || anyTask(gang, now, {Presence::Stopped, Presence::Checkpointed, Presence::Lost});
    if (broken || now >= gang.deadline || anyWorkerSilent(gang, now)) {
        requeue(gang, "a task did not start", false, now);
    }
}

void Cell::advanceRunning(Gang &gang, TimePoint now)
{
    const JobRecord &record = *m_context.jobs.find(gang.job);
    if (everyTask(gang, now, {Presence::Succeeded})) {
        stop(gang, {JobState::Succeeded, record.failures, false, "all tasks succeeded"}, false, now);
        return;
    }
    if (anyTask(gang, now, {Presence::Failed})) {
        const std::uint32_t failures = record.failures + 1;
        const JobState state = failures >= m_policy.failureLimit ? JobState::Failed : JobState::Queued;
        stop(gang, {state, failures, record.fromCheckpoint, "a task failed"}, false, now);
        return;
    }
    const bool lost = anyTask(gang, now, {Presence::Unseen, Presence::Stopped, Presence::Checkpointed, Presence::Lost});
    if ((lost || anyWorkerSilent(gang, now)) && isEnabled(Guard::GangMemberLoss)) {
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
    gang.transactionSent = false;
    gang.outcome = std::move(outcome);
    gang.useCheckpoint = useCheckpoint;
    gang.deadline = useCheckpoint ? now + m_times.checkpointGrace : now;
    gang.stopSince = now;
    if (gang.recorded) {
        m_actions.emplace_back(ReportGang{"gang_stopping", gang.job, gang.run, gang.outcome.reason});
    }
    advanceStopping(gang, now);
}

void Cell::countTaskEnds(const Gang &gang, TimePoint now)
{
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        const Presence presence = presenceOf(gang, task, now);
        if (presence == Presence::Succeeded || presence == Presence::Failed) {
            m_workers.recordTaskEnd(gang.placement[task].worker, gang.job, presence == Presence::Succeeded, now);
        }
    }
}

void Cell::advanceStopping(Gang &gang, TimePoint now)
{
    bool gone = true;
    for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
        gone = gone && taskIsGone(gang, task, now);
    }
    const bool succeeded = gang.outcome.state == JobState::Succeeded;
    if (!gone && !succeeded && isEnabled(Guard::RunOnce)) {
        return;
    }
    if (gang.useCheckpoint && everyTask(gang, now, {Presence::Checkpointed})) {
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

JobRecord Cell::recordedStart(const Gang &gang) const
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
    gang.transactionSent = true;
    // The transaction proves the failure domain's state no later than now, so starts are counted from here.
    gang.startBy = now + m_times.validity;
    gang.written = recordedStart(gang);
    TableTransaction transaction = makeTransaction(gang.written, "start");
    if (isEnabled(Guard::StartTransaction)) {
        const std::uint64_t domainVersion = m_context.configuration.failureDomainVersion(m_failureDomain);
        transaction.checks.push_back({ConfigurationRows::table, ConfigurationRows::failureDomainKey(m_failureDomain), domainVersion});
    }
    m_actions.emplace_back(CommitJob{gang.job, std::move(transaction)});
}

JobRecord Cell::closedRecord(const Gang &gang) const
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
        next.cell = router.choose(next.spec, m_failureDomain).value_or(m_failureDomain);
    }
    return next;
}

bool Cell::isRecordOf(const JobRecord &record, const Gang &gang) const
{
    // Another cell, or another owner of this one, may have started a run with the same number.
    return record.state == JobState::Running && record.cell == m_failureDomain && record.run == gang.run
        && record.startEpoch == gang.startEpoch;
}

void Cell::close(Gang &gang, TimePoint now)
{
    const JobRecord &current = *m_context.jobs.find(gang.job);
    if (!isRecordOf(current, gang)) {
        // An earlier try took effect although its answer was lost.
        gang.finished = true;
        return;
    }
    gang.transactionSent = true;
    gang.deadline = now;
    gang.written = closedRecord(gang);
    m_actions.emplace_back(CommitJob{gang.job, makeTransaction(gang.written, "close")});
}

void Cell::adoptWritten(Gang &gang, std::uint64_t version)
{
    // What was written, not what would be written now: the configuration may have changed since.
    gang.written.version = version;
    m_context.jobs.adopt(std::move(gang.written));
}

void Cell::beginStarting(Gang &gang, TimePoint now)
{
    gang.transactionSent = false;
    gang.recorded = true;
    gang.phase = GangPhase::Starting;
    gang.deadline = std::max(now, gang.startBy) + m_times.heartbeat;
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
        adoptWritten(gang, result.version);
        beginStarting(gang, now);
        break;
    case CommitState::NotSent:
        m_storeFailed = true;
        release(gang, now);
        break;
    case CommitState::Conflict:
    case CommitState::Unknown:
        m_actions.emplace_back(RefreshJob{gang.job});
        break;
    }
}

void Cell::onCloseResult(Gang &gang, const CommitResult &result, TimePoint now)
{
    if (result.state == CommitState::Committed) {
        adoptWritten(gang, result.version);
        const JobState state = m_context.jobs.find(gang.job)->state;
        if (hasEnded(state)) {
            constexpr std::array counters{Counter::JobsSucceeded, Counter::JobsFailed, Counter::JobsCancelled};
            m_context.counters.add(counters[static_cast<std::size_t>(state) - static_cast<std::size_t>(JobState::Succeeded)]);
        }
        m_actions.emplace_back(ReportGang{"gang_closed", gang.job, gang.run, jobStateName(state)});
        gang.finished = true;
        return;
    }
    m_storeRetryAt = now + storeRetryDelay;
    m_actions.emplace_back(RefreshJob{gang.job});
}

void Cell::onRefresh(const std::string &job, bool available, TimePoint now)
{
    Gang *gang = isOwned() ? findGang(job) : nullptr;
    if (gang == nullptr || !gang->transactionSent) {
        return;
    }
    if (gang->phase == GangPhase::Closing) {
        // The next step tries again, with the row's new version if it has one.
        gang->transactionSent = false;
        m_storeRetryAt = now + storeRetryDelay;
        wake(now);
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
    wake(now);
}

} // namespace banyanlock
