#pragma once

#include "graph/GraphRecord.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Names one task of a job.
struct TaskName {
    std::string job; ///< Id of the job.
    std::uint32_t occurrence = 0; ///< Repetition, from zero.
    std::uint32_t step = 0; ///< Step, from zero.
    std::uint32_t index = 0; ///< Task of the step, from zero.

    /// Orders by all fields.
    auto operator<=>(const TaskName &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// Names one start of a task.
struct RunName {
    TaskName task; ///< The task.
    std::uint32_t run = 0; ///< Number of the start; rises with each.

    /// Orders by task and run.
    auto operator<=>(const RunName &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// @param run Run to name.
/// @return Text for logs.
inline std::string describe(const RunName &run)
{
    const TaskName &task = run.task;
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." + std::to_string(task.index) + "#"
        + std::to_string(run.run);
}

} // namespace banyanlock
