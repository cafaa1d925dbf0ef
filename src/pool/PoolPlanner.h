#pragma once

#include "graph/GraphRecord.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanlock
{

/// The planner's view of a worker.
struct PlanWorker {
    Resources free; ///< Resources that are free now.
    Resources stopping; ///< Resources of units that are being stopped; they become free soon.
    std::string rack; ///< Rack label of the worker.
    std::span<const std::string> labels; ///< All labels.
    std::string service; ///< Service whose tasks the worker runs.
    bool usable = false; ///< Whether tasks may be started on it.
    bool suspect = false; ///< It has recently failed, refused a start or been slow: other workers are preferred.
};

/// Waiting units of one step; they are interchangeable.
struct PlanGroup {
    const GraphRecord *job = nullptr; ///< Their job.
    std::uint32_t occurrence = 0; ///< Their occurrence.
    std::uint32_t step = 0; ///< Their step.
    std::vector<std::uint32_t> indexes; ///< Indexes of the waiting units.
    bool guaranteed = false; ///< Whether the job is within the guarantee of its workspace.
    Duration waited{}; ///< Time since the step became ready.
    Duration slack{}; ///< Time until the units must start to meet the job's objective; negative if it is too late.
    std::vector<std::uint32_t> onWorker; ///< Tasks of the step on each worker; empty if the step has no spread limit.

    /// @return The step.
    const StepSpec &spec() const
    {
        return job->spec.steps[step];
    }
};

/// A running unit that may be preempted.
struct PlanVictim {
    std::vector<std::uint32_t> workers; ///< Worker of each task, by index.
    Resources demand; ///< Resources that each task holds.
    std::uint32_t priority = 0; ///< Priority of its queue; 0 is the highest.
    bool guaranteed = false; ///< Whether the job is within the guarantee of its workspace.
    double lostWork = 0.0; ///< Work that a stop loses, in core-seconds.
};

/// A placed unit.
struct PlannedStart {
    std::size_t group = 0; ///< Index of its group.
    std::uint32_t index = 0; ///< Index of the unit within the group's step.
    std::vector<std::uint32_t> workers; ///< Worker of each task, by index.
};

/// Result of planning.
struct PoolPlan {
    std::vector<PlannedStart> starts; ///< Units to start now.
    std::vector<std::size_t> stops; ///< Indexes of the victims to stop.
};

/// Weights and time limits of the planner.
struct PlannerPolicy {
    double remoteFactor = 3.0; ///< Slowdown of tasks away from their data or across several racks; from the settings.
    double maxLostWorkRatio
        = 2.5; ///< Work that may be lost for a unit, in multiples of its own work; half the break-even of cost and gain.
    double suspectWorkerCost
        = 400.0; ///< Work that may be lost to avoid a suspect worker, in core-seconds; equals the work of a typical unit.
    Duration minWaitSlack
        = fromMilliseconds(900); ///< Slack up to which an urgent unit preempts without waiting; stop and start take 0.4 s.
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
