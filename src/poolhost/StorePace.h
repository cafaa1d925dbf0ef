#pragma once

#include "core/Time.h"

namespace banyanlock
{

/// Estimates the current transaction latency of the table service and derives the hedge delay and the renewal interval from it.
///
/// A slow table service executes transactions one after another. Copies and renewals at the usual rate would then make up most of its
/// load, and it would reject transactions.
class StorePace
{
public:
    /// Records the latency of an answered transaction.
    /// @param latency Time from the request to the answer.
    void record(Duration latency);

    /// @return Time without an answer after which a further copy of a transaction is sent.
    Duration hedgeDelay() const;

    /// @return Time between two renewals of the owner's row.
    Duration renewalInterval() const;

    /// @return Time between two renewals while the table service is not slow.
    static constexpr Duration usualRenewalInterval()
    {
        return minRenewalInterval;
    }

private:
    static constexpr Duration minHedgeDelay = fromMilliseconds(300); // an answer usually takes 10 to 50 ms
    static constexpr Duration minRenewalInterval = fromMilliseconds(300); // a quarter of the takeover timeout
    static constexpr Duration maxRenewalInterval = fromMilliseconds(1200); // a fifth of a lease, which must outlast a takeover
    static constexpr double smoothingFactor = 0.3; // weight of a faster answer; a slower one replaces the estimate

    Duration m_estimate{};
};

} // namespace banyanlock
