// Life cycle of units: members follow what their workers report, units follow their members, jobs follow their units.

#include "core/Assert.h"
#include "core/Log.h"
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

Counter counterOf(RunEnding ending)
{
    switch (ending) {
    case RunEnding::Succeeded:
        return Counter::PoolRunsSucceeded;
    case RunEnding::Failed:
        return Counter::PoolRunsFailed;
    case RunEnding::Stopped:
        return Counter::PoolRunsStopped;
    case RunEnding::LeaseLapsed:
        return Counter::PoolRunsLapsed;
    case RunEnding::PartnerEnded:
        return Counter::PoolRunsPartner;
    case RunEnding::WaitedAlone:
        return Counter::PoolRunsAlone;
    case RunEnding::NeverStarted:
        return Counter::PoolRunsNeverStarted;
    case RunEnding::WorkerGone:
        return Counter::PoolRunsWorkerGone;
    }
    return Counter::PoolRunsFailed;
}

bool memberEnded(const ActiveMember &member)
{
    return member.ending.has_value();
}

} // namespace

PoolWorker *PoolScheduler::findWorker(const TaskPlace &place)
{
    const auto found = m_workers.find(place.agent);
    return found == m_workers.end() ? nullptr : &found->second;
}

void PoolScheduler::onAnswer(const std::string &agent, std::uint64_t call, const WorkerStatus *status, TimePoint sentAt, TimePoint now)
{
    const auto found = m_workers.find(agent);
    if (!isOwned() || found == m_workers.end()) {
        return;
    }
    PoolWorker &worker = found->second;
    if (worker.pollOut && worker.pollCall == call) {
        worker.pollOut = false;
        worker.nextPoll = status == nullptr ? now + (isSilent(worker, now) ? m_times.shortestPoll : m_times.retry) : now;
    }
    m_changed = true;
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
    const bool fromEarlierProcess = worker.known && status->agentIncarnation != worker.status.agentIncarnation && sentAt < worker.askedAt;
    if (status->highestEpoch < m_epoch || outdated || fromEarlierProcess) {
        return;
    }
    if (!worker.known) {
        // From now on the agent refuses earlier owners.
        worker.known = true;
        worker.lastRenewal = sentAt;
    }
    if (worker.status.worker.life != status->worker.life) {
        worker.processedEnd = 0;
        worker.recordedEnd = 0;
        worker.failuresInRow = 0;
        worker.quarantinedUntil = TimePoint();
    }
    if (status->agentIncarnation != worker.status.agentIncarnation) {
        worker.batch = status->ordersSeen; // a new process counts anew
    }
    const bool news
        = status->agentIncarnation != worker.status.agentIncarnation || status->number != worker.status.number || isSilent(worker, now);
    if (status->listed) {
        worker.renewableAt = now;
    } else if (worker.status.listed) {
        worker.renewableAt = std::max(worker.renewableAt, worker.lastRenewal);
    }
    worker.status = *status;
    worker.askedAt = sentAt;
    worker.answeredAt = now;
    if (news) {
        m_planDue = true;
        takeStatus(worker, now);
    } else {
        settleMissing(worker, now);
    }
}

void PoolScheduler::settleMissing(const PoolWorker &worker, TimePoint now)
{
    // A status without news still proves that an order which was under way has come to nothing.
    for (auto &[id, unit] : m_units) {
        for (ActiveMember &member : unit.members) {
            if (!member.confirmed && !memberEnded(member) && unit.phase == UnitPhase::Started && member.place.agent == worker.agent) {
                updateMember(member, worker, now);
            }
        }
    }
}

void PoolScheduler::takeStatus(PoolWorker &worker, TimePoint now)
{
    for (auto &[id, unit] : m_units) {
        for (ActiveMember &member : unit.members) {
            if (member.place.agent == worker.agent && unit.phase == UnitPhase::Started && !memberEnded(member)) {
                updateMember(member, worker, now);
            }
        }
        if (unit.phase == UnitPhase::Started) {
            checkGang(unit, now);
        }
    }
    takeLateSuccesses(worker);
    closeEnded(now);
    noteProcessedEnds(worker);
    if (m_dirty.empty() && !m_batchOut) {
        worker.recordedEnd = worker.processedEnd; // the ends changed nothing that is to be written
    }
    stopStrangers(worker, now);
}

