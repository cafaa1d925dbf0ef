#pragma once

#include "admission/BacklogFigure.h"
#include "core/Time.h"
#include "graph/Resources.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace banyanlock
{

/// What the decision on a submission depends on.
struct LoadSubmission {
    std::uint32_t priority = 0; ///< Priority of its queue; 0 is the highest.
    bool guaranteed = false; ///< Whether the job is within the guarantee of its workspace.
    bool repeated = false; ///< The job runs at due times, from which its latency counts.
    Duration objective{}; ///< Latency objective of the job.
    Duration needed{}; ///< Forecast length of its critical path.
    Resources demand; ///< Largest demand of a task of its first steps.
};

/// A figure as an entry knows it.
struct KnownBacklog {
    BacklogFigure figure; ///< The figure.
    Duration age{}; ///< Time since the entry first saw it, by the entry's monotonic clock.
    std::uint64_t ownerEpoch = 0; ///< Epoch of the present owner.
};

/// Shortest time in which a submission could start if it were the next of its priority: the time until the work of the higher priorities
/// has started, at the higher of the pool's capacity and what has started lately.
/// @param submission The submission.
/// @param known The published figure, or nothing if there is none.
/// @return The time. Zero if the figure proves no wait: it is missing, older than 2 s, from another owner or from one that took over less
/// than 5 s ago, or work of the submission's priority has started lately or does not wait.
Duration certainWait(const LoadSubmission &submission, const std::optional<KnownBacklog> &known);

/// @param submission The submission.
/// @param known The published figure, or nothing if there is none.
/// @return Nothing to accept the submission. To refuse it, the time after which it can be accepted at the earliest.
std::optional<Duration> refuseForLoad(const LoadSubmission &submission, const std::optional<KnownBacklog> &known);

/// Chooses when refused callers return, and remembers since when each has tried. Those that have tried for longer return earlier.
/// It remembers up to 4096 jobs for up to 60 s; a job that was forgotten counts as new.
class RetrySchedule
{
public:
    /// Notes a refusal.
    /// @param job Id of the job, the same in each try.
    /// @param excess Result of `refuseForLoad`.
    /// @param now Current time.
    /// @return Time after which the caller should retry, 1 to 10 s.
    Duration retryAfter(std::string_view job, Duration excess, TimePoint now);

    /// @return Number of jobs that are remembered.
    std::size_t size() const;

private:
    void forget(TimePoint now);

    std::map<std::string, TimePoint, std::less<>> m_firstRefusals;
    std::deque<std::pair<TimePoint, std::string>> m_order; // by first refusal
};

} // namespace banyanlock
