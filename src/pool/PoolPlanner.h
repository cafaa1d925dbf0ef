#pragma once

#include "graph/GraphRecord.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanlock
{

/// A worker as the planner sees it.
struct PlanWorker {
    Resources free; ///< What is free now.
    Resources stopping; ///< What is being stopped, and will be free soon.
    std::string rack; ///< Rack label.
    std::span<const std::string> labels; ///< All labels.
    std::string service; ///< Service that it works for.
    bool usable = false; ///< Whether tasks may be started on it.
    bool suspect = false; ///< It has failed, refused or been slow lately: others go first.
};

/// Units of one step that wait and are alike.
struct PlanGroup {
    const GraphRecord *job = nullptr; ///< Their job.
    std::uint32_t occurrence = 0; ///< Their occurrence.
    std::uint32_t step = 0; ///< Their step.
    std::vector<std::uint32_t> indexes; ///< Units that wait.
    bool guaranteed = false; ///< Within the guarantee of their workspace.
    Duration waited{}; ///< Time since they could start.
    Duration slack{}; ///< Time that is left until they must start to meet the job's objective; negative when it is missed.
    std::vector<std::uint32_t> onWorker; ///< Tasks of the step on each worker, for the spread limit; empty without one.

    /// @return The step.
    const StepSpec &spec() const
    {
        return job->spec.steps[step];
    }
};

/// A unit that runs and might be stopped for another.
struct PlanVictim {
    std::vector<std::uint32_t> workers; ///< Workers of its tasks.
    Resources demand; ///< What each task holds.
    std::uint32_t priority = 0; ///< Rank of its queue.
    bool guaranteed = false; ///< Within the guarantee of its workspace.
    double lostWork = 0.0; ///< Core-seconds that a stop throws away.
};

/// A unit with the workers for its tasks.
struct PlannedStart {
    std::size_t group = 0; ///< Index of its group.
    std::uint32_t index = 0; ///< Unit of the group's step.
    std::vector<std::uint32_t> workers; ///< A worker for each task.
};

/// What shall be done.
struct PoolPlan {
    std::vector<PlannedStart> starts; ///< Units to start now.
    std::vector<std::size_t> stops; ///< Victims to stop, by index.
};

/// Times and weights of the planner.
struct PlannerPolicy {
    double remoteFactor = 3.0; ///< How many times longer tasks take away from their data or over several racks; setting.
    double maxLostWorkRatio
        = 2.5; ///< Work that may be thrown away for a unit, in multiples of its own; half of where price and gain balance.
    double suspectWorkerCost
        = 400.0; ///< Core-seconds that may be thrown away to avoid a suspect worker; as many as a usual unit's own work.
    Duration minWaitSlack
        = fromMilliseconds(900); ///< Slack at which an urgent unit stops waiting for others to end; a stop and a start take 0.4 s.
    Duration maxPreemptionWait = fromMilliseconds(1200); ///< Longest such wait; a guarantee is due in 2.7 s.
};

/// Decides which waiting units start where, and what is stopped for them. It has no state.
///
/// Load that it answers: short urgent gangs on a pool that longer work fills, gangs that need whole workers or one rack, and many small
/// tasks that must not break up the room that those need.
class PoolPlanner
{
public:
    /// @param policy Times and weights.
    explicit PoolPlanner(PlannerPolicy policy = {})
        : m_policy(policy)
    {
    }

    /// @param groups Waiting units, in any order.
    /// @param workers The workers.
    /// @param victims Running units.
    /// @return What to start and stop.
    PoolPlan plan(std::span<const PlanGroup> groups, std::vector<PlanWorker> workers, std::span<const PlanVictim> victims) const;

private:
    /// Room while a plan is made.
    struct PlanState {
        std::vector<PlanWorker> workers;
        std::span<const PlanVictim> victims;
        std::vector<bool> stopped; // by victim
        std::vector<std::vector<std::size_t>> victimsOn; // by worker, cheapest first
    };

    /// Workers for one unit, and what must be stopped first.
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