bool PoolScheduler::isOfActiveUnit(const RunName &run) const
{
    const TaskName &task = run.task;
    const GraphRecord *job = std::as_const(m_jobs).find(task.job);
    if (job == nullptr || task.step >= job->spec.steps.size()) {
        return false;
    }
    const bool gang = job->spec.steps[task.step].gang;
    const auto unit = m_units.find({task.job, {task.occurrence, task.step, gang ? 0 : task.index}});
    return unit != m_units.end() && unit->second.run == run.run;
}

void PoolScheduler::noteProcessedEnds(PoolWorker &worker)
{
    // The end of a gang's member is known to the rows only when the whole gang has ended: until then a new owner must find it listed.
    std::uint64_t processed = worker.processedEnd;
    std::uint64_t firstOpen = UINT64_MAX;
    for (const RunEnd &end : worker.status.ends) {
        if (isOfActiveUnit(end.run)) {
            firstOpen = std::min(firstOpen, end.number);
        } else {
            processed = std::max(processed, end.number);
        }
    }
    worker.processedEnd = std::max(worker.processedEnd, std::min(processed, firstOpen - 1));
}

void PoolScheduler::takeLateSuccesses(const PoolWorker &worker)
{
    // A run that was given up as lapsed may have succeeded before: its work counts, and a later run is stopped.
    for (const RunEnd &end : worker.status.ends) {
        const TaskName &task = end.run.task;
        GraphRecord *job = m_jobs.find(task.job);
        if (end.ending != RunEnding::Succeeded || job == nullptr || hasEnded(job->progress.state) || isOfActiveUnit(end.run)
            || task.step >= job->spec.steps.size() || job->spec.steps[task.step].lasting
            || task.occurrence < job->progress.finishedOccurrences) {
            continue;
        }
        const UnitKey key{task.occurrence, task.step, job->spec.steps[task.step].gang ? 0 : task.index};
        const auto progress = job->progress.units.find(key);
        if (progress == job->progress.units.end() || progress->second.succeeded || end.run.run > progress->second.run) {
            continue;
        }
        Log::info("late_success_taken", {{"run", describe(end.run)}, {"newest_run", static_cast<std::int64_t>(progress->second.run)}});
        const auto unit = m_units.find({task.job, key});
        if (unit != m_units.end()) {
            stop(unit->second, StopReason::AlreadyDone);
        }
        noteSuccess(*job, progress->second);
    }
}

void PoolScheduler::noteSuccess(GraphRecord &job, UnitProgress &progress)
{
    progress.succeeded = true;
    markDirty(job.id);
    dropFinishedOccurrences(job);
    if (job.progress.finishedOccurrences >= occurrencesOf(job.spec)) {
        finishJob(job, GraphState::Completed);
    }
}

void PoolScheduler::updateMember(ActiveMember &member, const PoolWorker &worker, TimePoint now)
{
    const WorkerStatus &status = worker.status;
    if (status.worker.life.worker.empty()) {
        return; // a new agent process that has not heard of its worker
    }
    if (status.worker.life != member.place.life) {
        member.ending = RunEnding::WorkerGone;
        return;
    }
    const auto end = std::ranges::find(status.ends, member.run, &RunEnd::run);
    if (end != status.ends.end()) {
        member.ending = end->ending;
        if (!end->checkpoint.empty()) {
            member.checkpoint = end->checkpoint;
        }
        return;
    }
    const auto report = std::ranges::find(status.runs, member.run, &RunReport::run);
    if (report != status.runs.end()) {
        member.confirmed = member.confirmed || !report->starting;
        if (!report->checkpoint.empty()) {
            member.checkpoint = report->checkpoint;
        }
        return;
    }
    if (status.lapsed) {
        member.ending = RunEnding::LeaseLapsed;
        return;
    }
    const bool orderTaken = member.batch != 0 && status.agentIncarnation == member.agentIncarnation && status.ordersSeen >= member.batch;
    if (status.listed && (orderTaken || worker.askedAt > member.settledAt)) {
        member.ending = member.confirmed ? RunEnding::LeaseLapsed : RunEnding::NeverStarted;
        Log::info("run_not_listed", {{"run", describe(member.run)}, {"worker", member.place.life.worker}});
    }
    (void)now;
}

