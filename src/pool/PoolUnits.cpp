// PoolScheduler: life cycle of units. Workers' reports determine the state of members, members that of units, units that of jobs.

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
    case RunEnding::LeaseExpired:
        return Counter::PoolRunsLeaseLapsed;
    case RunEnding::GangMemberEnded:
        return Counter::PoolRunsPartnerEnded;
    case RunEnding::GangIncomplete:
        return Counter::PoolRunsWaitedAlone;
    case RunEnding::NeverStarted:
        return Counter::PoolRunsNeverStarted;
    case RunEnding::WorkerLost:
        return Counter::PoolRunsWorkerGone;
    }
    return Counter::PoolRunsFailed;
}

bool memberEnded(const ActiveMember &member)
{
    return member.ending.has_value();
}

} // namespace

void PoolScheduler::activate(ActiveUnit unit)
{
    const UnitId id(unit.job, unit.key);
    ActiveUnit &active = m_units.insert_or_assign(id, std::move(unit)).first->second;
    for (ActiveMember &member : active.members) {
        member.worker->members.push_back({&active, &member});
        member.worker->resourcesChanged = true;
    }
}

ActiveUnit PoolScheduler::deactivate(const UnitId &id)
{
    auto unit = m_units.extract(id);
    for (const ActiveMember &member : unit.mapped().members) {
        std::erase_if(member.worker->members, [&](const PlacedMember &placed) {
            return placed.member == &member;
        });
        member.worker->resourcesChanged = true;
    }
    return std::move(unit.mapped());
}

void PoolScheduler::recordSuccess(GraphRecord &job, const UnitKey &key)
{
    const auto progress = job.progress.units.find(key);
    const bool isOpen = progress != job.progress.units.end() && !progress->second.succeeded;
    if (!isOpen || job.spec.steps[key.step].longRunning) {
        return; // tasks that last are started again however they end
    }
    progress->second.succeeded = true;
    markDirty(job);
    dropFinishedOccurrences(job);
    if (job.progress.finishedOccurrences >= occurrencesOf(job.spec)) {
        finishJob(job, GraphState::Completed);
    }
}

