#pragma once

#include "pool/WorkerStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// An agent and its worker as the owner of the pool knows them.
struct PoolWorker {
    std::string agent; ///< RPC address of the agent.
    WorkerStatus status; ///< Newest status.
    bool known = false; ///< A status has come under this ownership.
    TimePoint statusRequestedAt{}; ///< When the call was sent that the newest status answers.
    TimePoint statusReceivedAt{}; ///< When the newest status came.
    TimePoint lastRenewalSent{}; ///< Latest moment at which a renewal can have been sent that the agent has not answered.
    TimePoint lastAgentRenewal{}; ///< Latest moment at which the agent can have renewed the worker's lease, as far as its answers tell.
    bool pollInFlight = false; ///< A waiting call is under way.
    std::uint64_t pollCall = 0; ///< Its number.
    TimePoint nextPoll{}; ///< When to call again after a failure.
    std::uint64_t batch = 0; ///< Number of the newest batch of orders.
    std::vector<TaskOrder> orders; ///< Orders that were not sent.
    std::uint64_t processedEnd = 0; ///< Ends up to this number are taken into the jobs.
    std::uint64_t recordedEnd = 0; ///< Ends up to this number are recorded in the table service.
    std::uint32_t consecutiveFailures = 0; ///< Failed tasks since the last good one.
    TimePoint suspectedUntil{}; ///< Others are preferred before this time.
    TimePoint quarantinedUntil{}; ///< Nothing is placed before this time.

    /// @param now Current time.
    /// @return The agent's clock, at the least.
    TimePoint agentClock(TimePoint now) const
    {
        return status.clock + (now - statusReceivedAt);
    }
};

} // namespace banyanlock
