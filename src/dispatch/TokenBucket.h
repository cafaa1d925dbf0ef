#pragma once

#include "core/Time.h"

#include <algorithm>

namespace banyanlock
{

/// Limits a rate, with bursts of up to one second's worth.
class TokenBucket
{
public:
    /// Sets the rate; a full bucket stays full.
    /// @param perSecond Tokens earned a second.
    void setRate(double perSecond)
    {
        if (perSecond == m_perSecond) {
            return;
        }
        m_perSecond = perSecond;
        m_tokens = m_initialised ? std::min(m_tokens, burst()) : burst();
        m_initialised = true;
    }

    /// Takes one token.
    /// @param now Current time.
    /// @return Whether there was one.
    bool take(TimePoint now)
    {
        const double elapsedSeconds = static_cast<double>((now - m_refilledAt).count()) / 1e6;
        m_tokens = std::min(burst(), m_tokens + elapsedSeconds * m_perSecond);
        m_refilledAt = now;
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double burst() const
    {
        return std::max(1.0, m_perSecond);
    }

    double m_perSecond = 0;
    double m_tokens = 0;
    bool m_initialised = false;
    TimePoint m_refilledAt{};
};

} // namespace banyanlock
