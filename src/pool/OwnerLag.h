#pragma once

#include "core/Time.h"
#include "graph/GraphSpec.h"

#include <optional>

namespace banyanlock
{

/// How far the owner of a pool is behind: the longest time that an answer of an agent has recently waited until it was handled.
class OwnerLag
{
public:
    /// Adds a sample.
    /// @param delay Time that an answer has waited.
    /// @param now Current time.
    void record(Duration delay, TimePoint now);

    /// @param now Current time.
    /// @return The longest delay of the last one to two seconds.
    Duration value(TimePoint now);

private:
    void advance(TimePoint now);

    Duration m_longest{}; // of the current window
    Duration m_previous{}; // of the window before
    TimePoint m_windowBegin{};
};

/// Decides on submissions while the owner is behind. A job waits for as long as the owner is behind before it is placed, so a job whose
/// callers can't use a result that comes that late is refused; jobs with more time are accepted.
/// @param spec Specification of the submitted job.
/// @param terms Terms of its queue.
/// @param lag How far the owner is behind.
/// @return Time after which the caller should retry if the job must be refused, else nothing.
std::optional<Duration> refuseForLag(const GraphSpec &spec, const QueueTerms &terms, Duration lag);

} // namespace banyanlock
