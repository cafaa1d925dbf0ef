// PoolScheduler: reports of workers on members of units.

#include "core/Assert.h"
#include "core/Log.h"
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

/// @return Whether the status may lack ends of runs that are over. Agents of earlier versions show it by the number of ends only.
bool mayOmitEnds(const WorkerStatus &status)
{
    return status.endsTruncated || status.ends.size() >= maxListedEnds;
}

/// @return Whether the end of a member decides the outcome of its unit's run: work that is done, or a failure that counts.
bool isDecisive(RunEnding ending)
{
    return ending == RunEnding::Succeeded || ending == RunEnding::Failed;
}

/// @return Whether the outcome of the unit's run is known, whatever the members do whose ends are not.
bool isDecided(const ActiveUnit &unit)
{
    return std::ranges::any_of(unit.members, [](const ActiveMember &member) {
        return member.ending && isDecisive(*member.ending);
    });
}

} // namespace

std::optional<PoolScheduler::UnitId> PoolScheduler::unitOf(const TaskName &task) const
{
    const GraphRecord *job = std::as_const(m_jobs).find(task.job);
    if (job == nullptr || task.step >= job->spec.steps.size()) {
        return std::nullopt;
    }
    const bool gang = job->spec.steps[task.step].gang;
    return UnitId(task.job, {task.occurrence, task.step, gang ? 0 : task.index});
}

const ActiveUnit *PoolScheduler::findUnitOf(const TaskName &task) const
{
    const std::optional<UnitId> id = unitOf(task);
    const auto unit = id ? m_units.find(*id) : m_units.end();
    return unit == m_units.end() ? nullptr : &unit->second;
}

bool PoolScheduler::isExpectedOn(const PoolWorker &worker, const RunName &run)
{
    return std::ranges::any_of(worker.members, [&](const PlacedMember &placed) {
        return placed.member->run == run && !placed.member->ending;
    });
}

void PoolScheduler::onCallAnswered(const std::string &agent, std::uint64_t call, const WorkerStatus *status, TimePoint sentAt,
                                   TimePoint now)
{
    const auto found = m_workers.find(agent);
    if (!isOwner() || found == m_workers.end()) {
        return;
    }
    PoolWorker &worker = found->second;
    if (worker.pollInFlight && worker.pollCall == call) {
        worker.pollInFlight = false;
        worker.nextPoll = status == nullptr ? now + (isSilent(worker, now) ? m_timing.minPollWait : m_timing.retryInterval) : now;
    }
    m_changed = true;
    worker.callUnanswered = status == nullptr;
    if (status == nullptr) {
        return;
    }
    if (status->highestEpoch > m_epoch) {
        Log::warning("owner_superseded",
                     {{"agent", agent},
                      {"epoch", static_cast<std::int64_t>(m_epoch)},
                      {"known_epoch", static_cast<std::int64_t>(status->highestEpoch)}});
        m_superseded = true;
        return;
    }
    const bool outdated
        = worker.known && status->agentIncarnation == worker.status.agentIncarnation && status->number < worker.status.number;
    const bool fromEarlierProcess
        = worker.known && status->agentIncarnation != worker.status.agentIncarnation && sentAt < worker.statusRequestedAt;
    if (status->highestEpoch < m_epoch || outdated || fromEarlierProcess) {
        return;
    }
    if (!worker.known) {
        // From now on the agent refuses calls of earlier owners; an earlier process of the agent may have accepted them until now.
        worker.known = true;
        worker.lastRenewalSent = std::min(worker.lastRenewalSent, now);
    }
    if (worker.status.worker.incarnation != status->worker.incarnation) {
        worker.processedEnd = 0;
        worker.recordedEnd = 0;
        worker.record->recent = RecentTrouble();
    }
    recordLife(worker, status->worker.incarnation, now);
    // A new agent process numbers batches from its own start, and may have received one that was numbered for its predecessor.
    const bool sameProcess = status->agentIncarnation == worker.status.agentIncarnation;
    worker.batch = sameProcess ? std::max(worker.batch, status->lastOrderBatch) : status->lastOrderBatch;
    const bool isUpdate
        = status->agentIncarnation != worker.status.agentIncarnation || status->number != worker.status.number || isSilent(worker, now);
    worker.status = *status;
    if (status->workerFence != 0) {
        worker.workerFence = status->workerFence;
        worker.fencedIncarnation = status->worker.incarnation;
    }
    worker.statusRequestedAt = sentAt;
    worker.statusReceivedAt = now;
    if (isUpdate) {
        m_planDue = true;
        applyStatus(worker, now);
    } else {
        resolveUnconfirmed(worker);
    }
}

