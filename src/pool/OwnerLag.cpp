#include "pool/OwnerLag.h"

#include "graph/GraphObjective.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

constexpr Duration window = fromMilliseconds(1000);

} // namespace

void OwnerLag::advance(TimePoint now)
{
    if (now - m_windowBegin < window) {
        return;
    }
    m_previous = now - m_windowBegin < 2 * window ? m_longest : Duration::zero();
    m_longest = Duration::zero();
    m_windowBegin = now;
}

void OwnerLag::record(Duration delay, TimePoint now)
{
    advance(now);
    m_longest = std::max(m_longest, delay);
}

Duration OwnerLag::value(TimePoint now)
{
    advance(now);
    return std::max(m_longest, m_previous);
}

std::optional<Duration> refuseForLag(const GraphSpec &spec, const QueueTerms &terms, Duration lag)
{
    constexpr std::int64_t uselessFactor = 3; // of its objective: results that come later are of no use to callers
    constexpr Duration usualLag = fromMilliseconds(1000); // below it nothing is refused, however short the job
    const Duration longest = std::ranges::max(criticalPathsOf(spec));
    if (lag <= usualLag || spec.repetition.count != 0 || lag + longest <= uselessFactor * objectiveOf(spec, terms)) {
        return std::nullopt;
    }
    constexpr Duration maxRetry = fromMilliseconds(10000); // the owner may be replaced by then
    return std::min(lag, maxRetry);
}

} // namespace banyanlock
