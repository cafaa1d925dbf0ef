#pragma once

#include "core/Time.h"
#include "placement/WorkerInfo.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// Identifies a task of one run of a job.
struct TaskKey {
    std::string job; ///< Id of the job.
    std::uint32_t run = 0; ///< Run of the job.
    std::uint32_t index = 0; ///< Index of the task in the gang.

    /// Orders keys by job, run and index.
    auto operator<=>(const TaskKey &) const = default; // NOLINT(modernize-use-nullptr): false positive on defaulted comparisons
};

/// Kind of command to a worker.
enum class TaskCommandKind : std::uint8_t {
    Prepare, ///< Reserve accelerators, processors and memory for the task.
    Commit, ///< Start the prepared task.
    Checkpoint, ///< Save a checkpoint of the task, then stop it.
    Stop, ///< Stop the task immediately.
    Forget, ///< Delete the record of a task that holds no resources.
};

/// Command to a worker. Commands are idempotent.
struct TaskCommand {
    TaskCommandKind kind = TaskCommandKind::Prepare; ///< Kind of the command.
    TaskKey task; ///< Task that the command applies to.
    AcceleratorMask accelerators = 0; ///< Accelerators to reserve.
    std::uint32_t processors = 0; ///< Processor cores to reserve.
    std::uint32_t memoryMegabytes = 0; ///< Memory to reserve, in megabytes.
    std::uint32_t durationHintMilliseconds = 0; ///< Expected run time, in milliseconds.
    bool fromCheckpoint = false; ///< Resume from the checkpoint of the job.

    /// Compares all fields.
    bool operator==(const TaskCommand &) const = default;
};

/// Message from the owner of a cell to a worker: renews all leases and carries commands.
struct WorkerMessage {
    std::string cell; ///< Failure domain of the cell.
    std::uint64_t epoch = 0; ///< Fencing token of the cell owner; zero for a renewal by another entry.
    std::uint64_t boot = 0; ///< Boot id of the worker process that is addressed; zero if not yet known.
    TimePoint validUntil{}; ///< Time after which the message must be ignored, on the clock of the worker.
    Duration lease{}; ///< Time for which running tasks may continue without another renewal; zero renews nothing.
    std::uint64_t knownTasks = 0; ///< Number of the task list that the sender already has; zero for none.
    std::vector<TaskCommand> commands; ///< Commands in the order of execution.
};

/// State of a task on its worker.
enum class TaskState : std::uint8_t {
    Prepared, ///< Resources are reserved; the task has not started.
    Running, ///< Started and not yet ended.
    Succeeded, ///< Ended successfully.
    Failed, ///< Ended with an error.
    Checkpointed, ///< Saved a checkpoint, then stopped.
    Stopped, ///< Stopped by a command or because its lease expired.
};

/// @param state State to check.
/// @return Whether a task in this state holds its resources.
inline bool holdsResources(TaskState state)
{
    return state == TaskState::Prepared || state == TaskState::Running;
}

/// State of a task as reported by its worker.
struct TaskReport {
    TaskKey task; ///< Reported task.
    TaskState state = TaskState::Prepared; ///< State of the task.
    AcceleratorMask accelerators = 0; ///< Accelerators that the task holds or held.

    /// Compares all fields.
    bool operator==(const TaskReport &) const = default;
};

/// Reply of a worker to a message: its complete state, except for a task list that the sender already has.
struct WorkerReport {
    std::uint64_t boot = 0; ///< Boot id: a random number drawn by each worker process.
    TimePoint clock{}; ///< Clock of the worker.
    std::uint64_t highestEpoch = 0; ///< Highest epoch that the worker has received for its cell.
    bool accepted = false; ///< Whether the worker acted on the message.
    std::uint64_t tasksNumber = 0; ///< Number of the task list; changes with each change of the list.
    bool tasksOmitted = false; ///< The task list is omitted, since it is the one that the sender already has.
    std::vector<TaskReport> tasks; ///< All tasks, unless omitted.
};

} // namespace banyanlock
