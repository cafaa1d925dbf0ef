#pragma once

/// @file
/// Time types shared by all libraries.

#include <chrono>
#include <cstdint>
#include <ctime>

namespace banyanlock
{

/// Span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag clock for points on the process's monotonic time line. Decision code never reads it; shells pass `now` in.
struct MonotonicClock {
    /// Span type of the clock.
    using duration = Duration;
    /// Representation of a span.
    using rep = Duration::rep;
    /// Period of one tick.
    using period = Duration::period;
    /// Point type of the clock.
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    /// The clock never goes backwards.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard names it

    /// Reads the system's boot clock, which goes on while the process is stopped and while the instance is suspended.
    /// @return The current point in time.
    static time_point now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
    }
};

/// Point on the monotonic time line.
using TimePoint = MonotonicClock::time_point;

/// @return Time of day by this instance's clock, in milliseconds since 1970; it may jump.
inline std::int64_t unixMillisecondsNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Converts a span to whole milliseconds.
/// @param span Span to convert.
/// @return Milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Makes a span from milliseconds.
/// @param milliseconds Length of the span.
/// @return The span.
constexpr Duration fromMilliseconds(std::int64_t milliseconds)
{
    return std::chrono::milliseconds(milliseconds);
}

} // namespace banyanlock
