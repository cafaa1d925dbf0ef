// PoolScheduler: waiting units and their placement.

#include "core/Assert.h"
#include "core/Log.h"
#include "graph/GraphObjective.h"
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace banyanlock
{
std::int64_t PoolScheduler::unixNow(TimePoint now) const
{
    return m_unixOffset + toMilliseconds(now.time_since_epoch());
}

bool PoolScheduler::isDue(const GraphRecord &job, std::uint32_t occurrence, TimePoint now) const
{
    const Repetition &repetition = job.spec.repetition;
    return repetition.count == 0 || unixNow(now) >= repetition.firstUnixMilliseconds + repetition.intervalMilliseconds * occurrence;
}

bool PoolScheduler::stepSucceeded(const GraphRecord &job, std::uint32_t occurrence, std::uint32_t step) const
{
    if (occurrence < job.progress.finishedOccurrences) {
        return true;
    }
    std::uint32_t succeeded = 0;
    const auto end = job.progress.units.upper_bound({occurrence, step, UINT32_MAX});
    for (auto unit = job.progress.units.lower_bound({occurrence, step, 0}); unit != end; ++unit) {
        succeeded += unit->second.succeeded ? 1 : 0;
    }
    return succeeded == unitsOf(job.spec.steps[step]);
}

bool PoolScheduler::isReady(const GraphRecord &job, std::uint32_t occurrence, const StepSpec &step) const
{
    return std::ranges::all_of(step.after, [&](std::uint32_t earlier) {
        return stepSucceeded(job, occurrence, earlier);
    });
}

Duration PoolScheduler::slackOf(const GraphRecord &job, const WaitingUnits &waiting, std::uint32_t occurrence, std::uint32_t step,
                                TimePoint now) const
{
    const Repetition &repetition = job.spec.repetition;
    const std::int64_t begin = repetition.count == 0
        ? job.acceptedUnixMilliseconds
        : repetition.firstUnixMilliseconds + repetition.intervalMilliseconds * static_cast<std::int64_t>(occurrence);
    const Duration age = fromMilliseconds(unixNow(now) - begin);
    return waiting.objective - age - waiting.criticalPaths[step];
}

std::set<const GraphRecord *> PoolScheduler::guaranteedJobs() const
{
    std::vector<const GraphRecord *> urgent;
    for (const auto &[id, job] : m_jobs.open()) {
        if (job->terms.priority == 0 && !job->cancelled) {
            urgent.push_back(job);
        }
    }
    std::ranges::sort(urgent, [](const GraphRecord *left, const GraphRecord *right) {
        return std::pair(left->acceptedUnixMilliseconds, std::string_view(left->id))
            < std::pair(right->acceptedUnixMilliseconds, std::string_view(right->id));
    });
    std::map<std::string_view, std::int64_t> used;
    std::set<const GraphRecord *> guaranteed;
    for (const GraphRecord *job : urgent) {
        std::int64_t need = 0;
        for (const StepSpec &step : job->spec.steps) {
            need = std::max(need, step.demand.accelerators * step.tasks);
        }
        std::int64_t &total = used[job->terms.workspace];
        if (total + need <= m_operators.configuration.guaranteeOf(job->terms.workspace)) {
            total += need;
            guaranteed.insert(job);
        }
    }
    return guaranteed;
}

bool PoolScheduler::isUsable(const PoolWorker &worker, TimePoint now) const
{
    return worker.known && worker.status.answering && !worker.status.unfenced && !worker.status.connectionRefused
        && !worker.status.agentStopping && !worker.status.worker.draining && !isSilent(worker, now) && !isHeldByRecord(worker, now)
        && !m_operators.outDomains.contains(worker.status.worker.failureDomain);
}

void PoolScheduler::indexWorkers()
{
    m_planWorkers.clear();
    for (auto &[agent, worker] : m_workers) {
        worker.index = static_cast<std::uint32_t>(m_workersByIndex.size());
        worker.resourcesChanged = true;
        m_workersByIndex.push_back(&worker);
    }
    m_planWorkers.resize(m_workersByIndex.size());
    m_waiting.clear(); // groups with a spread limit refer to workers by index
}

void PoolScheduler::addUpResources(PoolWorker &worker)
{
    worker.resourcesChanged = false;
    worker.runsUnknownTask = false;
    PlanWorker &view = m_planWorkers[worker.index];
    view = PlanWorker();
    view.free = worker.status.worker.capacity;
    view.capacity = worker.status.worker.capacity;
    view.rack = rackOf(worker.status.worker);
    view.labels = worker.status.worker.labels;
    view.service = worker.status.worker.service;
    for (const PlacedMember &placed : worker.members) {
        if (!placed.member->ending) {
            view.free -= placed.unit->spec().demand;
            if (placed.unit->stopping != StopReason::None) {
                view.stopping += placed.unit->spec().demand;
            }
        }
    }
    // Runs that are no longer expected hold resources until their ends are reported.
    for (const RunReport &report : worker.status.runs) {
        if (isExpectedOn(worker, report.run)) {
            continue;
        }
        if (const std::optional<UnitId> unit = unitOf(report.run.task)) {
            view.free -= std::as_const(m_jobs).find(unit->first)->spec.steps[unit->second.step].demand;
        } else {
            worker.runsUnknownTask = true; // the run is of an unknown job, so its resource demand is unknown
        }
    }
}

void PoolScheduler::updatePlanWorkers(TimePoint now)
{
    const bool uneven = usesWorkerSpeeds();
    for (PoolWorker *worker : m_workersByIndex) {
        if (worker->resourcesChanged) {
            addUpResources(*worker);
        }
        PlanWorker &view = m_planWorkers[worker->index];
        view.usable = isUsable(*worker, now) && !worker->runsUnknownTask;
        view.suspect = m_records.isSuspect(*worker->record, now) || (uneven && m_speeds.isFaulty(worker->agent));
        view.slow = uneven && m_speeds.isSlow(worker->agent);
        view.kept = false;
        view.takesLastAttempts = m_records.mayTakeLastAttempt(*worker->record, now);
    }
}

PlanGroup PoolScheduler::makeGroup(const GraphRecord &job, std::uint32_t occurrence, std::uint32_t step) const
{
    const StepSpec &spec = job.spec.steps[step];
    PlanGroup group;
    group.job = &job;
    group.occurrence = occurrence;
    group.step = step;
    const std::uint32_t units = unitsOf(spec);
    std::vector<bool> waits(units, true);
    const UnitKey last{occurrence, step, UINT32_MAX};
    const auto progressEnd = job.progress.units.upper_bound(last);
    for (auto unit = job.progress.units.lower_bound({occurrence, step, 0}); unit != progressEnd; ++unit) {
        if (unit->second.succeeded) {
            waits[unit->first.index] = false;
        }
    }
    if (spec.spreadLimit != 0) {
        group.onWorker.assign(m_workersByIndex.size(), 0);
    }
    const auto activeEnd = m_units.upper_bound({job.id, last});
    for (auto unit = m_units.lower_bound({job.id, {occurrence, step, 0}}); unit != activeEnd; ++unit) {
        waits[unit->first.second.index] = false;
        if (spec.spreadLimit != 0) {
            for (const ActiveMember &member : unit->second.members) {
                ++group.onWorker[member.worker->index];
            }
        }
    }
    for (std::uint32_t index = 0; index < units; ++index) {
        if (waits[index]) {
            group.indexes.push_back(index);
        }
    }
    return group;
}

void PoolScheduler::collectGroups(const GraphRecord &job, WaitingUnits &waiting, TimePoint now) const
{
    waiting.groups.clear();
    waiting.collectAgainAt = TimePoint();
    waiting.changed = job.spec.repetition.count != 0; // the next occurrence becomes due without a change of progress
    if (waiting.criticalPaths.empty()) {
        waiting.criticalPaths = criticalPathsOf(job.spec);
        waiting.objective = objectiveOf(job.spec, job.terms);
    }
    const std::uint32_t first = job.progress.finishedOccurrences;
    const std::uint32_t end = first + std::min(occurrencesOf(job.spec) - first, maxOverlapOf(job.spec));
    for (std::uint32_t occurrence = first; occurrence < end; ++occurrence) {
        if (!isDue(job, occurrence, now)) {
            return;
        }
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            if (!isReady(job, occurrence, job.spec.steps[step])) {
                continue;
            }
            separateLastAttempts(job, makeGroup(job, occurrence, step), waiting, now);
        }
    }
}

