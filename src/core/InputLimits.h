#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace banyanlock
{

/// Limits of values that other writers may have set. Sums and products of values within them fit into 64 bits.
struct InputLimits {
    static constexpr std::int64_t resource = 1'000'000'000; ///< Amount of one resource: 10^6 cores in thousandths, or 10^9 MB.
    static constexpr Duration span = std::chrono::hours(10 * 365 * 24); ///< Length of a span or value of a monotonic clock.
    static constexpr std::int64_t spanMilliseconds = toMilliseconds(span); ///< `span` in milliseconds.
    static constexpr std::int64_t unixMilliseconds = 4'102'444'800'000; ///< Time of day, in milliseconds since 1970: the year 2100.
    static constexpr double slackFactor = 1e6; ///< Latency objective, as a multiple of the critical path.
    static constexpr std::size_t nameBytes = 150; ///< Name that becomes part of a row key; keys have at most 200 bytes.
};

} // namespace banyanlock
