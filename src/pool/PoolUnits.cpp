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
        return Counter::PoolRunsLeaseLapsed;
    case RunEnding::PartnerEnded:
        return Counter::PoolRunsPartnerEnded;
    case RunEnding::WaitedAlone:
        return Counter::PoolRunsWaitedAlone;
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

void PoolScheduler::noteSuccess(GraphRecord &job, UnitProgress &progress)
{
    progress.succeeded = true;
    markDirty(job.id);
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
        if (member.ending || worker == nullptr) {
            continue;
        }
        orderStop(*worker, member.run, member.place.life);
    }
}

void PoolScheduler::orderStop(PoolWorker &worker, const RunName &run, const WorkerLife &life)
{
    TaskOrder order;
    order.kind = TaskOrderKind::Stop;
    order.run = run;
    order.life = life;
    worker.orders.push_back(std::move(order));
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
        if (job != nullptr && job->cancelled && !hasUnits(id) && !hasEnded(job->progress.state)) {
            finishJob(*job, GraphState::Cancelled);
        }
    }
}

void PoolScheduler::suspect(PoolWorker &worker, const char *reason, TimePoint now)
{
    if (now >= worker.suspectedUntil) {
        m_counters.add(Counter::WorkersSuspected);
        Log::info("worker_suspected", {{"worker", worker.status.worker.life.worker}, {"reason", std::string(reason)}});
    }
    worker.suspectedUntil = now + m_times.suspicion;
}

bool PoolScheduler::wasSlow(const ActiveUnit &unit, const PoolWorker &worker, TimePoint now) const
{
    const StepSpec &step = std::as_const(m_jobs).find(unit.job)->spec.steps[unit.key.step];
    const bool farFromData = !step.homeRack.empty() && step.homeRack != rackOf(worker.status.worker);
    if (unit.members.size() > 1 || farFromData || step.lasting || step.estimate == Duration::zero()) {
        return false; // one slow member slows down its whole gang
    }
    return static_cast<double>((now - unit.startedAt).count()) > m_times.slowness * static_cast<double>(step.estimate.count());
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
            if (wasSlow(unit, *worker, now)) {
                suspect(*worker, "slow", now);
            }
        } else if (*member.ending == RunEnding::NeverStarted && unit.stopping != StopReason::Cancelled) {
            suspect(*worker, "did not start what it was told to", now);
        } else if (*member.ending == RunEnding::Failed) {
            suspect(*worker, "failed", now);
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
