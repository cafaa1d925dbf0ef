#pragma once

#include "pool/PoolPlanner.h"
#include "pool/WorkerRating.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace banyanlock
{

/// Places the units of one group on workers whose running units may be stopped for them. Each worker is rated once, and again only after
/// its resources have changed.
class PoolPlanner::StopSearch
{
public:
    /// @param policy Weights and time limits.
    /// @param group Group whose units are placed.
    /// @param state Capacity and preemptions so far.
    StopSearch(const PlannerPolicy &policy, const GroupState &group, const PlanState &state)
        : m_policy(policy)
        , m_group(group)
        , m_state(state)
        , m_ratings(state.capacity.size())
        , m_stopped(state.stopped)
    {
    }

    /// Searches one set of workers for a unit; searches do not affect each other.
    /// @param workers Indexes of the workers that the unit may use.
    /// @param maxCost Cost that the placement must stay below.
    /// @param placement Receives the workers of the unit and the victims to stop.
    /// @return Whether the unit can be placed.
    bool findAmong(std::span<const std::uint32_t> workers, double maxCost, Placement &placement)
    {
        bool found = true;
        const std::uint32_t members = membersOf(m_group.group.spec());
        for (std::uint32_t member = 0; member < members && found; ++member) {
            found = placeMember(workers, maxCost, placement);
        }
        revert(placement);
        return found;
    }

    /// Notes that the resources of a placement's workers and of its victims' workers have changed.
    /// @param placement The placement.
    void onPlaced(const Placement &placement)
    {
        for (const std::size_t victim : placement.stops) {
            m_stopped[victim] = true;
            forgetWorkersOf(victim);
        }
        for (const std::uint32_t worker : placement.workers) {
            m_ratings[worker].known = false;
        }
    }

private:
    /// Cost of one task on a worker.
    struct Rating {
        bool known = false;
        double score = noFit;
    };

    /// Resources that a unit's earlier members have taken from a worker, and that victims stopped for them have freed.
    struct Change {
        std::uint32_t worker = 0;
        Resources resources;
    };

    void forgetWorkersOf(std::size_t victim)
    {
        for (const std::uint32_t worker : m_state.victims[victim].workers) {
            m_ratings[worker].known = false;
        }
    }

    void revert(const Placement &placement)
    {
        for (const std::size_t victim : placement.stops) {
            m_stopped[victim] = false;
        }
        for (const Change &change : m_changes) {
            m_ratings[change.worker].known = false;
        }
        m_changes.clear();
    }

    bool placeMember(std::span<const std::uint32_t> workers, double maxCost, Placement &placement)
    {
        double best = noFit;
        std::uint32_t bestWorker = 0;
        for (const std::uint32_t worker : workers) {
            Rating &rating = m_ratings[worker];
            if (!rating.known) {
                rating = {true, rate(worker, placement.workers, nullptr)};
            }
            if (rating.score < best) {
                best = rating.score;
                bestWorker = worker;
            }
        }
        if (best == noFit || placement.cost + best >= maxCost) {
            return false; // each further member costs something or nothing
        }
        std::vector<std::size_t> stops;
        placement.cost += rate(bestWorker, placement.workers, &stops);
        placement.workers.push_back(bestWorker);
        Resources taken;
        change(bestWorker, taken -= m_group.group.spec().demand);
        for (const std::size_t victim : stops) {
            m_stopped[victim] = true;
            placement.stops.push_back(victim);
            for (const std::uint32_t worker : m_state.victims[victim].workers) {
                change(worker, m_state.victims[victim].demand);
            }
        }
        return true;
    }

    void change(std::uint32_t worker, const Resources &resources)
    {
        m_changes.push_back({worker, resources});
        m_ratings[worker].known = false;
    }

    /// @return Cost of one task on the worker with the least expensive stops, which are optionally listed; `noFit` if it can't run there.
    double rate(std::uint32_t worker, std::span<const std::uint32_t> chosen, std::vector<std::size_t> *stops) const
    {
        const Resources &demand = m_group.group.spec().demand;
        const PlanWorker &candidate = m_state.capacity.worker(worker);
        if (!isEligible(m_group.group, candidate) || exceedsSpread(m_group, chosen, worker)) {
            return noFit;
        }
        Resources left = m_state.capacity.free(worker) + m_state.capacity.stopping(worker);
        for (const Change &change : m_changes) {
            if (change.worker == worker) {
                left += change.resources;
            }
        }
        double cost = 0.0;
        for (const std::size_t victim : m_state.victimsOn[worker]) {
            if (left.fits(demand)) {
                break;
            }
            const PlanVictim &running = m_state.victims[victim];
            if (m_stopped[victim] || !mayStop(m_group.group, running)) {
                continue;
            }
            for (const std::uint32_t place : running.workers) {
                if (place == worker) {
                    left += running.demand;
                }
            }
            cost += running.lostWork;
            if (stops != nullptr) {
                stops->push_back(victim);
            }
        }
        if (!left.fits(demand)) {
            return noFit;
        }
        // Among workers with the same cost, the tightest fit wins.
        constexpr double tieWeight = 1e-6;
        return cost + (candidate.suspect ? m_policy.suspectWorkerCost : 0.0) + (candidate.slow ? m_policy.slowWorkerCost : 0.0)
            + tieWeight * leftoverScore(left, demand);
    }

    const PlannerPolicy &m_policy;
    const GroupState &m_group;
    const PlanState &m_state;
    std::vector<Rating> m_ratings; // by worker
    std::vector<bool> m_stopped; // by victim
    std::vector<Change> m_changes; // by the members of the unit that is being placed
};

} // namespace banyanlock