void PoolScheduler::separateLastAttempts(const GraphRecord &job, PlanGroup group, WaitingUnits &waiting, TimePoint now) const
{
    PlanGroup last = group;
    last.lastAttempt = true;
    last.indexes.clear();
    const auto collectAgain = [&](TimePoint at) {
        waiting.collectAgainAt = waiting.collectAgainAt == TimePoint() ? at : std::min(waiting.collectAgainAt, at);
    };
    std::erase_if(group.indexes, [&](std::uint32_t index) {
        const UnitKey key{group.occurrence, group.step, index};
        if (const std::optional<TimePoint> until = m_backOff.delayedUntil(job.id, key, now)) {
            collectAgain(*until);
            return true;
        }
        // Units of a step with a spread limit stay in one group, since the planner counts the step's tasks on a worker by group.
        const auto failure = m_lastAttemptsUntil.find({job.id, key});
        if (group.spec().spreadLimit != 0 || failure == m_lastAttemptsUntil.end() || now >= failure->second) {
            return false;
        }
        collectAgain(failure->second);
        last.indexes.push_back(index);
        return true;
    });
    for (PlanGroup *part : {&last, &group}) {
        if (!part->indexes.empty()) {
            waiting.groups.push_back(std::move(*part));
        }
    }
}

std::vector<PlanGroup> PoolScheduler::waitingGroups(const std::set<const GraphRecord *> &guaranteed, TimePoint now)
{
    std::vector<PlanGroup> groups;
    const bool usesLearnedTimes = m_runTimes.contradictedKeys() > 0;
    for (const auto &[id, job] : m_jobs.open()) {
        if (job->cancelled || hasEnded(job->progress.state) || m_setAside.contains(id)) {
            continue;
        }
        WaitingUnits &waiting = m_waiting[job];
        if (waiting.changed || (waiting.collectAgainAt != TimePoint() && now >= waiting.collectAgainAt)) {
            collectGroups(*job, waiting, now);
        }
        if (usesLearnedTimes && !waiting.groups.empty()) {
            std::vector<Duration> runTimes;
            for (std::uint32_t step = 0; step < job->spec.steps.size(); ++step) {
                runTimes.push_back(forecastOf(*job, step).expected);
            }
            waiting.criticalPaths = criticalPathsOf(job->spec, runTimes);
            waiting.objective = objectiveOf(job->terms, std::ranges::max(waiting.criticalPaths));
        }
        for (PlanGroup &group : waiting.groups) {
            group.expected = forecastOf(*job, group.step).expected;
            const auto [since, arrived] = m_waitingSince.try_emplace({id, {group.occurrence, group.step, 0}}, now);
            if (arrived && job->terms.priority == 0) {
                const StepSpec &step = group.spec();
                m_urgentDemand.addArrival(step.demand.accelerators * step.tasks, group.expected, now);
            }
            group.waited = now - since->second;
            group.slack = slackOf(*job, waiting, group.occurrence, group.step, now);
            group.guaranteed = guaranteed.contains(job);
            group.needed = waiting.criticalPaths[group.step];
            group.reach = reachOf(waiting.objective, waiting.objective - group.slack - group.needed, group.needed);
            groups.push_back(group);
        }
    }
    return groups;
}

