#pragma once

#include "graph/GraphRecord.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Identifies a task of a job.
struct TaskName {
    std::string job; ///< Id of the job.
    std::uint32_t occurrence = 0; ///< Occurrence of a repeated job, from zero.
    std::uint32_t step = 0; ///< Index of the step, from zero.
    std::uint32_t index = 0; ///< Index of the task within the step, from zero.

    /// Orders by all fields.
    auto operator<=>(const TaskName &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// Identifies a run of a task.
struct RunName {
    TaskName task; ///< The task.
    std::uint32_t run = 0; ///< Number of the run; increases with each start of the task.

    /// Orders by task and run.
    auto operator<=>(const RunName &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// @param run Run to describe.
/// @return Text for logs: job, occurrence, step, index and run.
inline std::string describe(const RunName &run)
{
    const TaskName &task = run.task;
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." + std::to_string(task.index) + "#"
        + std::to_string(run.run);
}

} // namespace banyanlock
