#include "poolhost/StorePace.h"

#include <algorithm>

namespace banyanlock
{

void StorePace::note(Duration span)
{
    const auto blended = static_cast<std::int64_t>(forgetting * static_cast<double>(span.count())
                                                   + (1.0 - forgetting) * static_cast<double>(m_estimate.count()));
    m_estimate = std::max(span, Duration(blended));
}

Duration StorePace::hedge() const
{
    constexpr int margin = 3; // queues differ from one transaction to the next
    return std::max(shortestHedge, margin * m_estimate);
}

Duration StorePace::renewal() const
{
    constexpr int share = 4; // a quarter of what the service can do
    return std::clamp(share * m_estimate, shortestRenewal, longestRenewal);
}

} // namespace banyanlock
