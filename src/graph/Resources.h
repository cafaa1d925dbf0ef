#pragma once

#include "core/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace banyanlock
{

/// Amounts of resources, such as the demand of a task or the capacity of a worker.
struct Resources {
    std::int64_t processors = 0; ///< Processor time, in thousandths of a core.
    std::int64_t memory = 0; ///< Memory, in megabytes.
    std::int64_t accelerators = 0; ///< Whole accelerators.

    /// Compares all fields.
    bool operator==(const Resources &) const = default;

    /// Adds each resource.
    /// @param other Amounts to add.
    /// @return Reference to this object.
    Resources &operator+=(const Resources &other)
    {
        processors += other.processors;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }

    /// Subtracts each resource; results may be negative.
    /// @param other Amounts to subtract.
    /// @return Reference to this object.
    Resources &operator-=(const Resources &other)
    {
        processors -= other.processors;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }

    /// @param need Required amounts.
    /// @return Whether each required amount is available here.
    bool fits(const Resources &need) const
    {
        return need.processors <= processors && need.memory <= memory && need.accelerators <= accelerators;
    }

    /// @param need Amounts that each task needs.
    /// @return Number of tasks that fit here; zero if a resource is overdrawn.
    std::int64_t countOf(const Resources &need) const
    {
        std::int64_t count = unlimitedTasks;
        for (const auto &[amount, each] :
             {std::pair(processors, need.processors), std::pair(memory, need.memory), std::pair(accelerators, need.accelerators)}) {
            count = each > 0 ? std::min(count, std::max<std::int64_t>(amount, 0) / each) : amount < 0 ? 0 : count;
        }
        return count;
    }

    static constexpr std::int64_t unlimitedTasks = 1'000'000; ///< Result of `countOf` for tasks that need nothing.

    /// @return Weight in core-seconds per second; an accelerator counts as eight cores.
    double coreEquivalents() const
    {
        constexpr double coresPerAccelerator = 8.0; // price ratio between an accelerator and a core
        constexpr double thousandth = 0.001;
        return static_cast<double>(processors) * thousandth + static_cast<double>(accelerators) * coresPerAccelerator;
    }
};

/// @param demand Demand of each task.
/// @param tasks Number of tasks.
/// @param time Time for which they run.
/// @return Work of the tasks, in core-equivalent seconds.
inline double workOf(const Resources &demand, std::size_t tasks, Duration time)
{
    constexpr double microsecondsPerSecond = 1e6;
    return demand.coreEquivalents() * static_cast<double>(tasks) * static_cast<double>(time.count()) / microsecondsPerSecond;
}

/// @param left First summand.
/// @param right Second summand.
/// @return The sum of both operands for each resource.
inline Resources operator+(Resources left, const Resources &right)
{
    return left += right;
}

} // namespace banyanlock
