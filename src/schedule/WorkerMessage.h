#pragma once

#include "core/Time.h"
#include "placement/WorkerInfo.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// Names one task of one run of a job.
struct TaskKey {
    std::string job; ///< Id of the job.
    std::uint32_t run = 0; ///< Run of the job.
    std::uint32_t index = 0; ///< Index of the task in the gang.

    /// Orders keys by job, run and index.
    auto operator<=>(const TaskKey &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// What a command asks of a worker.
enum class TaskCommandKind : std::uint8_t {
    Prepare, ///< Hold accelerators, processors and memory for the task.
    Commit, ///< Start the prepared task.
    Checkpoint, ///< Save the task's progress, then stop it.
    Stop, ///< Stop the task at once.
    Forget, ///< Drop the record of a task that is not running.
};

/// One command to a worker. Commands may be repeated without harm.
struct TaskCommand {
    TaskCommandKind kind = TaskCommandKind::Prepare; ///< What to do.
    TaskKey task; ///< Task that is meant.
    AcceleratorMask accelerators = 0; ///< Accelerators to hold.
    std::uint32_t processors = 0; ///< Processor cores to hold.
    std::uint32_t memoryMegabytes = 0; ///< Memory to hold, in megabytes.
    std::uint32_t durationHintMilliseconds = 0; ///< Declared run time.
    bool fromCheckpoint = false; ///< Go on from the job's checkpoint.

    /// Compares all fields.
    bool operator==(const TaskCommand &) const = default;
};

/// One message from a cell's owner to a worker: renewal of all leases, and commands.
struct WorkerMessage {
    std::string cell; ///< Failure domain of the cell.
    std::uint64_t epoch = 0; ///< Fencing token of the cell's owner; zero for a renewal by another entry.
    std::uint64_t boot = 0; ///< Worker process that is meant; zero when not yet known.
    TimePoint validUntil{}; ///< Latest moment to act on the message, on the worker's clock.
    Duration lease{}; ///< Time for which running tasks may go on without another message.
    std::uint64_t knownTasks = 0; ///< Number of the worker's task list that the sender has; zero for none.
    std::vector<TaskCommand> commands; ///< Commands, in order.
};

/// State of a task at its worker.
enum class TaskState : std::uint8_t {
    Prepared, ///< Resources are held; not started.
    Running, ///< Started and not ended.
    Succeeded, ///< Ended well.
    Failed, ///< Ended badly.
    Checkpointed, ///< Progress saved, then stopped.
    Stopped, ///< Stopped by a command or because its lease lapsed.
};

/// @param state State to look at.
/// @return Whether the task holds its resources.
inline bool holdsResources(TaskState state)
{
    return state == TaskState::Prepared || state == TaskState::Running;
}

/// A task as its worker reports it.
struct TaskReport {
    TaskKey task; ///< The task.
    TaskState state = TaskState::Prepared; ///< Its state.
    AcceleratorMask accelerators = 0; ///< Accelerators that it holds or held.

    /// Compares all fields.
    bool operator==(const TaskReport &) const = default;
};

/// A worker's answer to a message: everything that it knows, but for a task list that the sender has already.
struct WorkerReport {
    std::uint64_t boot = 0; ///< Random number of the worker's process.
    TimePoint clock{}; ///< The worker's clock.
    std::uint64_t highestEpoch = 0; ///< Highest epoch that the worker has seen for its cell.
    bool accepted = false; ///< Whether the message was acted on.
    std::uint64_t tasksNumber = 0; ///< Number of the task list; another one after each change of it.
    bool tasksOmitted = false; ///< The list is the one that the message named, and is left out.
    std::vector<TaskReport> tasks; ///< All tasks, unless omitted.
};

} // namespace banyanlock
