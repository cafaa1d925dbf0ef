#pragma once

#include "core/Time.h"

#include <algorithm>

namespace banyanlock
{

/// Token bucket that limits a rate and allows bursts of up to one second's tokens, but at least one token.
class TokenBucket
{
public:
    /// Sets the rate. The first rate fills the bucket; a later one only caps the tokens at the new burst size.
    /// @param perSecond Tokens added a second.
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
    /// @return Whether a token was available.
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
