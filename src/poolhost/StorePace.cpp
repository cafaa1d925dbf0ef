#include "poolhost/StorePace.h"

#include <algorithm>

namespace banyanlock
{

void StorePace::record(Duration latency)
{
    const auto blended = static_cast<std::int64_t>(smoothingFactor * static_cast<double>(latency.count())
                                                   + (1.0 - smoothingFactor) * static_cast<double>(m_estimate.count()));
    m_estimate = std::max(latency, Duration(blended));
}

Duration StorePace::hedgeDelay() const
{
    constexpr int hedgeFactor = 3; // queueing delay varies between transactions
    return std::max(minHedgeDelay, hedgeFactor * m_estimate);
}

Duration StorePace::renewalInterval() const
{
    constexpr int renewalFactor = 4; // renewals then use a quarter of the service's throughput
    return std::clamp(renewalFactor * m_estimate, minRenewalInterval, maxRenewalInterval);
}

} // namespace banyanlock
