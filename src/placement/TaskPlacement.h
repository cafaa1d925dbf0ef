#pragma once

#include "placement/WorkerInfo.h"

#include <cstdint>
#include <vector>

namespace banyanlock
{

/// Placement of one task of a gang.
struct TaskPlacement {
    std::uint32_t worker = 0; ///< Index of the worker in the cell.
    AcceleratorMask accelerators = 0; ///< Accelerators assigned to the task.
};

/// Placements of all tasks of a gang, in task order.
using GangPlacement = std::vector<TaskPlacement>;

} // namespace banyanlock
