#pragma once

#include "graph/GraphRecord.h"
#include "shares/GroupOrder.h"

#include <cstddef>
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
    Resources capacity; ///< Total resources of the worker; zero if unknown.
    std::string rack; ///< Rack label of the worker.
    std::span<const std::string> labels; ///< All labels.
    std::string service; ///< Service whose tasks the worker runs.
    bool usable = false; ///< Whether tasks may be started on it.
    bool slow = false; ///< Its tasks take clearly longer than those of other workers.
    bool kept = false; ///< Its free room is kept for urgent units.
    bool takesLastAttempts = true; ///< Units that fail their job with one more failure may be placed on it.
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
    Reach reach = Reach::InTime; ///< What the result is expected to be worth.
    Duration needed{}; ///< Expected length of the job's remaining critical path.
    Duration expected{}; ///< Expected run time of a unit.
    bool lastAttempt = false; ///< A further failed run of a unit fails the job.

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
    Duration remaining{}; ///< Expected time until it ends by itself.
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
    bool complete = true; ///< All groups were considered; if not, the remaining ones are due for the next plan.
};

} // namespace banyanlock
