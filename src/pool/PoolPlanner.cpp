#include "pool/PoolPlanner.h"

#include "core/Assert.h"
#include "pool/ReleaseForecast.h"
#include "pool/StopSearch.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace banyanlock
{
namespace
{

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

bool PoolPlanner::isEligible(const PlanGroup &group, const PlanWorker &worker)
{
    const StepSpec &step = group.spec();
    return worker.usable && worker.service == group.job->terms.service && (!group.lastAttempt || worker.takesLastAttempts)
        && (!worker.kept || isUrgent(group) || step.homeRack == worker.rack)
        && (step.requiredLabel.empty() || std::ranges::find(worker.labels, step.requiredLabel) != worker.labels.end());
}

bool PoolPlanner::exceedsSpread(const GroupState &state, std::span<const std::uint32_t> chosen, std::uint32_t worker)
{
    const std::uint32_t limit = state.group.spec().spreadLimit;
    if (limit == 0) {
        return false;
    }
    const std::uint32_t before = worker < state.onWorker.size() ? state.onWorker[worker] : 0;
    return before + static_cast<std::uint32_t>(std::ranges::count(chosen, worker)) >= limit;
}

bool PoolPlanner::mayStop(const PlanGroup &group, const PlanVictim &victim)
{
    if (victim.priority > group.job->terms.priority) {
        return true;
    }
    return group.guaranteed && !victim.guaranteed;
}

bool PoolPlanner::isUrgent(const PlanGroup &group)
{
    return group.job->terms.priority == 0;
}

bool PoolPlanner::startsNow(const PlanGroup &group, const PlanState &state, const Placement &placement)
{
    const Resources &demand = group.spec().demand;
    return placement.stops.empty() && std::ranges::all_of(placement.workers, [&](std::uint32_t worker) {
               Resources need;
               for (const std::uint32_t other : placement.workers) {
                   need += other == worker ? demand : Resources();
               }
               return state.capacity.free(worker).fits(need);
           });
}

bool PoolPlanner::isPlain(const StepSpec &step)
{
    return step.requiredLabel.empty() && step.spreadLimit == 0;
}

bool PoolPlanner::isRefused(const PlanGroup &group, const PlanState &state)
{
    const auto refused = state.refused.find(group.job->terms.service);
    return refused != state.refused.end() && std::ranges::any_of(refused->second, [&](const Resources &smaller) {
               return group.spec().demand.fits(smaller);
           });
}

bool PoolPlanner::mayBeRemote(const PlanGroup &group, const PlanState &state) const
{
    const StepSpec &step = group.spec();
    if (step.homeRack.empty() && !(step.gang && step.preferOneRack)) {
        return true;
    }
    if (step.longRunning) {
        return true; // it has no end that a slower rack would delay
    }
    if (!step.homeRack.empty()) {
        const bool homeExists = std::ranges::any_of(state.capacity.workersOfRack(step.homeRack), [&](std::uint32_t worker) {
            return isEligible(group, state.capacity.worker(worker));
        });
        if (!homeExists) {
            return true;
        }
    }
    if (state.options.holdRoom && step.homeRack.empty()) {
        const bool someRackCanHold = std::ranges::any_of(state.capacity.racks(), [&](const std::vector<std::uint32_t> &rack) {
            std::int64_t members = 0;
            for (const std::uint32_t worker : rack) {
                if (isEligible(group, state.capacity.worker(worker))) {
                    members += state.capacity.worker(worker).capacity.countOf(step.demand);
                }
            }
            return members >= membersOf(step);
        });
        if (!someRackCanHold) {
            return true;
        }
    }
    // The group waits for its preferred rack for half of the time that running elsewhere would cost.
    const double loss = (m_policy.remoteFactor - 1.0) * static_cast<double>(step.estimate.count());
    return static_cast<double>(group.waited.count()) > loss / 2;
}

bool PoolPlanner::findInRack(const GroupState &group, const PlanState &state, std::span<const std::uint32_t> rack, Placement &placement)
{
    const StepSpec &step = group.group.spec();
    std::vector<Resources> free;
    free.reserve(rack.size());
    for (const std::uint32_t worker : rack) {
        free.push_back(state.capacity.free(worker));
    }
    for (std::uint32_t member = 0; member < membersOf(step); ++member) {
        double best = noFit;
        std::size_t bestPosition = 0;
        for (std::size_t position = 0; position < rack.size(); ++position) {
            const PlanWorker &candidate = state.capacity.worker(rack[position]);
            if (!free[position].fits(step.demand) || !isEligible(group.group, candidate)
                || exceedsSpread(group, placement.workers, rack[position])) {
                continue;
            }
            constexpr double suspectPenalty = 1e6; // exceeds any leftover score
            constexpr double keptPenalty = 5e4; // exceeds the next
            constexpr double speedPenalty = 1e4; // exceeds any leftover score, too
            const double score = leftoverScore(free[position], step.demand) + (candidate.suspect ? suspectPenalty : 0.0)
                + (candidate.slow == isUrgent(group.group) ? speedPenalty : 0.0)
                + (candidate.kept != isUrgent(group.group) ? keptPenalty : 0.0);
            if (score < best) {
                best = score;
                bestPosition = position;
            }
        }
        if (best == noFit) {
            return false;
        }
        free[bestPosition] -= step.demand;
        placement.workers.push_back(rack[bestPosition]);
        placement.cost += best;
    }
    return true;
}

bool PoolPlanner::findAnywhere(const GroupState &group, PlanState &state, Placement &placement)
{
    const StepSpec &step = group.group.spec();
    const std::string &service = group.group.job->terms.service;
    const std::uint32_t members = membersOf(step);
    if (isRefused(group.group, state) || !state.capacity.serviceMayHold(service, step.demand, members)) {
        return false;
    }
    for (std::uint32_t member = 0; member < members; ++member) {
        const std::optional<std::uint32_t> best
            = state.capacity.findBestFit(service, step.demand, isUrgent(group.group), [&](std::uint32_t worker) {
                  return isEligible(group.group, state.capacity.worker(worker)) && !exceedsSpread(group, placement.workers, worker);
              });
        if (!best) {
            break;
        }
        state.capacity.take(*best, step.demand);
        placement.workers.push_back(*best);
    }
    for (const std::uint32_t worker : placement.workers) {
        state.capacity.giveBack(worker, step.demand);
    }
    if (placement.workers.empty() && isPlain(step)) {
        state.refused[service].push_back(step.demand);
    }
    return placement.workers.size() == members;
}

bool PoolPlanner::find(const GroupState &group, PlanState &state, Placement &placement) const
{
    const StepSpec &step = group.group.spec();
    if (!step.homeRack.empty()) {
        Placement home;
        if (findInRack(group, state, state.capacity.workersOfRack(step.homeRack), home)) {
            placement = std::move(home);
            return true;
        }
    } else if (step.gang && step.preferOneRack) {
        bool found = false;
        for (std::size_t rack = 0; rack < state.capacity.racks().size(); ++rack) {
            Placement candidate;
            if (state.capacity.rackMayHold(rack, step.demand, membersOf(step))
                && findInRack(group, state, state.capacity.racks()[rack], candidate) && (!found || candidate.cost < placement.cost)) {
                placement = std::move(candidate);
                found = true;
            }
        }
        if (found) {
            return true;
        }
    }
    Placement anywhere;
    if (mayBeRemote(group.group, state) && findAnywhere(group, state, anywhere)) {
        placement = std::move(anywhere);
        return true;
    }
    return false;
}

bool PoolPlanner::findByStopping(const GroupState &group, const PlanState &state, StopSearch &search, Placement &placement) const
{
    const StepSpec &step = group.group.spec();
    bool found = false;
    if (!step.homeRack.empty()) {
        found = search.findAmong(state.capacity.workersOfRack(step.homeRack), noFit, placement);
    } else if (step.gang && step.preferOneRack) {
        for (const std::vector<std::uint32_t> &rack : state.capacity.racks()) {
            Placement candidate;
            if (search.findAmong(rack, found ? placement.cost : noFit, candidate)) {
                placement = std::move(candidate);
                found = true;
            }
        }
    }
    if (!found) {
        placement = {};
        found = search.findAmong(state.capacity.usableWorkers(), noFit, placement);
    }
    if (!found) {
        return false;
    }
    double lostWork = 0.0;
    for (const std::size_t victim : placement.stops) {
        lostWork += state.victims[victim].lostWork;
    }
    const double ownWork = workOf(step.demand, membersOf(step), step.estimate);
    return group.group.guaranteed || lostWork <= ownWork * m_policy.maxLostWorkRatio;
}

bool PoolPlanner::canWait(const PlanGroup &group) const
{
    return group.waited < m_policy.maxPreemptionWait && group.slack > m_policy.minWaitSlack;
}

void PoolPlanner::indexVictims(PlanState &state)
{
    if (!state.victimsOn.empty()) {
        return;
    }
    state.victimsOn.resize(state.capacity.size());
    for (std::size_t victim = 0; victim < state.victims.size(); ++victim) {
        for (const std::uint32_t worker : state.victims[victim].workers) {
            BANYANLOCK_ASSERT(worker < state.victimsOn.size());
            if (state.victimsOn[worker].empty() || state.victimsOn[worker].back() != victim) {
                state.victimsOn[worker].push_back(victim);
            }
        }
    }
    for (std::vector<std::size_t> &victimsHere : state.victimsOn) {
        std::ranges::stable_sort(victimsHere, {}, [&](std::size_t victim) {
            return std::tuple(state.victims[victim].guaranteed, state.victims[victim].lostWork);
        });
    }
}

void PoolPlanner::take(GroupState &group, PlanState &state, const Placement &placement)
{
    for (const std::uint32_t worker : placement.workers) {
        state.capacity.take(worker, group.group.spec().demand);
        if (worker < group.onWorker.size()) {
            ++group.onWorker[worker];
        }
    }
}

void PoolPlanner::reserve(const PlanGroup &group, PlanState &state, const Placement &placement)
{
    for (const std::size_t victim : placement.stops) {
        state.stopped[victim] = true;
        for (const std::uint32_t worker : state.victims[victim].workers) {
            state.capacity.addStopping(worker, state.victims[victim].demand);
        }
    }
    hold(group, state, placement);
}

void PoolPlanner::hold(const PlanGroup &group, PlanState &state, const Placement &placement)
{
    // Resources are reserved for the unit until the units that it waits for have ended.
    for (const std::uint32_t worker : placement.workers) {
        state.capacity.reserve(worker, group.spec().demand);
    }
    state.refused.clear(); // a reservation can end a shortage of single resources
}

std::optional<Duration> PoolPlanner::findEarliestStart(const GroupState &group, PlanState &state, Placement &placement) const
{
    const StepSpec &step = group.group.spec();
    indexVictims(state);
    const ReleaseForecast forecast(group, state);
    std::optional<Duration> start;
    const auto consider = [&](std::span<const std::uint32_t> workers) {
        Placement candidate;
        const std::optional<Duration> after = forecast.findAmong(workers, candidate);
        if (after && (!start || *after < *start)) {
            start = after;
            placement = std::move(candidate);
        }
    };
    if (!step.homeRack.empty()) {
        consider(state.capacity.workersOfRack(step.homeRack));
    } else if (step.gang && step.preferOneRack) {
        for (const std::vector<std::uint32_t> &rack : state.capacity.racks()) {
            consider(rack);
        }
    }
    if (!start) {
        consider(state.capacity.usableWorkers());
    }
    return start;
}

bool PoolPlanner::holdUntilFree(const GroupState &group, PlanState &state) const
{
    Placement placement;
    const std::optional<Duration> start = findEarliestStart(group, state, placement);
    const Duration longest = std::min(group.group.slack - m_policy.startDelay, m_policy.maxPreemptionWait - group.group.waited);
    if (!start || *start > longest) {
        return false;
    }
    hold(group.group, state, placement);
    return true;
}

void PoolPlanner::holdForGang(const GroupState &group, PlanState &state) const
{
    const StepSpec &step = group.group.spec();
    if (!state.held.insert({group.group.job->terms.service, group.group.job->terms.priority}).second) {
        return;
    }
    Placement placement;
    if (!findEarliestStart(group, state, placement)) {
        return;
    }
    const double ownWork = workOf(step.demand, membersOf(step), group.group.expected);
    if (placement.cost <= ownWork * m_policy.maxIdleWorkRatio) {
        hold(group.group, state, placement);
    }
}

PoolPlan PoolPlanner::plan(std::span<const PlanGroup> groups, std::span<const PlanWorker> workers, std::span<const PlanVictim> victims,
                           const PlanOptions &options) const
{
    PoolPlan plan;
    PlanState state{PlanCapacity(workers), victims, std::vector<bool>(victims.size(), false), {}, {}, options, {}};
    BANYANLOCK_ASSERT(options.order.empty() || options.order.size() == groups.size());
    for (const std::size_t groupIndex : options.order.empty() ? planningOrder(groups) : options.order) {
        if (plan.starts.size() >= m_policy.maxStarts) {
            plan.complete = false;
            break;
        }
        const PlanGroup &group = groups[groupIndex];
        GroupState placing{group, group.onWorker};
        std::optional<StopSearch> search; // made for the first unit that finds no room
        for (const std::uint32_t index : group.indexes) {
            Placement placement;
            if (find(placing, state, placement)) {
                take(placing, state, placement);
                if (search) {
                    search->onPlaced(placement);
                }
                plan.starts.push_back({groupIndex, index, std::move(placement.workers)});
                continue;
            }
            const bool missed = group.slack < Duration::zero();
            if (group.job->terms.priority != 0 || (missed && !group.guaranteed)) {
                if (options.holdRoom && membersOf(group.spec()) > 1) {
                    holdForGang(placing, state);
                }
                break; // the other units of the group are interchangeable with this one
            }
            indexVictims(state);
            if (!search) {
                search.emplace(m_policy, placing, state);
            }
            Placement forced;
            if (!findByStopping(placing, state, *search, forced)) {
                break;
            }
            if (options.holdRoom && startsNow(group, state, forced)) {
                take(placing, state, forced);
                search->onPlaced(forced);
                plan.starts.push_back({groupIndex, index, std::move(forced.workers)});
                continue;
            }
            // Running units may end in time without preemption.
            if (canWait(group) && !forced.stops.empty() && (!options.holdRoom || holdUntilFree(placing, state))) {
                break;
            }
            reserve(group, state, forced);
            search->onPlaced(forced);
            plan.stops.insert(plan.stops.end(), forced.stops.begin(), forced.stops.end());
        }
    }
    return plan;
}

} // namespace banyanlock
