#pragma once

#include "contract/Contract.h"

#include <cstdint>

namespace banyanlock
{

/// Resource requirements of a gang.
struct GangShape {
    std::uint32_t tasks = 1; ///< Number of tasks that run at the same time.
    std::uint32_t accelerators = 0; ///< Accelerators of each task.
    std::uint32_t processors = 1; ///< Processor cores of each task.
    std::uint32_t memoryMegabytes = 0; ///< Memory of each task, in megabytes.
    Adjacency adjacency = Adjacency::FailureDomain; ///< Topology level within which all tasks must be placed.

    /// Compares all fields.
    bool operator==(const GangShape &) const = default;
};

} // namespace banyanlock
