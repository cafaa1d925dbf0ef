#pragma once

#include <algorithm>

namespace banyanlock
{

/// Limits retries to a share of first attempts, so that retries never multiply the load of an outage.
class RetryBudget
{
public:
    /// @param share Retries earned by each first attempt.
    /// @param reserve Retries that may be saved up; the budget starts with them.
    RetryBudget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_balance(reserve)
    {
    }

    /// Earns a share of a retry.
    void onFirstAttempt()
    {
        m_balance = std::min(m_reserve, m_balance + m_share);
    }

    /// Spends one retry.
    /// @return Whether the budget allowed it.
    bool takeRetry()
    {
        if (m_balance < 1.0) {
            return false;
        }
        m_balance -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_balance;
};

} // namespace banyanlock
