#include "graph/GraphObjective.h"

#include "core/InputLimits.h"

#include <algorithm>

namespace banyanlock
{

std::vector<Duration> criticalPathsOf(const GraphSpec &spec)
{
    std::vector<Duration> declared;
    declared.reserve(spec.steps.size());
    for (const StepSpec &step : spec.steps) {
        declared.push_back(step.estimate);
    }
    return criticalPathsOf(spec, declared);
}

std::vector<Duration> criticalPathsOf(const GraphSpec &spec, std::span<const Duration> runTimes)
{
    std::vector<Duration> path(spec.steps.size(), Duration::zero());
    for (std::size_t back = spec.steps.size(); back-- > 0;) {
        path[back] += runTimes[back];
        for (const std::uint32_t earlier : spec.steps[back].after) {
            path[earlier] = std::max(path[earlier], path[back]);
        }
    }
    return path;
}

Duration objectiveOf(const GraphSpec &spec, const QueueTerms &terms)
{
    return objectiveOf(terms, std::ranges::max(criticalPathsOf(spec)));
}

Duration objectiveOf(const QueueTerms &terms, Duration longest)
{
    const double allowed = terms.slackFactor * static_cast<double>(longest.count());
    const double maxAllowed = static_cast<double>(InputLimits::span.count()); // an upper bound that fits into a span
    return Duration(static_cast<std::int64_t>(std::min(allowed, maxAllowed))) + terms.targetLatency;
}

} // namespace banyanlock
