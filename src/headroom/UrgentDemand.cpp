#include "headroom/UrgentDemand.h"

#include <algorithm>
#include <cmath>

namespace banyanlock
{

void UrgentDemand::addArrival(std::int64_t accelerators, Duration runTime, TimePoint now)
{
    if (m_arrivals.empty()) {
        m_firstArrival = now;
    }
    m_arrivals.push_back({now, accelerators, runTime});
    if (m_arrivals.size() > maxArrivals) {
        m_arrivals.pop_front();
    }
}

std::int64_t UrgentDemand::acceleratorsToKeep(TimePoint now)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().at > window) {
        m_arrivals.pop_front();
    }
    if (m_arrivals.size() < minArrivals) {
        return 0;
    }
    // Soon after the first arrival, the observed time is shorter than the window.
    constexpr Duration minSpan = fromMilliseconds(4000);
    const Duration span = std::clamp(now - m_firstArrival, minSpan, window);
    double mean = 0.0;
    double variance = 0.0;
    for (const Arrival &arrival : m_arrivals) {
        const auto held = static_cast<double>(arrival.accelerators);
        const double share = static_cast<double>(arrival.runTime.count()) / static_cast<double>(span.count());
        mean += held * share;
        variance += held * held * share;
    }
    return static_cast<std::int64_t>(std::ceil(mean + margin * std::sqrt(variance)));
}

} // namespace banyanlock
