#pragma once

#include "core/Time.h"
#include "graph/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// One step of a job: tasks that are alike.
struct StepSpec {
    std::uint32_t tasks = 1; ///< How many tasks the step has.
    Resources demand; ///< What each task needs.
    Duration estimate{}; ///< Declared run time of a task; only a hint.
    std::vector<std::uint32_t> after; ///< Steps whose tasks must all have succeeded first.
    bool gang = false; ///< The tasks work only together.
    bool preferOneRack = false; ///< The tasks are several times slower on more than one rack.
    bool checkpoints = false; ///< A stopped task can go on from where it was.
    bool speculative = false; ///< Several runs of a task may be under way; the first to end counts.
    bool longRunning = false; ///< The tasks run until the job is cancelled.
    std::string requiredLabel; ///< Label that a worker must have; empty for none.
    std::string homeRack; ///< Rack where the tasks' data is; they are several times slower elsewhere. Empty for none.
    std::uint32_t spreadLimit = 0; ///< Most tasks of the step on one worker; zero for no limit.
};

/// When a job's steps run again and again.
struct Repetition {
    std::uint32_t count = 0; ///< How many times the steps run; zero for a job that runs once, at once.
    std::int64_t firstUnixMilliseconds = 0; ///< When the first one is due, in milliseconds since 1970.
    std::int64_t intervalMilliseconds = 0; ///< Time from one due time to the next.
};

/// What a caller asks for: a graph of steps.
struct GraphSpec {
    std::string payload; ///< Text that is handed to each task.
    std::vector<StepSpec> steps; ///< The steps; a step names only earlier ones.
    Repetition repetition; ///< When they run.
};

/// What the configuration said of a job's queue when the job was accepted.
struct QueueTerms {
    std::string queue; ///< Name of the queue.
    std::string workspace; ///< Workspace of the caller; empty on a public queue.
    std::string service; ///< Service whose workers run the tasks.
    std::uint32_t priority = 0; ///< Rank of the queue; 0 goes first.
    std::uint32_t attemptLimit = 1; ///< Runs of a task that may fail.
    double slackFactor = 1.0; ///< Objective of a job, in multiples of its longest chain of steps.
    Duration targetLatency{}; ///< Time that the objective adds to that.
};

/// @param spec Job to look at.
/// @return Times that its steps run; at least one.
inline std::uint32_t occurrencesOf(const GraphSpec &spec)
{
    return spec.repetition.count == 0 ? 1 : spec.repetition.count;
}

/// @param step Step to look at.
/// @return Units of the step: a gang is placed as one, separate tasks each by itself.
inline std::uint32_t unitsOf(const StepSpec &step)
{
    return step.gang ? 1 : step.tasks;
}

/// @param step Step to look at.
/// @return Tasks of one unit.
inline std::uint32_t membersOf(const StepSpec &step)
{
    return step.gang ? step.tasks : 1;
}

} // namespace banyanlock
