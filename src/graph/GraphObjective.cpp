#include "graph/GraphObjective.h"

#include "core/InputLimits.h"

#include <algorithm>

namespace banyanlock
{

std::vector<Duration> criticalPathsOf(const GraphSpec &spec)
{
    std::vector<Duration> path(spec.steps.size(), Duration::zero());
    for (std::size_t back = spec.steps.size(); back-- > 0;) {
        path[back] += spec.steps[back].estimate;
        for (const std::uint32_t earlier : spec.steps[back].after) {
            path[earlier] = std::max(path[earlier], path[back]);
        }
    }
    return path;
}

Duration objectiveOf(const GraphSpec &spec, const QueueTerms &terms)
{
    const Duration longest = std::ranges::max(criticalPathsOf(spec));
    const double allowed = terms.slackFactor * static_cast<double>(longest.count());
    const double maxAllowed = static_cast<double>(InputLimits::span.count()); // an upper bound that fits into a span
    return Duration(static_cast<std::int64_t>(std::min(allowed, maxAllowed))) + terms.targetLatency;
}

} // namespace banyanlock
