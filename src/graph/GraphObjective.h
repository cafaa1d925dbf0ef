#pragma once

#include "graph/GraphSpec.h"

#include <vector>

namespace banyanlock
{

/// @param spec Specification of a job.
/// @return For each step, the length of the critical path from its start, as the sum of declared run times.
std::vector<Duration> criticalPathsOf(const GraphSpec &spec);

/// @param spec Specification of a job.
/// @param terms Terms of its queue.
/// @return Latency objective of the job, from its acceptance or due time.
Duration objectiveOf(const GraphSpec &spec, const QueueTerms &terms);

} // namespace banyanlock
