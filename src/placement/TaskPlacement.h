#pragma once

#include "placement/WorkerInfo.h"

#include <cstdint>
#include <vector>

namespace banyanlock
{

/// Where one task of a gang goes.
struct TaskPlacement {
    std::uint32_t worker = 0; ///< Index of the worker in the cell.
    AcceleratorMask accelerators = 0; ///< Accelerators that the task takes.
};

/// Where all tasks of a gang go, in the order of the tasks.
using GangPlacement = std::vector<TaskPlacement>;

} // namespace banyanlock
