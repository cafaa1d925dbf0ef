#pragma once

#include <cstdint>

namespace banyanlock
{

/// What a task needs, or what a worker has.
struct Resources {
    std::int64_t processors = 0; ///< Processor time, in thousandths of a core.
    std::int64_t memory = 0; ///< Memory, in megabytes.
    std::int64_t accelerators = 0; ///< Whole accelerators.

    /// Compares all fields.
    bool operator==(const Resources &) const = default;

    /// Adds each resource.
    /// @param other What to add.
    /// @return This.
    Resources &operator+=(const Resources &other)
    {
        processors += other.processors;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }

    /// Subtracts each resource; results may be negative.
    /// @param other What to subtract.
    /// @return This.
    Resources &operator-=(const Resources &other)
    {
        processors -= other.processors;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }

    /// @param need What shall fit.
    /// @return Whether all of it fits into this.
    bool fits(const Resources &need) const
    {
        return need.processors <= processors && need.memory <= memory && need.accelerators <= accelerators;
    }

    /// @return Its weight in core-seconds a second; an accelerator weighs as much as eight cores.
    double coreEquivalents() const
    {
        constexpr double coresPerAccelerator = 8.0; // the users' price of an accelerator
        constexpr double thousandth = 0.001;
        return static_cast<double>(processors) * thousandth + static_cast<double>(accelerators) * coresPerAccelerator;
    }
};

/// @param left First summand.
/// @param right Second summand.
/// @return The sum of each resource.
inline Resources operator+(Resources left, const Resources &right)
{
    return left += right;
}

} // namespace banyanlock