void PoolScheduler::expireSilent(TimePoint now)
{
    for (auto &[id, unit] : m_units) {
        if (unit.phase != UnitPhase::Started) {
            continue;
        }
        for (ActiveMember &member : unit.members) {
            const PoolWorker *worker = findWorker(member.place);
            if (memberEnded(member) || worker == nullptr) {
                continue;
            }
            const bool silent = !worker->known || isSilent(*worker, now);
            if (!silent && worker->status.listed) {
                continue;
            }
            // An agent that has no lists renews nothing; one that is silent may have heard what it did not answer.
            const TimePoint renewed = silent ? std::max(worker->lastRenewal, worker->answeredAt) : worker->renewableAt;
            const TimePoint lapsed = renewed + m_times.validity + m_times.lease + m_times.leaseSlack;
            if (now > lapsed && now > member.settledAt + m_times.lease) {
                member.ending = RunEnding::LeaseLapsed;
                Log::warning("run_lapsed_unseen",
                             {{"run", describe(member.run)},
                              {"worker", member.place.life.worker},
                              {"silent_ms", toMilliseconds(now - std::max(worker->lastRenewal, worker->answeredAt))}});
            }
        }
        checkGang(unit, now);
    }
}

void PoolScheduler::settleBroken(ActiveUnit &unit)
{
    // A member that ended because another one did proves that the gang's run is over. If no member that is known to have ended began it,
    // one that is not heard of did; where nothing listens any more, its worker has gone.
    bool broken = false;
    for (const ActiveMember &member : unit.members) {
        if (!member.ending) {
            const PoolWorker *worker = findWorker(member.place);
            if (worker == nullptr || !worker->known || !worker->status.refusing || worker->status.worker.life != member.place.life) {
                return;
            }
        } else if (*member.ending == RunEnding::PartnerEnded) {
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
            member.ending = RunEnding::WorkerGone;
            Log::info("run_gone_with_its_gang", {{"run", describe(member.run)}, {"worker", member.place.life.worker}});
        }
    }
}

void PoolScheduler::checkGang(ActiveUnit &unit, TimePoint now)
{
    if (unit.members.size() > 1) {
        settleBroken(unit);
    }
    if (unit.members.size() < 2 || unit.stopping != StopReason::None) {
        return;
    }
    const bool anyEnded = std::ranges::any_of(unit.members, [](const ActiveMember &member) {
        return memberEnded(member) && *member.ending != RunEnding::Succeeded;
    });
    const bool incomplete = std::ranges::any_of(unit.members, [](const ActiveMember &member) {
        return !member.confirmed && !memberEnded(member);
    });
    const bool late
        = incomplete && unit.members.front().batch != 0 && now > unit.members.front().settledAt - m_times.settle + m_times.gangGrace;
    if (anyEnded || late) {
        stop(unit, StopReason::MemberLost);
    }
}

void PoolScheduler::stop(ActiveUnit &unit, StopReason reason)
{
    if (unit.stopping != StopReason::None) {
        return;
    }
    unit.stopping = reason;
    if (reason == StopReason::Preempted) {
        m_counters.add(Counter::PoolPreemptions);
    }
    Log::info("unit_stopping",
              {{"job", unit.job},
               {"step", static_cast<std::int64_t>(unit.key.step)},
               {"index", static_cast<std::int64_t>(unit.key.index)},
               {"run", static_cast<std::int64_t>(unit.run)},
               {"reason", std::string(stopReasonName(reason))}});
}

void PoolScheduler::sendStops(ActiveUnit &unit, TimePoint now)
{
    if (now < unit.nextStop || unit.phase != UnitPhase::Started) {
        return;
    }
    unit.nextStop = now + m_times.stopRepeat;
    for (const ActiveMember &member : unit.members) {
        PoolWorker *worker = findWorker(member.place);
        if (memberEnded(member) || worker == nullptr) {
            continue;
        }
        TaskOrder order;
        order.kind = TaskOrderKind::Stop;
        order.run = member.run;
        order.life = member.place.life;
        worker->orders.push_back(std::move(order));
    }
}

void PoolScheduler::stopUnwanted(TimePoint now)
{
    for (auto &[id, unit] : m_units) {
        const GraphRecord *job = m_jobs.find(unit.job);
        BANYANLOCK_ASSERT(job != nullptr);
        if (job->cancelled) {
            stop(unit, StopReason::Cancelled);
        } else if (job->progress.state == GraphState::Failed) {
            stop(unit, StopReason::JobFailed);
        }
        if (unit.stopping == StopReason::None && unit.phase == UnitPhase::Started) {
            const StepSpec &step = job->spec.steps[unit.key.step];
            for (const ActiveMember &member : unit.members) {
                const PoolWorker *worker = findWorker(member.place);
                if (worker == nullptr || !worker->known || !worker->status.worker.draining) {
                    continue;
                }
                // What would be lost with the worker starts elsewhere at once; a checkpoint must be taken before it leaves.
                constexpr Duration benefit = fromMilliseconds(1000);
                const Duration left = step.estimate - (now - unit.startedAt);
                if (step.lasting || left > worker->status.worker.leavesAfter - (step.checkpoints ? benefit : Duration::zero())) {
                    stop(unit, StopReason::WorkerLeaves);
                    break;
                }
            }
        }
        if (unit.stopping != StopReason::None) {
            sendStops(unit, now);
        }
    }
}

