#pragma once

#include "dispatch/Announcement.h"

#include <cstdint>

namespace banyanlock
{

/// An agent as an entry knows it.
struct Member {
    Announcement announced; ///< Its last announcement, with the latest load report.
    TimePoint lastAnnouncedAt{}; ///< When the last announcement came, on the entry's clock.
    TimePoint reportReceivedAt{}; ///< When the load's clock reading came, on the entry's clock.
    std::uint32_t sentSinceReport = 0; ///< Attempts sent since the last load report.
    std::uint32_t outstanding = 0; ///< Open attempts of this entry at the agent.
    double serviceMicroseconds = 0; ///< Moving average of the time from send to answer; zero when unknown.
    double deviationMicroseconds = 0; ///< Moving average of the distance from that average.
    double failureRate = 0; ///< Moving average of failed attempts, 0 to 1.
    std::uint32_t sampleCount = 0; ///< Attempts that the averages have seen.
    std::uint32_t consecutiveEjections = 0; ///< Ejections in a row.
    TimePoint ejectedUntil{}; ///< No attempts before this time, but one to probe afterwards.
    bool probing = false; ///< The ejection has ended, but no success was seen yet.
    bool suspect = false; ///< A connection failed since the last announcement.

    /// @return Time within which nearly all answers come, in microseconds; zero when unknown.
    double upperServiceMicroseconds() const
    {
        constexpr double deviations = 2;
        return serviceMicroseconds + deviations * deviationMicroseconds;
    }

    /// @return Attempts at the agent: reported, plus those sent since.
    std::uint32_t load() const
    {
        return announced.load.inUse + announced.load.queued + sentSinceReport;
    }

    /// Estimates the agent's clock; the estimate is never ahead of the true reading.
    /// @param now Current time on the entry's clock.
    /// @return Time on the agent's clock.
    TimePoint agentClockAt(TimePoint now) const
    {
        return announced.load.clock + (now - reportReceivedAt);
    }
};

} // namespace banyanlock
