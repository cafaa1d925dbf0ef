#pragma once

#include "core/Time.h"

namespace banyanlock
{

/// How long the table service takes for a transaction now, as this process sees it, and the times that follow from it.
///
/// Load that it answers: a service that has turned slow works transactions off one after another. Copies and renewals at the usual pace
/// would then be most of its load, and it would turn transactions away.
class StorePace
{
public:
    /// Takes in that a transaction was answered.
    /// @param latency Time that it took.
    void record(Duration latency);

    /// @return Time without an answer after which a transaction is sent once more.
    Duration hedgeDelay() const;

    /// @return Time between two renewals of the owner's row.
    Duration renewalInterval() const;

    /// @return Usual time between two renewals.
    static constexpr Duration usualRenewalInterval()
    {
        return minRenewalInterval;
    }

private:
    static constexpr Duration minHedgeDelay = fromMilliseconds(300); // an answer usually takes 10 to 50 ms
    static constexpr Duration minRenewalInterval = fromMilliseconds(300); // a quarter of the silence after which another entry takes over
    static constexpr Duration maxRenewalInterval = fromMilliseconds(1200); // a fifth of the leases, which must live through a takeover
    static constexpr double smoothingFactor = 0.3; // weight of a quick answer after slow ones; slow ones count at once

    Duration m_estimate{};
};

} // namespace banyanlock
