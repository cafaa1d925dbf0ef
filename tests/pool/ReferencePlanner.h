#pragma once

#include "pool/PoolPlanner.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanlock
{

/// The planner as it was before its searches were indexed; it scans all workers for each task. `PoolPlanner` must decide the same.
///
/// It is designed for short urgent gangs on a pool that is filled with longer work, gangs that need whole workers or a single rack, and
/// many small tasks that must not fragment the capacity that the gangs need.
class ReferencePlanner
{
public:
    /// @param policy Weights and time limits.
    explicit ReferencePlanner(PlannerPolicy policy = {})
        : m_policy(policy)
    {
    }

    /// @param groups Waiting units, in any order.
    /// @param workers All workers of the pool.
    /// @param victims Running units that may be preempted.
    /// @return Units to start and units to stop.
    PoolPlan plan(std::span<const PlanGroup> groups, std::vector<PlanWorker> workers, std::span<const PlanVictim> victims) const;

private:
    /// Capacity and preemptions while a plan is being made.
    struct PlanState {
        std::vector<PlanWorker> workers;
        std::span<const PlanVictim> victims;
        std::vector<bool> stopped; // by victim
        std::vector<std::vector<std::size_t>> victimsOn; // by worker, least expensive first
    };

    /// Workers for one unit, and the victims that must be stopped first.
    struct Placement {
        std::vector<std::uint32_t> workers;
        std::vector<std::size_t> stops;
        double cost = 0.0;
    };

    static bool isEligible(const PlanGroup &group, const PlanWorker &worker);
    static bool exceedsSpread(const PlanGroup &group, std::span<const std::uint32_t> chosen, std::uint32_t worker);
    bool mayBeRemote(const PlanGroup &group, const PlanState &state) const;
    bool find(const PlanGroup &group, const PlanState &state, Placement &placement) const;
    bool findInRack(const PlanGroup &group, const PlanState &state, const std::string &rack, Placement &placement) const;
    bool findByStopping(const PlanGroup &group, const PlanState &state, Placement &placement) const;
    bool findInRackByStopping(const PlanGroup &group, const PlanState &state, const std::string &rack, Placement &placement) const;
    bool canWait(const PlanGroup &group) const;
    static bool mayStop(const PlanGroup &group, const PlanVictim &victim);
    static std::vector<std::string> racksOf(const PlanState &state);

    PlannerPolicy m_policy;
};

} // namespace banyanlock