void PoolScheduler::resolveUnconfirmed(const PoolWorker &worker)
{
    // Even an unchanged status can prove that a start that was in flight never took effect.
    for (const PlacedMember &placed : worker.members) {
        if (!placed.member->confirmed && !placed.member->ending && placed.unit->phase == UnitPhase::Started) {
            updateMember(placed, worker);
        }
    }
}

void PoolScheduler::applyStatus(PoolWorker &worker, TimePoint now)
{
    worker.resourcesChanged = true;
    for (const PlacedMember &placed : worker.members) {
        if (placed.unit->phase == UnitPhase::Started && !placed.member->ending) {
            updateMember(placed, worker);
        }
    }
    for (const PlacedMember &placed : worker.members) {
        if (placed.unit->phase == UnitPhase::Started) {
            checkGang(*placed.unit, now);
        }
    }
    applyLateSuccesses(worker);
    closeEndedUnits(now);
    acknowledgeEnds(worker);
    stopUnknownRuns(worker, now);
}

bool PoolScheduler::belongsToActiveUnit(const RunName &run) const
{
    const ActiveUnit *unit = findUnitOf(run.task);
    return unit != nullptr && unit->run == run.run;
}

void PoolScheduler::updateProcessedEnds(PoolWorker &worker)
{
    // The end of a gang's member is recorded only when the whole gang has ended; until then a new owner must find it in the worker's
    // report.
    std::uint64_t processed = worker.processedEnd;
    std::uint64_t firstOpen = UINT64_MAX;
    for (const RunEnd &end : worker.status.ends) {
        // Truncated lists go on only after an acknowledgement, so ends that a new owner can do without are acknowledged early.
        const bool isNeeded = belongsToActiveUnit(end.run) || m_setAside.contains(end.run.task.job);
        if (isNeeded && (isDecisive(end.ending) || !mayOmitEnds(worker.status))) {
            firstOpen = std::min(firstOpen, end.number);
        } else {
            processed = std::max(processed, end.number);
        }
    }
    worker.processedEnd = std::max(worker.processedEnd, std::min(processed, firstOpen - 1));
}

void PoolScheduler::applyLateSuccesses(const PoolWorker &worker)
{
    // A run that was considered lost because its lease expired may have succeeded before. Its result counts, and a later run is stopped.
    for (const RunEnd &end : worker.status.ends) {
        const TaskName &task = end.run.task;
        const std::optional<UnitId> id = unitOf(task);
        if (end.ending != RunEnding::Succeeded || !id || belongsToActiveUnit(end.run)) {
            continue;
        }
        GraphRecord *job = m_jobs.find(task.job);
        if (job == nullptr || hasEnded(job->progress.state) || job->spec.steps[task.step].longRunning
            || task.occurrence < job->progress.finishedOccurrences) {
            continue;
        }
        const auto progress = job->progress.units.find(id->second);
        if (progress == job->progress.units.end() || progress->second.succeeded || end.run.run > progress->second.run) {
            continue;
        }
        Log::info("late_success_taken", {{"run", describe(end.run)}, {"newest_run", static_cast<std::int64_t>(progress->second.run)}});
        const auto unit = m_units.find(*id);
        if (unit != m_units.end()) {
            stop(unit->second, StopReason::AlreadyDone);
        }
        recordSuccess(*job, id->second);
    }
}

void PoolScheduler::resolveTruncatedLists()
{
    for (auto &[agent, worker] : m_workers) {
        if (!worker.known || !mayOmitEnds(worker.status)) {
            continue;
        }
        for (const PlacedMember &placed : worker.members) {
            if (placed.unit->phase == UnitPhase::Started && !placed.member->ending && isDecided(*placed.unit)) {
                updateMember(placed, worker);
            }
        }
        acknowledgeEnds(worker);
    }
}

void PoolScheduler::acknowledgeEnds(PoolWorker &worker)
{
    updateProcessedEnds(worker);
    if (m_dirty.empty() && !m_batchInFlight) {
        worker.recordedEnd = worker.processedEnd; // the ends changed nothing that needs to be written
    }
}

void PoolScheduler::endMember(const ActiveUnit &unit, ActiveMember &member, RunEnding ending)
{
    member.ending = ending;
    member.worker->resourcesChanged = true;
    m_unitsWithNewEnds.insert({unit.job, unit.key});
}

