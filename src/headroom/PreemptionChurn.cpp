#include "headroom/PreemptionChurn.h"

namespace banyanlock
{

void PreemptionChurn::add(Duration ranFor, TimePoint now)
{
    if (ranFor > earlyLimit) {
        return;
    }
    m_early.push_back(now);
    if (m_early.size() > minEarly) {
        m_early.pop_front();
    }
    if (isActive(now) || (m_early.size() == minEarly && now - m_early.front() <= window)) {
        m_activeUntil = now + holdTime;
    }
}

bool PreemptionChurn::isActive(TimePoint now) const
{
    return m_activeUntil && now < *m_activeUntil;
}

} // namespace banyanlock
