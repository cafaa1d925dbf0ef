#pragma once

#include "graph/Resources.h"

#include <limits>

namespace banyanlock
{

/// Score of a worker that can't run a task.
inline constexpr double noFit = std::numeric_limits<double>::infinity();

/// Rates the resources that remain free on a worker after a task; accelerators weigh more than processors.
/// @param free Free resources of the worker.
/// @param need Demand of the task.
/// @return The score; the lowest is the tightest fit.
inline double leftoverScore(const Resources &free, const Resources &need)
{
    constexpr double acceleratorWeight = 100.0;
    constexpr double processorWeight = 0.0001;
    return acceleratorWeight * static_cast<double>(free.accelerators - need.accelerators)
        + processorWeight * static_cast<double>(free.processors - need.processors);
}

} // namespace banyanlock
