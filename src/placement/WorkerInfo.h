#pragma once

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Set of accelerators of one worker; bit i stands for accelerator i.
using AcceleratorMask = std::uint32_t;

/// Static properties of a worker.
struct WorkerInfo {
    std::string name; ///< Name of the worker.
    std::string address; ///< IP address and port of its interface.
    std::string failureDomain; ///< Failure domain of the worker.
    std::string rack; ///< Rack of the worker.
    std::uint32_t accelerators = 0; ///< Number of accelerators, at most 32.
    std::uint32_t processors = 0; ///< Number of processor cores.
    std::uint32_t memoryMegabytes = 0; ///< Memory, in megabytes.

    /// Compares all fields.
    bool operator==(const WorkerInfo &) const = default;
};

/// @param worker Properties of the worker.
/// @return Mask of all its accelerators.
inline AcceleratorMask allAccelerators(const WorkerInfo &worker)
{
    return worker.accelerators >= 32 ? ~AcceleratorMask(0) : (AcceleratorMask(1) << worker.accelerators) - 1;
}

/// Selects the accelerators with the lowest numbers.
/// @param mask Set to select from.
/// @param count Number of accelerators to select; at most the size of the set.
/// @return Selected accelerators.
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
