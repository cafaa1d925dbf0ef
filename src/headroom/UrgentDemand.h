#pragma once

#include "core/Time.h"

#include <cstdint>
#include <deque>

namespace banyanlock
{

/// Forecasts how many accelerators urgent units hold at a time, from their recent arrivals.
///
/// It answers loads in which urgent gangs arrive on a pool that longer work fills completely: without room for them, each one stops work
/// that has just started. Arrivals are taken as independent, so the number held at a time has the mean and the variance of a queue with
/// unlimited servers.
class UrgentDemand
{
public:
    /// Adds the arrival of a unit.
    /// @param accelerators Accelerators that the whole unit holds.
    /// @param runTime Expected run time.
    /// @param now Current time.
    void addArrival(std::int64_t accelerators, Duration runTime, TimePoint now);

    /// @param now Current time.
    /// @return Accelerators to keep for urgent units, including those that urgent units hold; zero if none have arrived lately.
    std::int64_t acceleratorsToKeep(TimePoint now);

private:
    static constexpr Duration window = fromMilliseconds(15000); ///< Arrivals that count; several times a usual interval and run time.
    static constexpr std::size_t minArrivals = 4; ///< Arrivals within the window from which the demand is considered recurrent.
    static constexpr std::size_t maxArrivals = 512; ///< Arrivals that are remembered.
    static constexpr double margin = 0.5; ///< Standard deviations above the mean; two gangs in three find room without a stop.

    struct Arrival {
        TimePoint at{};
        std::int64_t accelerators = 0;
        Duration runTime{};
    };

    std::deque<Arrival> m_arrivals;
    TimePoint m_firstArrival{};
};

} // namespace banyanlock