void PoolScheduler::stopStrangers(PoolWorker &worker, TimePoint now)
{
    (void)now;
    for (const RunReport &report : worker.status.runs) {
        const TaskName &task = report.run.task;
        const GraphRecord *job = m_jobs.find(task.job);
        const bool gang = job != nullptr && task.step < job->spec.steps.size() && job->spec.steps[task.step].gang;
        const auto unit = m_units.find({task.job, {task.occurrence, task.step, gang ? 0 : task.index}});
        const bool wanted = unit != m_units.end() && unit->second.run == report.run.run
            && std::ranges::any_of(unit->second.members, [&](const ActiveMember &member) {
                                return member.run == report.run && member.place.agent == worker.agent && !memberEnded(member);
                            });
        const bool queued = std::ranges::any_of(worker.orders, [&](const TaskOrder &order) {
            return order.run == report.run;
        });
        if (wanted || queued) {
            continue;
        }
        Log::warning("stranger_stopped", {{"run", describe(report.run)}, {"agent", worker.agent}});
        TaskOrder order;
        order.kind = TaskOrderKind::Stop;
        order.run = report.run;
        order.life = worker.status.worker.life;
        worker.orders.push_back(std::move(order));
    }
}

void PoolScheduler::orderStarts(ActiveUnit &unit, TimePoint now)
{
    const GraphRecord *job = m_jobs.find(unit.job);
    BANYANLOCK_ASSERT(job != nullptr);
    if (job->cancelled) {
        stop(unit, StopReason::Cancelled);
    }
    for (ActiveMember &member : unit.members) {
        PoolWorker *worker = findWorker(member.place);
        BANYANLOCK_ASSERT(worker != nullptr);
        member.settledAt = now + m_times.settle;
        if (unit.stopping != StopReason::None || worker->status.worker.life != member.place.life) {
            member.ending = RunEnding::NeverStarted;
            continue;
        }
        TaskOrder order;
        order.run = member.run;
        order.life = member.place.life;
        order.payload = job->spec.payload;
        order.checkpoint = member.checkpoint;
        order.startBy = worker->agentClock(now) + m_times.startLimit;
        member.agentIncarnation = worker->status.agentIncarnation;
        member.batch = worker->batch + 1;
        worker->orders.push_back(std::move(order));
    }
    unit.startedAt = now;
}

void PoolScheduler::closeEnded(TimePoint now)
{
    std::vector<UnitId> ended;
    for (auto &[id, unit] : m_units) {
        if (unit.phase != UnitPhase::Started) {
            continue;
        }
        const bool succeeded = std::ranges::any_of(unit.members, [](const ActiveMember &member) {
            return member.ending == RunEnding::Succeeded;
        });
        if (std::ranges::all_of(unit.members, memberEnded)) {
            ended.push_back(id);
        } else if (succeeded && unit.stopping != StopReason::AlreadyDone) {
            // The members of a gang end well together: one such end stands for all. The others hold their room until they are listed.
            unit.stopping = StopReason::AlreadyDone;
            unit.nextStop = now + m_times.stopRepeat;
            GraphRecord *job = m_jobs.find(unit.job);
            const auto progress = job->progress.units.find(unit.key);
            if (progress != job->progress.units.end() && !progress->second.succeeded) {
                noteSuccess(*job, progress->second);
            }
        }
    }
    for (const UnitId &id : ended) {
        const ActiveUnit unit = std::move(m_units.at(id));
        m_units.erase(id);
        close(unit, now);
    }
    for (const std::string &id : std::set<std::string>(m_jobs.open())) {
        GraphRecord *job = m_jobs.find(id);
        const auto running = m_units.lower_bound({id, UnitKey()});
        const bool idle = running == m_units.end() || running->first.first != id;
        if (job != nullptr && job->cancelled && idle && !hasEnded(job->progress.state)) {
            finishJob(*job, GraphState::Cancelled);
        }
    }
}