std::vector<PlanVictim> PoolScheduler::makeVictims(const std::set<const GraphRecord *> &guaranteed, std::vector<ActiveUnit *> &units,
                                                   TimePoint now)
{
    std::vector<PlanVictim> victims;
    for (auto &[id, unit] : m_units) {
        const StepSpec &step = unit.spec();
        if (unit.phase != UnitPhase::Started || unit.stopping != StopReason::None) {
            continue;
        }
        PlanVictim victim;
        victim.demand = step.demand;
        victim.priority = unit.record->terms.priority;
        victim.guaranteed = guaranteed.contains(unit.record);
        constexpr Duration checkpointInterval = fromMilliseconds(1000); // bounds the work lost by stopping a checkpointing task
        const Duration elapsed = now - unit.startedAt;
        const Duration lost = step.checkpoints ? std::min(elapsed, checkpointInterval) : elapsed;
        victim.lostWork = workOf(step.demand, unit.members.size(), lost);
        victim.remaining = remainingOf(unit, now);
        for (const ActiveMember &member : unit.members) {
            if (!member.ending) {
                victim.workers.push_back(member.worker->index);
            }
        }
        victims.push_back(std::move(victim));
        units.push_back(&unit);
    }
    return victims;
}

bool PoolScheduler::schedule(TimePoint now)
{
    if (m_workersByIndex.empty()) {
        indexWorkers();
    }
    const std::set<const GraphRecord *> guaranteed = guaranteedJobs();
    const std::vector<PlanGroup> groups = waitingGroups(guaranteed, now);
    if (groups.empty()) {
        return true;
    }
    updatePlanWorkers(now);
    const PlanOptions options = planOptions(groups, now);
    if (options.holdRoom) {
        keepRoomForUrgent(now);
    }
    std::vector<ActiveUnit *> victimUnits;
    std::vector<PlanVictim> victims;
    const bool needsVictims = std::ranges::any_of(groups, [&](const PlanGroup &group) {
        return group.job->terms.priority == 0 || (options.holdRoom && membersOf(group.spec()) > 1);
    });
    if (needsVictims) {
        victims = makeVictims(guaranteed, victimUnits, now);
    }
    const PoolPlan plan = m_planner.plan(groups, m_planWorkers, victims, options);
    for (const std::size_t victim : plan.stops) {
        ActiveUnit &unit = *victimUnits[victim];
        stop(unit, StopReason::Preempted);
        recordPreemption(unit, now);
        sendStops(unit, now);
    }
    for (const PlannedStart &start : plan.starts) {
        chargeAgedUnit(groups[start.group]);
        place(groups[start.group], start, now);
    }
    return plan.complete;
}

