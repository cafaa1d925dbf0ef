#pragma once

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Set of accelerators of one worker; bit i stands for accelerator i.
using AcceleratorMask = std::uint32_t;

/// What is fixed about a worker.
struct WorkerInfo {
    std::string name; ///< Name of the worker.
    std::string address; ///< IP number and port of its interface.
    std::string failureDomain; ///< Failure domain of the worker.
    std::string rack; ///< Rack of the worker.
    std::uint32_t accelerators = 0; ///< Accelerators, at most 32.
    std::uint32_t processors = 0; ///< Processor cores.
    std::uint32_t memoryMegabytes = 0; ///< Memory, in megabytes.

    /// Compares all fields.
    bool operator==(const WorkerInfo &) const = default;
};

/// @param worker Worker to look at.
/// @return All its accelerators.
inline AcceleratorMask allAccelerators(const WorkerInfo &worker)
{
    return worker.accelerators >= 32 ? ~AcceleratorMask(0) : (AcceleratorMask(1) << worker.accelerators) - 1;
}

/// Takes the lowest accelerators of a set.
/// @param mask Set to take from.
/// @param count How many; at most as many as the set has.
/// @return The accelerators taken.
inline AcceleratorMask lowestAccelerators(AcceleratorMask mask, std::uint32_t count)
{
    AcceleratorMask taken = 0;
    for (std::uint32_t index = 0; index < count; ++index) {
        const AcceleratorMask lowest = mask & (~mask + 1);
        taken |= lowest;
        mask &= ~lowest;
    }
    return taken;
}

} // namespace banyanlock
