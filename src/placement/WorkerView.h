#pragma once

#include "placement/WorkerInfo.h"

#include <cstdint>

namespace banyanlock
{

/// Resources of one worker that a placement may use.
struct WorkerView {
    std::uint32_t rack = 0; ///< Index of the rack; workers of a rack are consecutive.
    AcceleratorMask usable = 0; ///< Accelerators that the gang may use.
    AcceleratorMask preferred = 0; ///< Subset of `usable` that is assigned first.
    std::uint32_t accelerators = 0; ///< Number of accelerators that the worker has.
    std::uint32_t processors = 0; ///< Free processor cores.
    std::uint32_t memoryMegabytes = 0; ///< Free memory, in megabytes.
};

} // namespace banyanlock
