#pragma once

#include "core/Time.h"

#include <deque>
#include <optional>

namespace banyanlock
{

/// Notices that runs are preempted soon after they were started: room is filled with work that urgent units stop at once.
///
/// It is the evidence on which the pool begins to hold room for urgent units.
class PreemptionChurn
{
public:
    static constexpr Duration earlyLimit = fromMilliseconds(1000); ///< Starting and stopping a run takes up to half of it.

    /// Adds a preemption.
    /// @param ranFor Time for which the run had been started.
    /// @param now Current time.
    void add(Duration ranFor, TimePoint now);

    /// @param now Current time.
    /// @return Whether several runs were preempted early and one of them recently.
    bool isActive(TimePoint now) const;

private:
    static constexpr std::size_t minEarly = 3; ///< A single early preemption may be due to a burst.
    static constexpr Duration window = fromMilliseconds(30000); ///< Span in which that many early preemptions count as recurrent.
    static constexpr Duration holdTime = fromMilliseconds(60000); ///< Held room prevents the evidence, so the verdict outlasts it.

    std::deque<TimePoint> m_early; // of the newest early preemptions
    std::optional<TimePoint> m_activeUntil;
};

} // namespace banyanlock
