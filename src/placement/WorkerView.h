#pragma once

#include "placement/WorkerInfo.h"

#include <cstdint>

namespace banyanlock
{

/// What a placement may use of one worker.
struct WorkerView {
    std::uint32_t rack = 0; ///< Number of the worker's rack; workers of a rack are consecutive.
    AcceleratorMask usable = 0; ///< Accelerators that the gang may take.
    AcceleratorMask preferred = 0; ///< Part of `usable` that the gang should take first.
    std::uint32_t accelerators = 0; ///< All accelerators of the worker.
    std::uint32_t processors = 0; ///< Processor cores that are free.
    std::uint32_t memoryMegabytes = 0; ///< Memory that is free, in megabytes.
};

} // namespace banyanlock
