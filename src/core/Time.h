#pragma once

/// @file
/// Time types shared by all libraries.

#include <chrono>
#include <cstdint>
#include <ctime>

namespace banyanlock
{

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Reads a clock of the system.
/// @param clock Clock as `clock_gettime` names it.
/// @return Its time since its origin.
inline Duration readSystemClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

/// Monotonic clock of the process. Decision code never reads it; the host daemons pass `now` in.
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

    /// Reads the system's boot clock, which keeps running while the process is stopped and while the instance is suspended.
    /// @return The current point in time.
    static time_point now()
    {
        return time_point(readSystemClock(CLOCK_BOOTTIME));
    }
};

/// @return Time for which the instance has been running, without suspensions: the difference to `MonotonicClock` grows with each
/// suspension.
inline Duration runningTime()
{
    return readSystemClock(CLOCK_MONOTONIC);
}

/// Point in time of the monotonic clock.
using TimePoint = MonotonicClock::time_point;

/// @return Wall-clock time of this instance, in milliseconds since 1970; it may jump.
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
