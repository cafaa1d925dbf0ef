// PoolScheduler: waiting units and their placement.

#include "core/Assert.h"
#include "core/InputLimits.h"
#include "core/Log.h"
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

/// @return For each step, the length of the critical path from its start, as the sum of declared run times.
std::vector<Duration> criticalPathsOf(const GraphSpec &spec)
{
    std::vector<Duration> path(spec.steps.size(), Duration::zero());
    for (std::size_t back = spec.steps.size(); back-- > 0;) {
        path[back] += spec.steps[back].estimate;
        for (const std::uint32_t earlier : spec.steps[back].after) {
            path[earlier] = std::max(path[earlier], path[back]);
        }
    }
    return path;
}

} // namespace

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

Duration PoolScheduler::slackOf(const GraphRecord &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now) const
{
    const Repetition &repetition = job.spec.repetition;
    const std::int64_t begin = repetition.count == 0
        ? job.acceptedUnixMilliseconds
        : repetition.firstUnixMilliseconds + repetition.intervalMilliseconds * static_cast<std::int64_t>(occurrence);
    const Duration age = fromMilliseconds(unixNow(now) - begin);
    const std::vector<Duration> criticalPaths = criticalPathsOf(job.spec);
    const Duration longest = *std::ranges::max_element(criticalPaths);
    const double allowed = job.terms.slackFactor * static_cast<double>(longest.count());
    const double maxAllowed = static_cast<double>(InputLimits::span.count()); // an upper bound that fits into a span
    return Duration(static_cast<std::int64_t>(std::min(allowed, maxAllowed))) + job.terms.targetLatency - age - criticalPaths[step];
}

std::set<std::string> PoolScheduler::guaranteedJobs() const
{
    std::vector<const GraphRecord *> urgent;
    for (const std::string &id : m_jobs.open()) {
        const GraphRecord *job = std::as_const(m_jobs).find(id);
        if (job != nullptr && job->terms.priority == 0 && !job->cancelled) {
            urgent.push_back(job);
        }
    }
    std::ranges::sort(urgent, [](const GraphRecord *left, const GraphRecord *right) {
        return std::pair(left->acceptedUnixMilliseconds, left->id) < std::pair(right->acceptedUnixMilliseconds, right->id);
    });
    std::map<std::string, std::int64_t> used;
    std::set<std::string> guaranteed;
    for (const GraphRecord *job : urgent) {
        std::int64_t need = 0;
        for (const StepSpec &step : job->spec.steps) {
            need = std::max(need, step.demand.accelerators * step.tasks);
        }
        std::int64_t &total = used[job->terms.workspace];
        if (total + need <= m_operators.configuration.guaranteeOf(job->terms.workspace)) {
            total += need;
            guaranteed.insert(job->id);
        }
    }
    return guaranteed;
}

bool PoolScheduler::isUsable(const PoolWorker &worker, TimePoint now) const
{
    return worker.known && worker.status.answering && !worker.status.unfenced && !worker.status.connectionRefused
        && !worker.status.agentStopping && !worker.status.worker.draining && !isSilent(worker, now) && now >= worker.quarantinedUntil
        && !m_operators.outDomains.contains(worker.status.worker.failureDomain);
}

std::vector<PlanWorker> PoolScheduler::planWorkers(const std::vector<std::string> &agents, TimePoint now) const
{
    std::vector<PlanWorker> plan;
    plan.reserve(agents.size());
    for (const std::string &agent : agents) {
        const PoolWorker &worker = m_workers.at(agent);
        PlanWorker view;
        view.free = worker.status.worker.capacity;
        view.rack = rackOf(worker.status.worker);
        view.labels = worker.status.worker.labels;
        view.service = worker.status.worker.service;
        view.usable = isUsable(worker, now);
        view.suspect = now < worker.suspectedUntil;
        plan.push_back(std::move(view));
    }
    const auto indexOf = [&](const std::string &agent) {
        return static_cast<std::size_t>(std::ranges::lower_bound(agents, agent) - agents.begin());
    };
    for (const auto &[id, unit] : m_units) {
        const Resources &demand = std::as_const(m_jobs).find(unit.job)->spec.steps[unit.key.step].demand;
        for (const ActiveMember &member : unit.members) {
            if (!member.ending) {
                PlanWorker &host = plan[indexOf(member.place.agent)];
                host.free -= demand;
                if (unit.stopping != StopReason::None) {
                    host.stopping += demand;
                }
            }
        }
    }
    // Runs that are no longer expected hold resources until their ends are reported.
    for (std::size_t index = 0; index < agents.size(); ++index) {
        const PoolWorker &worker = m_workers.at(agents[index]);
        for (const RunReport &report : worker.status.runs) {
            const std::optional<UnitId> unit = unitOf(report.run.task);
            if (!unit) {
                plan[index].usable = false; // the run is of an unknown job, so its resource demand is unknown
            } else if (!isExpectedOn(agents[index], report.run)) {
                plan[index].free -= std::as_const(m_jobs).find(unit->first)->spec.steps[unit->second.step].demand;
            }
        }
    }
    return plan;
}

