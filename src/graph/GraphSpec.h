#pragma once

#include "core/Time.h"
#include "graph/Resources.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// One step of a job: a number of identical tasks.
struct StepSpec {
    std::uint32_t tasks = 1; ///< Number of tasks.
    Resources demand; ///< Resources that each task needs.
    Duration estimate{}; ///< Declared run time of a task; only an estimate.
    std::vector<std::uint32_t> after; ///< Indexes of the steps that must succeed before this one.
    bool gang = false; ///< All tasks must run at the same time.
    bool preferOneRack = false; ///< The gang is several times slower if it spans more than one rack.
    bool checkpoints = false; ///< A stopped task can resume from its latest checkpoint.
    bool speculative = false; ///< Several runs of a task may be in progress at once; the first to end counts.
    bool longRunning = false; ///< The tasks run until the job is cancelled.
    std::string requiredLabel; ///< Label that a worker must have; empty for none.
    std::string homeRack; ///< Rack that holds the tasks' data; they are several times slower elsewhere. Empty for none.
    std::uint32_t spreadLimit = 0; ///< Maximum number of tasks of the step on one worker; zero for no limit.
};

/// Schedule of a job whose steps run repeatedly.
struct Repetition {
    std::uint32_t count = 0; ///< Number of occurrences; zero for a job that runs once, immediately.
    std::int64_t firstUnixMilliseconds = 0; ///< When the first occurrence is due, in milliseconds since 1970.
    std::int64_t intervalMilliseconds = 0; ///< Time between due times, in milliseconds.
};

/// Specification of a job: a graph of steps.
struct GraphSpec {
    std::string payload; ///< Payload that is passed to each task.
    std::vector<StepSpec> steps; ///< Steps in topological order: a step depends only on earlier ones.
    Repetition repetition; ///< When the steps run.
};

/// Terms of a job's queue according to the configuration when the job was accepted.
struct QueueTerms {
    std::string queue; ///< Name of the queue.
    std::string workspace; ///< Workspace of the caller; empty on a public queue.
    std::string service; ///< Service whose workers run the tasks.
    std::uint32_t priority = 0; ///< Priority of the queue; 0 is the highest.
    std::uint32_t attemptLimit = 1; ///< Number of failed runs of a unit after which the job fails.
    double slackFactor = 1.0; ///< Latency objective of the job, as a multiple of its critical path.
    Duration targetLatency{}; ///< Constant that is added to the latency objective.
};

/// @param spec Specification of a job.
/// @return Number of occurrences of its steps; at least one.
inline std::uint32_t occurrencesOf(const GraphSpec &spec)
{
    return spec.repetition.count == 0 ? 1 : spec.repetition.count;
}

/// @param step A step.
/// @return Number of units of the step: a gang is one unit, otherwise each task is a unit.
inline std::uint32_t unitsOf(const StepSpec &step)
{
    return step.gang ? 1 : step.tasks;
}

/// @param step A step.
/// @return Number of tasks of each unit of the step.
inline std::uint32_t membersOf(const StepSpec &step)
{
    return step.gang ? step.tasks : 1;
}

/// Maximum number of tasks of a job, and of the tasks of its overlapping occurrences. It bounds the progress of a job, which is written by
/// one transaction.
inline constexpr std::uint32_t maxTasksOfJob = 2000;

/// @param spec Specification of a job.
/// @return Maximum number of its occurrences that may be in progress at the same time; at least one.
inline std::uint32_t maxOverlapOf(const GraphSpec &spec)
{
    std::uint32_t tasks = 0;
    for (const StepSpec &step : spec.steps) {
        tasks += step.tasks;
    }
    return std::max(maxTasksOfJob / std::max(tasks, 1U), 1U);
}

} // namespace banyanlock
