#pragma once

#include "graph/GraphSpec.h"

#include <span>
#include <vector>

namespace banyanlock
{

/// @param spec Specification of a job.
/// @return For each step, the length of the critical path from its start, as the sum of declared run times.
std::vector<Duration> criticalPathsOf(const GraphSpec &spec);

/// @param spec Specification of a job.
/// @param runTimes Run time of a task of each step.
/// @return For each step, the length of the longest chain of steps from its start to the end of the job.
std::vector<Duration> criticalPathsOf(const GraphSpec &spec, std::span<const Duration> runTimes);

/// @param spec Specification of a job.
/// @param terms Terms of its queue.
/// @return Latency objective of the job, from its acceptance or due time.
Duration objectiveOf(const GraphSpec &spec, const QueueTerms &terms);

/// @param terms Terms of a job's queue.
/// @param longest Longest chain of run times of the job.
/// @return Latency objective of the job.
Duration objectiveOf(const QueueTerms &terms, Duration longest);

} // namespace banyanlock
