#pragma once

#include "dispatch/Announcement.h"

#include <cstdint>

namespace banyanlock
{

/// An entry's record of an agent.
struct Member {
    Announcement announced; ///< Last announcement, with the latest load report.
    TimePoint lastAnnouncedAt{}; ///< Arrival of the last announcement, on the entry's clock.
    TimePoint reportReceivedAt{}; ///< Arrival of the latest load report, on the entry's clock.
    std::uint32_t sentSinceReport = 0; ///< Attempts sent since the last load report.
    std::uint32_t outstanding = 0; ///< Attempts of this entry in flight at the agent.
    double serviceMicroseconds = 0; ///< Moving average of the time from send to answer; 0 while unknown.
    double deviationMicroseconds = 0; ///< Moving average of the absolute deviation from `serviceMicroseconds`.
    double failureRate = 0; ///< Moving average of the share of failed attempts, 0 to 1.
    std::uint32_t sampleCount = 0; ///< Attempts that the averages include.
    std::uint32_t consecutiveEjections = 0; ///< Ejections without a successful attempt in between.
    TimePoint ejectedUntil{}; ///< End of the ejection. No attempts are sent before, and one probe at a time afterwards.
    bool probing = false; ///< No attempt has succeeded since the last ejection.
    bool suspect = false; ///< A connection failed since the last announcement.

    /// @return Upper estimate of the service time (average plus two deviations), in microseconds; 0 while unknown.
    double upperServiceMicroseconds() const
    {
        constexpr double deviations = 2;
        return serviceMicroseconds + deviations * deviationMicroseconds;
    }

    /// @return Attempts at the agent: those in the last report and those sent since.
    std::uint32_t load() const
    {
        return announced.load.inUse + announced.load.queued + sentSinceReport;
    }

    /// Estimates the agent's clock. The estimate is never ahead of the agent's clock, since the report spent time in transit.
    /// @param now Current time on the entry's clock.
    /// @return Time on the agent's clock.
    TimePoint agentClockAt(TimePoint now) const
    {
        return announced.load.clock + (now - reportReceivedAt);
    }
};

} // namespace banyanlock
