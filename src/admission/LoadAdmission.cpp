#include "admission/LoadAdmission.h"

#include "core/InputLimits.h"

#include <algorithm>
#include <xxhash.h>

namespace banyanlock
{
namespace
{

constexpr Duration maxAge = fromMilliseconds(2000); // the owner renews its row each 0.3 s; see docs/HARD-LOAD.md
constexpr Duration settleTime = fromMilliseconds(5000); // workers' reports and the rate of starts of a new owner are incomplete before
constexpr Duration usualWait = fromMilliseconds(1000); // below it nothing is refused, as with the owner's lag
constexpr std::int64_t uselessFactor = 3; // of its objective: results that come later are of no use to callers

constexpr Duration minRetry = fromMilliseconds(1000);
constexpr Duration maxRetry = fromMilliseconds(10000); // the owner may be replaced by then, as with the owner's lag
constexpr Duration returnWindow = fromMilliseconds(5000); // over which callers that are refused at once return
constexpr Duration memory = fromMilliseconds(60000);
constexpr std::size_t maxJobs = 4096;

/// Seconds until the work of the higher priorities has started, for one resource; zero unless the submission's priority is held up.
double secondsAhead(const BacklogFigure &figure, std::uint32_t priority, std::int64_t BacklogWork::*resource)
{
    const PriorityBacklog &own = figure.priorities[priority];
    if (own.waiting.*resource == 0 || own.drained.*resource != 0) {
        return 0.0;
    }
    double ahead = 0.0;
    double drained = 0.0;
    for (std::size_t other = 0; other < figure.priorities.size(); ++other) {
        drained += static_cast<double>(figure.priorities[other].drained.*resource);
        ahead += other < priority ? static_cast<double>(figure.priorities[other].waiting.*resource) : 0.0;
    }
    const double rate = std::max(drained, static_cast<double>(figure.capacity.*resource));
    return rate > 0.0 ? ahead / rate : 0.0; // a pool without capacity proves nothing: its workers may come back
}

} // namespace

Duration certainWait(const LoadSubmission &submission, const std::optional<KnownBacklog> &known)
{
    if (!known || known->age < Duration::zero() || known->age > maxAge || known->figure.epoch != known->ownerEpoch
        || known->figure.ownedMilliseconds < toMilliseconds(settleTime) || submission.priority >= known->figure.priorities.size()) {
        return Duration::zero();
    }
    double seconds = 0.0;
    if (submission.demand.processors > 0) {
        seconds = std::max(seconds, secondsAhead(known->figure, submission.priority, &BacklogWork::processors));
    }
    if (submission.demand.accelerators > 0) {
        seconds = std::max(seconds, secondsAhead(known->figure, submission.priority, &BacklogWork::accelerators));
    }
    const double longest = std::chrono::duration<double>(InputLimits::span).count();
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, longest)));
    return std::max(wait - known->age, Duration::zero()); // the pool may have drained at the highest rate since
}

std::optional<Duration> refuseForLoad(const LoadSubmission &submission, const std::optional<KnownBacklog> &known)
{
    if (submission.repeated || (submission.priority == 0 && submission.guaranteed)) {
        return std::nullopt;
    }
    const Duration wait = certainWait(submission, known);
    const Duration needed = std::clamp(submission.needed, Duration::zero(), InputLimits::span);
    const Duration useful = uselessFactor * std::clamp(submission.objective, Duration::zero(), InputLimits::span);
    // A job that is useless even without a wait is not refused: its size or its terms are the cause, not the load.
    if (wait <= usualWait || needed > useful || wait + needed <= useful) {
        return std::nullopt;
    }
    return wait + needed - useful;
}

Duration RetrySchedule::retryAfter(std::string_view job, Duration excess, TimePoint now)
{
    forget(now);
    auto first = m_firstRefusals.find(job);
    if (first == m_firstRefusals.end()) {
        first = m_firstRefusals.emplace(job, now).first;
        m_order.emplace_back(now, job);
    }
    const double window = static_cast<double>(returnWindow.count());
    const double tried = static_cast<double>(std::max(now - first->second, Duration::zero()).count());
    // New callers return in the second half of the window, those that have tried for the length of the window or longer in the first half.
    constexpr std::uint64_t steps = 1U << 20U;
    const double position = 0.5 + 0.5 * static_cast<double>(XXH3_64bits(job.data(), job.size()) % steps) / static_cast<double>(steps);
    const auto offset = static_cast<std::int64_t>(window * window / (window + tried) * position);
    return std::clamp(excess, minRetry, maxRetry - returnWindow) + Duration(offset);
}

std::size_t RetrySchedule::size() const
{
    return m_firstRefusals.size();
}

void RetrySchedule::forget(TimePoint now)
{
    while (!m_order.empty() && (m_order.size() >= maxJobs || now - m_order.front().first > memory)) {
        m_firstRefusals.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace banyanlock