void PoolScheduler::noteEndings(const ActiveUnit &unit, RunEnding ending, TimePoint now)
{
    for (const ActiveMember &member : unit.members) {
        if (!member.ending) {
            continue;
        }
        m_counters.add(counterOf(*member.ending));
        PoolWorker *worker = findWorker(member.place);
        if (worker == nullptr || worker->status.worker.life != member.place.life) {
            continue;
        }
        if (*member.ending == RunEnding::Succeeded) {
            worker->failuresInRow = 0;
        } else if (*member.ending == RunEnding::Failed) {
            constexpr std::uint32_t suspicious = 2; // one failure may be the task's own
            if (++worker->failuresInRow >= suspicious) {
                worker->quarantinedUntil = now + m_times.quarantine;
                m_counters.add(Counter::WorkersQuarantined);
                Log::warning("worker_quarantined",
                             {{"worker", member.place.life.worker}, {"failures_in_row", static_cast<std::int64_t>(worker->failuresInRow)}});
            }
        }
    }
    Log::info("unit_ended",
              {{"job", unit.job},
               {"occurrence", static_cast<std::int64_t>(unit.key.occurrence)},
               {"step", static_cast<std::int64_t>(unit.key.step)},
               {"index", static_cast<std::int64_t>(unit.key.index)},
               {"run", static_cast<std::int64_t>(unit.run)},
               {"outcome", std::string(runEndingName(ending))},
               {"stop_reason", std::string(stopReasonName(unit.stopping))},
               {"after_ms", toMilliseconds(now - unit.startedAt)}});
}

void PoolScheduler::close(const ActiveUnit &unit, TimePoint now)
{
    GraphRecord *job = m_jobs.find(unit.job);
    BANYANLOCK_ASSERT(job != nullptr);
    const auto endedAs = [&](RunEnding ending) {
        return std::ranges::any_of(unit.members, [&](const ActiveMember &member) {
            return member.ending == ending;
        });
    };
    RunEnding outcome = unit.members.front().ending.value_or(RunEnding::Succeeded);
    if (endedAs(RunEnding::Succeeded)) {
        outcome = RunEnding::Succeeded;
    } else if (endedAs(RunEnding::Failed)) {
        outcome = RunEnding::Failed;
    }
    noteEndings(unit, outcome, now);
    const StepSpec &step = job->spec.steps[unit.key.step];
    markDirty(unit.job);
    if (hasEnded(job->progress.state)) {
        closeIfIdle(*job);
    }
    const auto recorded = job->progress.units.find(unit.key);
    if (recorded == job->progress.units.end()) {
        return; // its occurrence has been finished by an earlier run
    }
    UnitProgress &progress = recorded->second;
    progress.places.clear();
    for (const ActiveMember &member : unit.members) {
        if (step.checkpoints && !member.checkpoint.empty()) {
            progress.checkpoint = std::max(progress.checkpoint, member.checkpoint);
        }
    }
    if (step.lasting) {
        return;
    }
    if (outcome == RunEnding::Succeeded && !progress.succeeded) {
        noteSuccess(*job, progress);
    } else if (outcome == RunEnding::Failed && !progress.succeeded) {
        ++progress.failures;
        if (progress.failures >= job->terms.attemptLimit && !hasEnded(job->progress.state)) {
            finishJob(*job, GraphState::Failed);
        }
    }
}

void PoolScheduler::dropFinishedOccurrences(GraphRecord &job) const
{
    while (job.progress.finishedOccurrences < occurrencesOf(job.spec)) {
        const std::uint32_t occurrence = job.progress.finishedOccurrences;
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            if (!stepSucceeded(job, occurrence, step)) {
                return;
            }
        }
        ++job.progress.finishedOccurrences;
        std::erase_if(job.progress.units, [&](const auto &entry) {
            return entry.first.occurrence == occurrence;
        });
    }
}

void PoolScheduler::closeIfIdle(const GraphRecord &job)
{
    const auto running = m_units.lower_bound({job.id, UnitKey()});
    if (running == m_units.end() || running->first.first != job.id) {
        m_jobs.close(job.id);
    }
}

void PoolScheduler::finishJob(GraphRecord &job, GraphState state)
{
    job.progress.state = state;
    markDirty(job.id);
    closeIfIdle(job);
    if (state == GraphState::Completed) {
        m_counters.add(Counter::PoolJobsCompleted);
    } else if (state == GraphState::Failed) {
        m_counters.add(Counter::PoolJobsFailed);
    }
    std::erase_if(m_waitingSince, [&](const auto &entry) {
        return entry.first.first == job.id;
    });
    Log::info("job_ended", {{"job", job.id}, {"state", std::string(graphStateName(state))}});
}

} // namespace banyanlock
