#pragma once

#include "contract/Contract.h"

#include <cstdint>

namespace banyanlock
{

/// What a gang needs from the workers.
struct GangShape {
    std::uint32_t tasks = 1; ///< Tasks that run together.
    std::uint32_t accelerators = 0; ///< Accelerators of each task.
    std::uint32_t processors = 1; ///< Processor cores of each task.
    std::uint32_t memoryMegabytes = 0; ///< Memory of each task, in megabytes.
    Adjacency adjacency = Adjacency::FailureDomain; ///< How near the tasks are to each other.

    /// Compares all fields.
    bool operator==(const GangShape &) const = default;
};

} // namespace banyanlock
