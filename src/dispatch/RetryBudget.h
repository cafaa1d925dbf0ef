#pragma once

#include <algorithm>

namespace banyanlock
{

/// Limits retries to a share of first attempts, so that retries don't multiply the load during an outage.
class RetryBudget
{
public:
    /// @param share Retries added to the budget by each first attempt.
    /// @param reserve Upper bound of the budget, which is also its initial value.
    RetryBudget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_balance(reserve)
    {
    }

    /// Adds the share of a first attempt to the budget.
    void onFirstAttempt()
    {
        m_balance = std::min(m_reserve, m_balance + m_share);
    }

    /// Takes one retry from the budget.
    /// @return Whether the budget allows the retry.
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