void PoolScheduler::updateProgress(const ActiveUnit &unit, ActiveMember &member, const RunReport &report, const PoolWorker &worker)
{
    if (report.percent == 0 || report.starting) {
        return;
    }
    member.percent = report.percent;
    member.percentAt = worker.statusReceivedAt - worker.status.listsAge;
    if (member.firstPercentAt == TimePoint()) {
        const bool fromBeginning = !unit.restored && !unit.resumed;
        member.firstPercent = fromBeginning ? 0 : report.percent;
        member.firstPercentAt = fromBeginning ? unit.startedAt : member.percentAt;
    }
    // Rounding and the delay of the start make earlier projections inaccurate.
    constexpr std::uint32_t minPercent = 25;
    const std::optional<Duration> projected = projectRunTime(member);
    const bool isComparable = unit.members.size() == 1 && !unit.spec().longRunning && !hasEnded(unit.record->progress.state);
    if (projected && member.percent >= minPercent && isComparable && isNearData(unit)) {
        m_speeds.addTask({unit.job, unit.key.step}, worker.agent, unit.key.index, *projected);
    }
}

std::optional<Duration> PoolScheduler::projectRunTime(const ActiveMember &member)
{
    constexpr std::uint32_t minProgress = 10;
    constexpr std::int64_t whole = 100;
    if (member.firstPercentAt == TimePoint() || member.percent < member.firstPercent + minProgress) {
        return std::nullopt;
    }
    return (member.percentAt - member.firstPercentAt) * whole / static_cast<std::int64_t>(member.percent - member.firstPercent);
}

void PoolScheduler::updateMember(const PlacedMember &placed, const PoolWorker &worker)
{
    const ActiveUnit &unit = *placed.unit;
    ActiveMember &member = *placed.member;
    const WorkerStatus &status = worker.status;
    if (status.worker.incarnation.worker.empty()) {
        return; // a new agent process that has not received an announcement of its worker
    }
    const auto end = std::ranges::find(status.ends, member.run, &RunEnd::run);
    const auto report = std::ranges::find(status.runs, member.run, &RunReport::run);
    if (status.worker.incarnation != member.place.incarnation) {
        const bool sameId = status.worker.incarnation.worker == member.place.incarnation.worker;
        if (!status.runsKnown || (sameId && (status.unfenced || mayOmitEnds(status)))) {
            // An order for the earlier incarnation may have reached the new one and may have ended there, and a new process of the agent
            // may have heard a delayed announcement of an incarnation that has ended.
            return;
        }
        if (!sameId || (end == status.ends.end() && report == status.runs.end())) {
            endMember(unit, member, RunEnding::WorkerLost);
            Log::info("run_lost_with_worker",
                      {{"run", describe(member.run)},
                       {"worker", member.place.incarnation.worker},
                       {"born", member.place.incarnation.startedUnixMilliseconds},
                       {"reported_worker", status.worker.incarnation.worker},
                       {"reported_born", status.worker.incarnation.startedUnixMilliseconds},
                       {"agent_process", static_cast<std::int64_t>(status.agentIncarnation)}});
            return;
        }
        Log::info("run_in_new_incarnation", {{"run", describe(member.run)}, {"worker", status.worker.incarnation.worker}});
        member.place.incarnation = status.worker.incarnation;
    }
    if (end != status.ends.end()) {
        endMember(unit, member, end->ending);
        noteStarted(*unit.record);
        if (!end->checkpoint.empty()) {
            member.checkpoint = end->checkpoint;
        }
        return;
    }
    if (report != status.runs.end()) {
        if (!member.confirmed && !report->starting) {
            member.confirmed = true;
            noteStarted(*unit.record);
        }
        if (!report->checkpoint.empty()) {
            member.checkpoint = report->checkpoint;
        }
        updateProgress(unit, member, *report, worker);
        return;
    }
    if (mayOmitEnds(status) && !isDecided(unit)) {
        return;
    }
    // A process of the agent that has not received the order knows of its execution only by the worker's lists.
    const bool fromReceiver = member.batch != 0 && status.agentIncarnation == member.agentIncarnation;
    const bool orderApplied = fromReceiver && status.lastOrderBatch >= member.batch;
    const bool startExpired = fromReceiver
        ? worker.statusRequestedAt > member.startExpiredAt
        : status.answering && !status.unfenced && worker.statusRequestedAt > member.startExpiredAt + m_timing.maxListsAge;
    if (status.leaseExpired) {
        // A start that has not reached the agent may still take effect there.
        if (member.batch == 0 || member.confirmed || orderApplied || startExpired) {
            endMember(unit, member, RunEnding::LeaseExpired);
        }
        return;
    }
    // The worker refuses starts of earlier owners that it had not executed when it reported its runs.
    const bool epochProven = member.batch == 0 && status.runsKnownEpoch >= m_epoch;
    if (status.runsKnown && (epochProven || orderApplied || startExpired)) {
        endMember(unit, member, member.confirmed ? RunEnding::LeaseExpired : RunEnding::NeverStarted);
        Log::info("run_not_reported",
                  {{"run", describe(member.run)},
                   {"worker", member.place.incarnation.worker},
                   {"born", member.place.incarnation.startedUnixMilliseconds},
                   {"agent_process", static_cast<std::int64_t>(status.agentIncarnation)},
                   {"proof", std::string(epochProven ? "epoch" : (orderApplied ? "order_applied" : "start_deadline_passed"))}});
    }
}