void PoolScheduler::place(const PlanGroup &group, const PlannedStart &start, TimePoint now)
{
    GraphRecord *job = m_jobs.find(group.job->id);
    BANYANLOCK_ASSERT(job != nullptr);
    const UnitKey key{group.occurrence, group.step, start.index};
    UnitProgress &progress = job->progress.units[key];
    ActiveUnit unit;
    unit.job = job->id;
    unit.record = job;
    unit.key = key;
    unit.run = ++progress.run;
    unit.startedAt = now;
    std::string workers;
    Duration oldestStatus{};
    for (std::uint32_t member = 0; member < start.workers.size(); ++member) {
        PoolWorker &worker = *m_workersByIndex[start.workers[member]];
        ActiveMember active;
        active.run = {{job->id, key.occurrence, key.step, group.spec().gang ? member : key.index}, unit.run};
        active.place = {worker.status.worker.incarnation, worker.agent};
        active.worker = &worker;
        active.checkpoint = progress.checkpoint;
        progress.places.push_back(active.place);
        unit.resumed = !progress.checkpoint.empty();
        workers += (workers.empty() ? "" : ",") + worker.status.worker.incarnation.worker + "@"
            + std::to_string(worker.status.worker.incarnation.startedUnixMilliseconds);
        oldestStatus = std::max(oldestStatus, now - worker.statusReceivedAt);
        unit.members.push_back(std::move(active));
    }
    if (job->progress.state == GraphState::Queued && m_jobsWithoutStart.try_emplace(job->id, now).second) {
        job->progress.state = GraphState::Running; // saves a transaction once the start is confirmed
    }
    Log::info("unit_placed",
              {{"job", job->id},
               {"occurrence", static_cast<std::int64_t>(key.occurrence)},
               {"step", static_cast<std::int64_t>(key.step)},
               {"index", static_cast<std::int64_t>(key.index)},
               {"run", static_cast<std::int64_t>(unit.run)},
               {"workers", workers},
               {"oldest_status_ms", toMilliseconds(oldestStatus)},
               {"waited_ms", toMilliseconds(group.waited)},
               {"slack_ms", toMilliseconds(group.slack)},
               {"configuration", static_cast<std::int64_t>(m_operators.configuration.version)}});
    activate(std::move(unit));
    markDirty(*job);
}

} // namespace banyanlock
