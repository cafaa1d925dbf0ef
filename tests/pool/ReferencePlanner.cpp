#include "ReferencePlanner.h"

#include "core/Assert.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace banyanlock
{
namespace
{

constexpr double noFit = std::numeric_limits<double>::infinity();

// Rates the resources that remain free on a worker after a task; accelerators weigh more than processors.
double leftoverScore(const Resources &free, const Resources &need)
{
    constexpr double acceleratorWeight = 100.0;
    constexpr double processorWeight = 0.0001;
    return acceleratorWeight * static_cast<double>(free.accelerators - need.accelerators)
        + processorWeight * static_cast<double>(free.processors - need.processors);
}

Resources clampToZero(Resources resources)
{
    resources.processors = std::max<std::int64_t>(resources.processors, 0);
    resources.memory = std::max<std::int64_t>(resources.memory, 0);
    resources.accelerators = std::max<std::int64_t>(resources.accelerators, 0);
    return resources;
}

std::vector<std::size_t> planningOrder(std::span<const PlanGroup> groups)
{
    std::vector<std::size_t> order(groups.size());
    std::iota(order.begin(), order.end(), 0);
    const auto rank = [&](std::size_t index) {
        const PlanGroup &group = groups[index];
        const bool missed = group.slack < Duration::zero();
        // Groups that can still meet their objective precede groups that have missed it; within each class, the least slack goes first.
        return std::tuple(group.guaranteed ? 0 : 1, group.job->terms.priority, missed ? 1 : 0, group.slack);
    };
    std::ranges::stable_sort(order, [&](std::size_t left, std::size_t right) {
        return rank(left) < rank(right);
    });
    return order;
}

} // namespace

bool ReferencePlanner::isEligible(const PlanGroup &group, const PlanWorker &worker)
{
    const StepSpec &step = group.spec();
    return worker.usable && worker.service == group.job->terms.service
        && (step.requiredLabel.empty() || std::ranges::find(worker.labels, step.requiredLabel) != worker.labels.end());
}

bool ReferencePlanner::exceedsSpread(const PlanGroup &group, std::span<const std::uint32_t> chosen, std::uint32_t worker)
{
    const std::uint32_t limit = group.spec().spreadLimit;
    if (limit == 0) {
        return false;
    }
    const std::uint32_t before = worker < group.onWorker.size() ? group.onWorker[worker] : 0;
    return before + static_cast<std::uint32_t>(std::ranges::count(chosen, worker)) >= limit;
}

std::vector<std::string> ReferencePlanner::racksOf(const PlanState &state)
{
    std::vector<std::string> racks;
    for (const PlanWorker &worker : state.workers) {
        if (worker.usable && std::ranges::find(racks, worker.rack) == racks.end()) {
            racks.push_back(worker.rack);
        }
    }
    return racks;
}

bool ReferencePlanner::mayBeRemote(const PlanGroup &group, const PlanState &state) const
{
    const StepSpec &step = group.spec();
    if (step.homeRack.empty() && !(step.gang && step.preferOneRack)) {
        return true;
    }
    if (step.longRunning) {
        return true;
    }
    if (!step.homeRack.empty()) {
        const bool homeExists = std::ranges::any_of(state.workers, [&](const PlanWorker &worker) {
            return worker.rack == step.homeRack && isEligible(group, worker);
        });
        if (!homeExists) {
            return true;
        }
    }
    // The group waits for its preferred rack for half of the time that running elsewhere would cost.
    const double loss = (m_policy.remoteFactor - 1.0) * static_cast<double>(step.estimate.count());
    return static_cast<double>(group.waited.count()) > loss / 2;
}

bool ReferencePlanner::findInRack(const PlanGroup &group, const PlanState &state, const std::string &rack, Placement &placement) const
{
    const StepSpec &step = group.spec();
    std::vector<Resources> free;
    free.reserve(state.workers.size());
    for (const PlanWorker &worker : state.workers) {
        free.push_back(worker.free);
    }
    for (std::uint32_t member = 0; member < membersOf(step); ++member) {
        double best = noFit;
        std::uint32_t bestWorker = 0;
        for (std::uint32_t worker = 0; worker < state.workers.size(); ++worker) {
            const PlanWorker &candidate = state.workers[worker];
            if ((!rack.empty() && candidate.rack != rack) || !isEligible(group, candidate) || !free[worker].fits(step.demand)
                || exceedsSpread(group, placement.workers, worker)) {
                continue;
            }
            constexpr double suspectPenalty = 1e6; // exceeds any leftover score
            const double score = leftoverScore(free[worker], step.demand) + (candidate.suspect ? suspectPenalty : 0.0);
            if (score < best) {
                best = score;
                bestWorker = worker;
            }
        }
        if (best == noFit) {
            return false;
        }
        free[bestWorker] -= step.demand;
        placement.workers.push_back(bestWorker);
        placement.cost += best;
    }
    return true;
}

bool ReferencePlanner::find(const PlanGroup &group, const PlanState &state, Placement &placement) const
{
    const StepSpec &step = group.spec();
    if (!step.homeRack.empty()) {
        Placement home;
        if (findInRack(group, state, step.homeRack, home)) {
            placement = home;
            return true;
        }
    } else if (step.gang && step.preferOneRack) {
        bool found = false;
        for (const std::string &rack : racksOf(state)) {
            Placement candidate;
            if (findInRack(group, state, rack, candidate) && (!found || candidate.cost < placement.cost)) {
                placement = candidate;
                found = true;
            }
        }
        if (found) {
            return true;
        }
    }
    Placement anywhere;
    if (mayBeRemote(group, state) && findInRack(group, state, {}, anywhere)) {
        placement = anywhere;
        return true;
    }
    return false;
}

bool ReferencePlanner::mayStop(const PlanGroup &group, const PlanVictim &victim)
{
    if (victim.priority > group.job->terms.priority) {
        return true;
    }
    return group.guaranteed && !victim.guaranteed;
}

bool ReferencePlanner::findInRackByStopping(const PlanGroup &group, const PlanState &state, const std::string &rack,
                                            Placement &placement) const
{
    const StepSpec &step = group.spec();
    std::vector<Resources> free;
    free.reserve(state.workers.size());
    for (const PlanWorker &worker : state.workers) {
        free.push_back(worker.free + worker.stopping);
    }
    std::vector<bool> stopped = state.stopped;
    for (std::uint32_t member = 0; member < membersOf(step); ++member) {
        double best = noFit;
        std::uint32_t bestWorker = 0;
        std::vector<std::size_t> bestStops;
        for (std::uint32_t worker = 0; worker < state.workers.size(); ++worker) {
            const PlanWorker &candidate = state.workers[worker];
            if ((!rack.empty() && candidate.rack != rack) || !isEligible(group, candidate)
                || exceedsSpread(group, placement.workers, worker)) {
                continue;
            }
            Resources left = free[worker];
            double cost = 0.0;
            std::vector<std::size_t> stops;
            for (const std::size_t victim : state.victimsOn[worker]) {
                if (left.fits(step.demand)) {
                    break;
                }
                const PlanVictim &running = state.victims[victim];
                if (stopped[victim] || std::ranges::find(stops, victim) != stops.end() || !mayStop(group, running)) {
                    continue;
                }
                for (const std::uint32_t place : running.workers) {
                    if (place == worker) {
                        left += running.demand;
                    }
                }
                stops.push_back(victim);
                cost += running.lostWork;
            }
            if (!left.fits(step.demand)) {
                continue;
            }
            // Among workers with the same cost, the tightest fit wins.
            constexpr double tieWeight = 1e-6;
            const double score
                = cost + (candidate.suspect ? m_policy.suspectWorkerCost : 0.0) + tieWeight * leftoverScore(left, step.demand);
            if (score < best) {
                best = score;
                bestWorker = worker;
                bestStops = stops;
            }
        }
        if (best == noFit) {
            return false;
        }
        for (const std::size_t victim : bestStops) {
            stopped[victim] = true;
            placement.stops.push_back(victim);
            for (const std::uint32_t place : state.victims[victim].workers) {
                free[place] += state.victims[victim].demand;
            }
        }
        free[bestWorker] -= step.demand;
        placement.workers.push_back(bestWorker);
        placement.cost += best;
    }
    return true;
}

bool ReferencePlanner::findByStopping(const PlanGroup &group, const PlanState &state, Placement &placement) const
{
    const StepSpec &step = group.spec();
    const bool oneRack = step.gang && step.preferOneRack;
    bool found = false;
    if (!step.homeRack.empty()) {
        found = findInRackByStopping(group, state, step.homeRack, placement);
    } else if (oneRack) {
        for (const std::string &rack : racksOf(state)) {
            Placement candidate;
            if (findInRackByStopping(group, state, rack, candidate) && (!found || candidate.cost < placement.cost)) {
                placement = candidate;
                found = true;
            }
        }
    }
    if (!found) {
        Placement anywhere;
        found = findInRackByStopping(group, state, {}, anywhere);
        placement = anywhere;
    }
    if (!found) {
        return false;
    }
    double lostWork = 0.0;
    for (const std::size_t victim : placement.stops) {
        lostWork += state.victims[victim].lostWork;
    }
    constexpr double microsecondsPerSecond = 1e6;
    const double ownWork = step.demand.coreEquivalents() * static_cast<double>(membersOf(step)) * static_cast<double>(step.estimate.count())
        / microsecondsPerSecond;
    return group.guaranteed || lostWork <= ownWork * m_policy.maxLostWorkRatio;
}

bool ReferencePlanner::canWait(const PlanGroup &group) const
{
    return group.waited < m_policy.maxPreemptionWait && group.slack > m_policy.minWaitSlack;
}

PoolPlan ReferencePlanner::plan(std::span<const PlanGroup> groups, std::vector<PlanWorker> workers,
                                std::span<const PlanVictim> victims) const
{
    PoolPlan plan;
    PlanState state;
    state.workers = std::move(workers);
    state.victims = victims;
    state.stopped.assign(victims.size(), false);
    state.victimsOn.resize(state.workers.size());
    for (std::size_t victim = 0; victim < victims.size(); ++victim) {
        for (const std::uint32_t worker : victims[victim].workers) {
            BANYANLOCK_ASSERT(worker < state.workers.size());
            if (state.victimsOn[worker].empty() || state.victimsOn[worker].back() != victim) {
                state.victimsOn[worker].push_back(victim);
            }
        }
    }
    for (std::vector<std::size_t> &victimsHere : state.victimsOn) {
        std::ranges::stable_sort(victimsHere, [&](std::size_t left, std::size_t right) {
            return std::tuple(victims[left].guaranteed, victims[left].lostWork)
                < std::tuple(victims[right].guaranteed, victims[right].lostWork);
        });
    }
    for (const std::size_t groupIndex : planningOrder(groups)) {
        PlanGroup group = groups[groupIndex];
        for (const std::uint32_t index : group.indexes) {
            Placement placement;
            if (find(group, state, placement)) {
                for (const std::uint32_t worker : placement.workers) {
                    state.workers[worker].free -= group.spec().demand;
                    if (worker < group.onWorker.size()) {
                        ++group.onWorker[worker];
                    }
                }
                plan.starts.push_back({groupIndex, index, std::move(placement.workers)});
                continue;
            }
            const bool missed = group.slack < Duration::zero();
            if (group.job->terms.priority != 0 || (missed && !group.guaranteed)) {
                break; // the other units of the group are interchangeable with this one
            }
            Placement forced;
            if (!findByStopping(group, state, forced)) {
                break;
            }
            if (canWait(group) && !forced.stops.empty()) {
                break; // running units may end in time without preemption
            }
            for (const std::size_t victim : forced.stops) {
                state.stopped[victim] = true;
                plan.stops.push_back(victim);
                for (const std::uint32_t worker : state.victims[victim].workers) {
                    state.workers[worker].stopping += state.victims[victim].demand;
                }
            }
            // Resources are reserved for the unit until the stopped tasks have ended.
            for (const std::uint32_t worker : forced.workers) {
                PlanWorker &host = state.workers[worker];
                host.stopping += host.free;
                host.stopping -= group.spec().demand;
                host.free -= group.spec().demand;
                host.free = clampToZero(host.free);
                host.stopping -= host.free;
            }
        }
    }
    return plan;
}

} // namespace banyanlock
