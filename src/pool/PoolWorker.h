#pragma once

#include "pool/WorkerStatus.h"
#include "workerrecords/WorkerRecords.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanlock
{

struct ActiveMember;
struct ActiveUnit;

/// A member of a unit on a worker. Both stay where they are until the unit is closed.
struct PlacedMember {
    ActiveUnit *unit = nullptr; ///< The unit.
    ActiveMember *member = nullptr; ///< Its member.
};

/// The pool owner's view of an agent and its worker.
struct PoolWorker {
    std::string agent; ///< RPC address of the agent.
    WorkerStatus status; ///< Latest status.
    bool known = false; ///< A status has been received since this entry acquired ownership.
    TimePoint statusRequestedAt{}; ///< When the call that returned the latest status was sent.
    TimePoint statusReceivedAt{}; ///< When the latest status was received.
    TimePoint lastRenewalSent{}; ///< Latest time at which this owner or an earlier one can have sent a renewal.
    bool pollInFlight = false; ///< A long-polling call is in flight.
    std::uint64_t pollCall = 0; ///< Number of the long-polling call.
    bool callUnanswered = false; ///< The call that ended last got no answer.
    TimePoint nextPoll{}; ///< When to poll next; later than now only after a failure.
    std::uint64_t batch = 0; ///< Number of the latest batch of orders.
    std::vector<TaskOrder> orders; ///< Orders that are not sent yet.
    std::uint64_t processedEnd = 0; ///< Ends up to and including this number are applied to the jobs.
    std::uint64_t recordedEnd = 0; ///< Ends up to and including this number are recorded in the table service.
    std::uint64_t workerFence = 0; ///< Latest fencing token that an agent process has used for `fencedIncarnation`.
    WorkerIncarnation fencedIncarnation; ///< Incarnation of the worker that `workerFence` was used for.
    PooledRecord *record = nullptr; ///< Evidence about the worker; it is kept as long as the agent is known.
    WorkerIncarnation recordedIncarnation; ///< Incarnation of the worker that the evidence is about; empty before the first.
    std::map<RunName, TimePoint> unknownRunStops; ///< Runs on it that nobody expects, with the time of the latest stop that was ordered.
    std::vector<PlacedMember> members; ///< Members of active units that are placed on the worker.
    std::uint32_t index = 0; ///< Index of the worker in plans.
    bool resourcesChanged = true; ///< Its resources must be added up again before the next plan.
    bool runsUnknownTask = false; ///< It reports a run whose resource demand is unknown; as of the last time its resources were added up.

    /// @param now Current time.
    /// @return Lower bound of the agent's clock.
    TimePoint agentClock(TimePoint now) const
    {
        return status.clock + (now - statusReceivedAt);
    }
};

} // namespace banyanlock
