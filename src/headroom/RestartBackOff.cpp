#include "headroom/RestartBackOff.h"

#include <algorithm>

namespace banyanlock
{

void RestartBackOff::add(const std::string &job, const UnitKey &key, TimePoint now)
{
    Entry &entry = m_units[{job, key}];
    entry.until = now + firstDelay * (std::int64_t{1} << std::min(entry.preemptions, maxDoublings));
    ++entry.preemptions;
}

std::optional<TimePoint> RestartBackOff::delayedUntil(const std::string &job, const UnitKey &key, TimePoint now) const
{
    const auto found = m_units.find({job, key});
    return found != m_units.end() && now < found->second.until ? std::optional(found->second.until) : std::nullopt;
}

void RestartBackOff::forgetJob(const std::string &job)
{
    const auto first = m_units.lower_bound({job, UnitKey()});
    auto last = first;
    while (last != m_units.end() && last->first.first == job) {
        ++last;
    }
    m_units.erase(first, last);
}

} // namespace banyanlock