void PoolScheduler::stop(ActiveUnit &unit, StopReason reason)
{
    if (unit.stopping != StopReason::None) {
        return;
    }
    setStopping(unit, reason);
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

void PoolScheduler::setStopping(ActiveUnit &unit, StopReason reason)
{
    unit.stopping = reason;
    for (const ActiveMember &member : unit.members) {
        member.worker->resourcesChanged = true;
    }
}

void PoolScheduler::sendStops(ActiveUnit &unit, TimePoint now)
{
    if (now < unit.nextStop || unit.phase != UnitPhase::Started) {
        return;
    }
    unit.nextStop = now + m_timing.stopRetryInterval;
    for (const ActiveMember &member : unit.members) {
        if (!member.ending) {
            orderStop(*member.worker, member.run, member.place.incarnation);
        }
    }
}

void PoolScheduler::orderStop(PoolWorker &worker, const RunName &run, const WorkerIncarnation &incarnation)
{
    TaskOrder order;
    order.kind = TaskOrderKind::Stop;
    order.run = run;
    order.incarnation = incarnation;
    worker.orders.push_back(std::move(order));
}

void PoolScheduler::stopUnitsOnLeavingWorkers(TimePoint now)
{
    for (const auto &[agent, worker] : m_workers) {
        if (!worker.known || !worker.status.worker.draining) {
            continue;
        }
        for (const PlacedMember &placed : worker.members) {
            ActiveUnit &unit = *placed.unit;
            const GraphRecord &job = *unit.record;
            if (unit.phase != UnitPhase::Started || job.cancelled || job.progress.state == GraphState::Failed) {
                continue;
            }
            // A task that would not complete before the worker exits restarts elsewhere at once. Stopping 1 s early leaves time for a
            // last checkpoint.
            constexpr Duration checkpointMargin = fromMilliseconds(1000);
            const StepSpec &step = unit.spec();
            const Duration left = remainingOf(unit, now);
            if (step.longRunning
                || left > worker.status.worker.minTimeUntilExit - (step.checkpoints ? checkpointMargin : Duration::zero())) {
                stop(unit, StopReason::WorkerLeaves);
            }
        }
    }
}

void PoolScheduler::stopObsoleteUnits(TimePoint now)
{
    stopUnitsOnLeavingWorkers(now);
    for (auto &[id, unit] : m_units) {
        if (unit.record->cancelled) {
            stop(unit, StopReason::Cancelled);
        } else if (unit.record->progress.state == GraphState::Failed) {
            stop(unit, StopReason::JobFailed);
        }
        if (unit.stopping != StopReason::None) {
            sendStops(unit, now);
        }
    }
}

void PoolScheduler::orderStarts(ActiveUnit &unit, TimePoint now)
{
    const GraphRecord *job = unit.record;
    if (job->cancelled) {
        stop(unit, StopReason::Cancelled);
    }
    for (ActiveMember &member : unit.members) {
        PoolWorker *worker = member.worker;
        member.startExpiredAt = now + m_timing.startExpiry;
        if (unit.stopping != StopReason::None || worker->status.worker.incarnation != member.place.incarnation) {
            endMember(unit, member, RunEnding::NeverStarted);
            continue;
        }
        TaskOrder order;
        order.run = member.run;
        order.incarnation = member.place.incarnation;
        order.payload = job->spec.payload;
        order.checkpoint = member.checkpoint;
        order.startBy = worker->agentClock(now) + m_timing.startTimeout;
        member.agentIncarnation = worker->status.agentIncarnation;
        member.batch = worker->batch + 1;
        worker->orders.push_back(std::move(order));
    }
    unit.startedAt = now;
}

void PoolScheduler::closeEndedUnits(TimePoint now)
{
    std::vector<UnitId> ended;
    for (const UnitId &id : std::exchange(m_unitsWithNewEnds, {})) {
        const auto found = m_units.find(id);
        if (found == m_units.end()) {
            continue;
        }
        ActiveUnit &unit = found->second;
        BANYANLOCK_ASSERT(unit.phase == UnitPhase::Started);
        const bool succeeded = std::ranges::any_of(unit.members, [](const ActiveMember &member) {
            return member.ending == RunEnding::Succeeded;
        });
        if (std::ranges::all_of(unit.members, memberEnded)) {
            ended.push_back(id);
        } else if (succeeded && unit.stopping != StopReason::AlreadyDone) {
            // The members of a gang succeed together, so one success counts for all. The other members hold their resources until their
            // ends are reported.
            setStopping(unit, StopReason::AlreadyDone);
            unit.nextStop = now + m_timing.stopRetryInterval;
            recordSuccess(*unit.record, unit.key);
        }
    }
    for (const UnitId &id : ended) {
        close(deactivate(id), now);
    }
    for (const std::string &id : std::set<std::string>(m_jobs.cancelledOpen())) {
        GraphRecord *job = m_jobs.find(id);
        if (job != nullptr && job->cancelled && !hasUnits(id) && !hasEnded(job->progress.state)) {
            finishJob(*job, GraphState::Cancelled);
        }
    }
}

bool PoolScheduler::wasSlow(const ActiveUnit &unit, const PoolWorker &worker, TimePoint now) const
{
    const StepSpec &step = unit.spec();
    const bool farFromData = !step.homeRack.empty() && step.homeRack != rackOf(worker.status.worker);
    if (unit.members.size() > 1 || farFromData || step.longRunning || step.estimate == Duration::zero()) {
        return false; // a slow member slows down its whole gang, so the gang's run time does not identify the slow worker
    }
    return m_runTimes.isSlow(runTimeKeyOf(*unit.record, unit.key.step), {unit.job, unit.key.step}, step.estimate, now - unit.startedAt);
}

bool PoolScheduler::usesWorkerSpeeds()
{
    const bool uses = m_parts.workerSpeeds == PartMode::On || (m_parts.workerSpeeds == PartMode::Auto && m_speeds.areUneven());
    if (uses != m_usesSpeeds) {
        m_usesSpeeds = uses;
        Log::info(uses ? "worker_speeds_active" : "worker_speeds_inactive", {{"mode", std::string(partModeName(m_parts.workerSpeeds))}});
    }
    if (const std::size_t keys = m_runTimes.contradictedKeys(); keys != m_contradictedKeys) {
        m_contradictedKeys = keys;
        Log::info("run_times_learned", {{"keys", static_cast<std::int64_t>(keys)}});
    }
    return uses;
}

RunTimeKey PoolScheduler::runTimeKeyOf(const GraphRecord &job, std::uint32_t step)
{
    const StepSpec &spec = job.spec.steps[step];
    return {job.terms.queue, spec.demand, spec.gang};
}

RunTimeForecast PoolScheduler::forecastOf(const GraphRecord &job, std::uint32_t step) const
{
    return m_runTimes.forecast(runTimeKeyOf(job, step), {job.id, step}, job.spec.steps[step].estimate);
}

bool PoolScheduler::isNearData(const ActiveUnit &unit)
{
    const StepSpec &step = unit.spec();
    const std::string rack = rackOf(unit.members.front().worker->status.worker);
    return (step.homeRack.empty() || step.homeRack == rack)
        && (!step.gang || !step.preferOneRack || std::ranges::all_of(unit.members, [&](const ActiveMember &member) {
               return rackOf(member.worker->status.worker) == rack;
           }));
}

Duration PoolScheduler::remainingOf(const ActiveUnit &unit, TimePoint now) const
{
    Duration longest{};
    for (const ActiveMember &member : unit.members) {
        if (const std::optional<Duration> projected = projectRunTime(member)) {
            constexpr std::int64_t whole = 100;
            const Duration left = *projected * (whole - static_cast<std::int64_t>(member.percent)) / whole - (now - member.percentAt);
            constexpr Duration least = fromMilliseconds(50);
            longest = std::max({longest, left, least});
        }
    }
    return longest > Duration::zero() ? longest : RunTimeModel::remaining(forecastOf(*unit.record, unit.key.step), now - unit.startedAt, 0);
}

void PoolScheduler::learnRunTime(const ActiveUnit &unit, TimePoint now)
{
    const StepSpec &step = unit.spec();
    if (!unit.restored && !unit.resumed && !step.longRunning && isNearData(unit)) {
        if (unit.members.size() == 1 && !hasEnded(unit.record->progress.state)) {
            m_speeds.addTask({unit.job, unit.key.step}, unit.members.front().worker->agent, unit.key.index, now - unit.startedAt);
        }
        m_runTimes.addRun(runTimeKeyOf(*unit.record, unit.key.step), {unit.job, unit.key.step}, step.estimate, now - unit.startedAt);
    }
}

void PoolScheduler::recordEndings(const ActiveUnit &unit, RunEnding ending, TimePoint now)
{
    for (const ActiveMember &member : unit.members) {
        if (!member.ending) {
            continue;
        }
        m_counters.add(counterOf(*member.ending));
        if (member.worker->status.worker.incarnation != member.place.incarnation) {
            continue;
        }
        recordEnding(unit, member, now);
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
    GraphRecord *job = unit.record;
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
    recordEndings(unit, outcome, now);
    if (outcome == RunEnding::Succeeded) {
        learnRunTime(unit, now);
    }
    const StepSpec &step = unit.spec();
    markDirty(*job);
    if (hasEnded(job->progress.state)) {
        closeIfIdle(*job);
    }
    const auto recorded = job->progress.units.find(unit.key);
    if (recorded == job->progress.units.end()) {
        return; // an earlier run has completed the occurrence
    }
    UnitProgress &progress = recorded->second;
    progress.places.clear();
    for (const ActiveMember &member : unit.members) {
        if (step.checkpoints && !member.checkpoint.empty()) {
            progress.checkpoint = std::max(progress.checkpoint, member.checkpoint);
        }
    }
    if (step.longRunning) {
        return;
    }
    if (outcome == RunEnding::Succeeded) {
        recordSuccess(*job, unit.key);
    } else if (outcome == RunEnding::Failed && !progress.succeeded) {
        ++progress.failures;
        if (m_parts.workerRecords != PartMode::Off && progress.failures + 1 >= job->terms.attemptLimit) {
            m_lastAttemptsUntil[{job->id, unit.key}] = now + m_timing.suspicionPeriod;
        }
        if (progress.failures >= job->terms.attemptLimit && !hasEnded(job->progress.state)) {
            finishJob(*job, GraphState::Failed);
        }
        considerAttempts(*job, progress);
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

bool PoolScheduler::hasUnits(const std::string &job) const
{
    const auto first = m_units.lower_bound({job, UnitKey()});
    return first != m_units.end() && first->first.first == job;
}

void PoolScheduler::closeIfIdle(const GraphRecord &job)
{
    if (!hasUnits(job.id)) {
        m_jobs.close(job.id);
    }
}

void PoolScheduler::noteStarted(GraphRecord &job)
{
    m_jobsWithoutStart.erase(job.id);
    if (job.progress.state == GraphState::Queued) {
        job.progress.state = GraphState::Running;
        markDirty(job);
    }
}

void PoolScheduler::showUnstartedAsQueued(TimePoint now)
{
    for (const auto &[id, placedAt] : m_jobsWithoutStart) {
        if (now - placedAt <= m_timing.startConfirmation) {
            continue;
        }
        GraphRecord *job = m_jobs.find(id);
        if (job != nullptr && job->progress.state == GraphState::Running) {
            job->progress.state = GraphState::Queued;
            markDirty(*job);
            Log::info("job_not_started", {{"job", id}, {"placed_ms_ago", toMilliseconds(now - placedAt)}});
        }
    }
}

void PoolScheduler::finishJob(GraphRecord &job, GraphState state)
{
    job.progress.state = state;
    markDirty(job);
    m_waiting.erase(&job);
    m_jobsWithoutStart.erase(job.id);
    closeIfIdle(job);
    if (state == GraphState::Completed) {
        m_counters.add(Counter::PoolJobsCompleted);
    } else if (state == GraphState::Failed) {
        m_counters.add(Counter::PoolJobsFailed);
    }
    m_backOff.forgetJob(job.id);
    m_speeds.forgetJob(job.id);
    std::erase_if(m_lastAttemptsUntil, [&](const auto &entry) {
        return entry.first.first == job.id;
    });
    std::erase_if(m_waitingSince, [&](const auto &entry) {
        return entry.first.first == job.id;
    });
    Log::info("job_ended", {{"job", job.id}, {"state", std::string(graphStateName(state))}});
}

} // namespace banyanlock
