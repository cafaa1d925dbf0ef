#pragma once

#include <cstdint>

namespace banyanlock
{

/// Prints the processor time of one plan, by the planner and by the reference that scans all workers, on pools of several sizes.
/// @param largest Largest number of workers.
void runPlannerBench(std::uint32_t largest);

} // namespace banyanlock
