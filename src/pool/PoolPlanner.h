#pragma once

#include "pool/PlanCapacity.h"
#include "pool/PlanTypes.h"

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Weights and time limits of the planner.
struct PlannerPolicy {
    double remoteFactor = 3.0; ///< Slowdown of tasks away from their data or across several racks; from the settings.
    double maxLostWorkRatio
        = 2.5; ///< Work that may be lost for a unit, in multiples of its own work; half the break-even of cost and gain.
    double suspectWorkerCost
        = 400.0; ///< Work that may be lost to avoid a suspect worker, in core-seconds; equals the work of a typical unit.
    Duration minWaitSlack
        = fromMilliseconds(900); ///< Slack up to which an urgent unit preempts without waiting; stop and start take 0.4 s.
    std::size_t maxStarts
        = 400; ///< Starts after which a plan begins no further group, so that orders do not wait for a long plan; ten transactions.
    Duration maxPreemptionWait = fromMilliseconds(1200); ///< Maximum wait before an urgent unit preempts; a guarantee is due within 2.7 s.
};

/// Decides where waiting units start and which running units are preempted for them. It is stateless.
///
/// It is designed for short urgent gangs on a pool that is filled with longer work, gangs that need whole workers or a single rack, and
/// many small tasks that must not fragment the capacity that the gangs need.
class PoolPlanner
{
public:
    /// @param policy Weights and time limits.
    explicit PoolPlanner(PlannerPolicy policy = {})
        : m_policy(policy)
    {
    }

    /// @param groups Waiting units, in any order.
    /// @param workers All workers of the pool.
    /// @param victims Running units that may be preempted.
    /// @return Units to start and units to stop.
    PoolPlan plan(std::span<const PlanGroup> groups, std::span<const PlanWorker> workers, std::span<const PlanVictim> victims) const;

private:
    /// Capacity and preemptions while a plan is being made.
    struct PlanState {
        PlanCapacity capacity;
        std::span<const PlanVictim> victims;
        std::vector<bool> stopped; // by victim
        std::vector<std::vector<std::size_t>> victimsOn; // by worker, least expensive first; empty until a unit needs them
        std::map<std::string_view, std::vector<Resources>> refused; // by service: demands of single tasks that fit nowhere
    };

    /// A group while its units are placed.
    struct GroupState {
        const PlanGroup &group;
        std::vector<std::uint32_t> onWorker; // tasks of the step on each worker; empty if the step has no spread limit
    };

    /// Workers for one unit, and the victims that must be stopped first.
    struct Placement {
        std::vector<std::uint32_t> workers;
        std::vector<std::size_t> stops;
        double cost = 0.0;
    };

    /// Resources and victims of the workers while a unit is placed by stopping others.
    class StopSearch;

    static bool isEligible(const PlanGroup &group, const PlanWorker &worker);
    static bool exceedsSpread(const GroupState &state, std::span<const std::uint32_t> chosen, std::uint32_t worker);
    static bool mayStop(const PlanGroup &group, const PlanVictim &victim);
    static bool isPlain(const StepSpec &step);
    static bool isRefused(const PlanGroup &group, const PlanState &state);
    static void indexVictims(PlanState &state);
    bool mayBeRemote(const PlanGroup &group, const PlanState &state) const;
    static bool findAnywhere(const GroupState &group, PlanState &state, Placement &placement);
    static bool findInRack(const GroupState &group, const PlanState &state, std::span<const std::uint32_t> rack, Placement &placement);
    bool find(const GroupState &group, PlanState &state, Placement &placement) const;
    bool findByStopping(const GroupState &group, const PlanState &state, StopSearch &search, Placement &placement) const;
    bool canWait(const PlanGroup &group) const;
    static void take(GroupState &group, PlanState &state, const Placement &placement);
    static void reserve(const PlanGroup &group, PlanState &state, const Placement &placement);

    PlannerPolicy m_policy;
};

} // namespace banyanlock