void PoolScheduler::addGroups(const GraphRecord &job, TimePoint now, const std::vector<std::string> &agents, std::vector<PlanGroup> &groups)
{
    for (std::uint32_t occurrence = job.progress.finishedOccurrences; occurrence < occurrencesOf(job.spec); ++occurrence) {
        if (!isDue(job, occurrence, now)) {
            return;
        }
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const StepSpec &spec = job.spec.steps[step];
            if (!isReady(job, occurrence, spec)) {
                continue;
            }
            PlanGroup group;
            group.job = &job;
            group.occurrence = occurrence;
            group.step = step;
            if (spec.spreadLimit != 0) {
                group.onWorker.assign(agents.size(), 0);
            }
            for (std::uint32_t index = 0; index < unitsOf(spec); ++index) {
                const UnitKey key{occurrence, step, index};
                const auto active = m_units.find({job.id, key});
                const auto progress = job.progress.units.find(key);
                if (active != m_units.end() && spec.spreadLimit != 0) {
                    for (const ActiveMember &member : active->second.members) {
                        const auto place = std::ranges::lower_bound(agents, member.place.agent);
                        ++group.onWorker[static_cast<std::size_t>(place - agents.begin())];
                    }
                }
                if (active == m_units.end() && (progress == job.progress.units.end() || !progress->second.succeeded)) {
                    group.indexes.push_back(index);
                }
            }
            if (!group.indexes.empty()) {
                const auto since = m_waitingSince.try_emplace({job.id, {occurrence, step, 0}}, now).first;
                group.waited = now - since->second;
                group.slack = slackOf(job, occurrence, step, now);
                groups.push_back(std::move(group));
            }
        }
    }
}

void PoolScheduler::schedule(TimePoint now)
{
    std::vector<std::string> agents;
    for (const auto &[agent, worker] : m_workers) {
        agents.push_back(agent);
    }
    const std::set<std::string> guaranteed = guaranteedJobs();
    std::vector<PlanGroup> groups;
    for (const std::string &id : m_jobs.open()) {
        const GraphRecord *job = std::as_const(m_jobs).find(id);
        if (job == nullptr || job->cancelled || hasEnded(job->progress.state)) {
            continue;
        }
        const std::size_t before = groups.size();
        addGroups(*job, now, agents, groups);
        for (std::size_t index = before; index < groups.size(); ++index) {
            groups[index].guaranteed = guaranteed.contains(id);
        }
    }
    if (groups.empty()) {
        return;
    }
    std::vector<PlanVictim> victims;
    std::vector<UnitId> victimUnits;
    for (const auto &[id, unit] : m_units) {
        const GraphRecord *job = std::as_const(m_jobs).find(unit.job);
        const StepSpec &step = job->spec.steps[unit.key.step];
        if (unit.phase != UnitPhase::Started || unit.stopping != StopReason::None) {
            continue;
        }
        PlanVictim victim;
        victim.demand = step.demand;
        victim.priority = job->terms.priority;
        victim.guaranteed = guaranteed.contains(unit.job);
        constexpr Duration checkpointInterval = fromMilliseconds(1000); // bounds the work lost by stopping a checkpointing task
        const Duration elapsed = now - unit.startedAt;
        const Duration lost = step.checkpoints ? std::min(elapsed, checkpointInterval) : elapsed;
        constexpr double microsecondsPerSecond = 1e6;
        victim.lostWork = step.demand.coreEquivalents() * static_cast<double>(unit.members.size()) * static_cast<double>(lost.count())
            / microsecondsPerSecond;
        for (const ActiveMember &member : unit.members) {
            if (!member.ending) {
                victim.workers.push_back(static_cast<std::uint32_t>(std::ranges::lower_bound(agents, member.place.agent) - agents.begin()));
            }
        }
        victims.push_back(std::move(victim));
        victimUnits.push_back(id);
    }
    const PoolPlan plan = m_planner.plan(groups, planWorkers(agents, now), victims);
    for (const std::size_t victim : plan.stops) {
        ActiveUnit &unit = m_units.at(victimUnits[victim]);
        stop(unit, StopReason::Preempted);
        sendStops(unit, now);
    }
    for (const PlannedStart &start : plan.starts) {
        place(groups[start.group], start, agents, now);
    }
}

void PoolScheduler::place(const PlanGroup &group, const PlannedStart &start, const std::vector<std::string> &agents, TimePoint now)
{
    GraphRecord *job = m_jobs.find(group.job->id);
    BANYANLOCK_ASSERT(job != nullptr);
    const UnitKey key{group.occurrence, group.step, start.index};
    UnitProgress &progress = job->progress.units[key];
    ActiveUnit unit;
    unit.job = job->id;
    unit.key = key;
    unit.run = ++progress.run;
    unit.startedAt = now;
    std::string workers;
    Duration oldestStatus{};
    for (std::uint32_t member = 0; member < start.workers.size(); ++member) {
        const PoolWorker &worker = m_workers.at(agents[start.workers[member]]);
        ActiveMember active;
        active.run = {{job->id, key.occurrence, key.step, group.spec().gang ? member : key.index}, unit.run};
        active.place = {worker.status.worker.incarnation, worker.agent};
        active.checkpoint = progress.checkpoint;
        progress.places.push_back(active.place);
        workers += (workers.empty() ? "" : ",") + worker.status.worker.incarnation.worker + "@"
            + std::to_string(worker.status.worker.incarnation.startedUnixMilliseconds);
        oldestStatus = std::max(oldestStatus, now - worker.statusReceivedAt);
        unit.members.push_back(std::move(active));
    }
    if (job->progress.state == GraphState::Queued) {
        job->progress.state = GraphState::Running;
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
    m_units[{job->id, key}] = std::move(unit);
    markDirty(job->id);
}

} // namespace banyanlock
