#pragma once

#include "core/Time.h"
#include "graph/GraphRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace banyanlock
{

/// Delays the next run of a unit that was preempted, so that it does not start again where the next urgent unit needs room.
class RestartBackOff
{
public:
    /// Adds a preemption of a unit; its next run is delayed twice as long as after the previous one.
    /// @param job Id of the job.
    /// @param key Key of the unit.
    /// @param now Current time.
    void add(const std::string &job, const UnitKey &key, TimePoint now);

    /// @param job Id of the job.
    /// @param key Key of the unit.
    /// @param now Current time.
    /// @return When the unit may start again, if that is later than now.
    std::optional<TimePoint> delayedUntil(const std::string &job, const UnitKey &key, TimePoint now) const;

    /// Forgets the units of a job that has ended.
    /// @param job Id of the job.
    void forgetJob(const std::string &job);

    /// Forgets all units.
    void clear()
    {
        m_units.clear();
    }

private:
    static constexpr Duration firstDelay = fromMilliseconds(500); ///< Time in which the urgent unit takes the room that was made.
    static constexpr std::uint32_t maxDoublings = 3; ///< Limits the delay to 4 s, a tenth of what a job of low priority can usually wait.

    struct Entry {
        std::uint32_t preemptions = 0;
        TimePoint until{};
    };

    std::map<std::pair<std::string, UnitKey>, Entry> m_units;
};

} // namespace banyanlock