void PoolScheduler::expireSilentRuns(TimePoint now)
{
    for (const auto &[agent, worker] : m_workers) {
        const bool silent = !worker.known || isSilent(worker, now);
        if (!silent && worker.status.runsKnown) {
            continue;
        }
        // An agent that does not know the worker's runs gets no renewals. A silent agent may have received renewals that it did not
        // answer.
        const TimePoint renewed = silent ? std::max(worker.lastRenewalSent, worker.statusReceivedAt) : worker.lastRenewalSent;
        const TimePoint leaseEnd = renewed + m_timing.lease + m_timing.leaseSlack + m_timing.maxSuspension;
        for (const PlacedMember &placed : worker.members) {
            ActiveMember &member = *placed.member;
            if (placed.unit->phase != UnitPhase::Started || member.ending || now <= leaseEnd
                || now <= member.startExpiredAt + m_timing.lease) {
                continue;
            }
            endMember(*placed.unit, member, RunEnding::LeaseExpired);
            Log::warning("run_lapsed_unseen",
                         {{"run", describe(member.run)},
                          {"worker", member.place.incarnation.worker},
                          {"silent_ms", toMilliseconds(now - std::max(worker.lastRenewalSent, worker.statusReceivedAt))}});
        }
    }
    for (auto &[id, unit] : m_units) {
        if (unit.phase == UnitPhase::Started) {
            checkGang(unit, now);
        }
    }
}

void PoolScheduler::resolveBrokenGang(ActiveUnit &unit)
{
    // A member that ended because another member did proves that the gang's run is over. If none of the members with a known end can have
    // ended first, a member without a report did; if its worker's address refuses connections, that worker is lost.
    bool broken = false;
    for (const ActiveMember &member : unit.members) {
        if (!member.ending) {
            const PoolWorker &worker = *member.worker;
            if (!worker.known || !worker.status.connectionRefused || worker.status.worker.incarnation != member.place.incarnation) {
                return;
            }
        } else if (*member.ending == RunEnding::GangMemberEnded) {
            broken = true;
        } else if (*member.ending != RunEnding::Stopped) {
            return;
        }
    }
    if (!broken) {
        return;
    }
    for (ActiveMember &member : unit.members) {
        if (!member.ending) {
            endMember(unit, member, RunEnding::WorkerLost);
            Log::info("run_lost_with_gang", {{"run", describe(member.run)}, {"worker", member.place.incarnation.worker}});
        }
    }
}

void PoolScheduler::checkGang(ActiveUnit &unit, TimePoint now)
{
    if (unit.members.size() > 1) {
        resolveBrokenGang(unit);
    }
    if (unit.members.size() < 2 || unit.stopping != StopReason::None) {
        return;
    }
    const bool anyEnded = std::ranges::any_of(unit.members, [](const ActiveMember &member) {
        return member.ending.has_value() && *member.ending != RunEnding::Succeeded;
    });
    const bool incomplete = std::ranges::any_of(unit.members, [](const ActiveMember &member) {
        return !member.confirmed && !member.ending;
    });
    const bool late = incomplete && unit.members.front().batch != 0
        && now > unit.members.front().startExpiredAt - m_timing.startExpiry + m_timing.gangStartTimeout;
    if (anyEnded || late) {
        stop(unit, StopReason::MemberLost);
    }
}

void PoolScheduler::stopUnknownRuns(PoolWorker &worker, TimePoint now)
{
    std::erase_if(worker.unknownRunStops, [&](const auto &entry) {
        return std::ranges::find(worker.status.runs, entry.first, &RunReport::run) == worker.status.runs.end();
    });
    for (const RunReport &report : worker.status.runs) {
        const bool ordered = std::ranges::any_of(worker.orders, [&](const TaskOrder &order) {
            return order.run == report.run;
        });
        if (ordered || isExpectedOn(worker, report.run)) {
            continue;
        }
        // Each order makes the agent answer, so a run that can't be stopped must not be stopped again with each answer.
        const auto [stopped, isNew] = worker.unknownRunStops.try_emplace(report.run, now);
        if (!isNew && now - stopped->second < m_timing.stopRetryInterval) {
            continue;
        }
        stopped->second = now;
        Log::warning("unknown_run_stopped", {{"run", describe(report.run)}, {"agent", worker.agent}});
        orderStop(worker, report.run, worker.status.worker.incarnation);
    }
}

} // namespace banyanlock
