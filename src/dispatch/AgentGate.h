#pragma once

#include "core/Counters.h"
#include "core/TimerService.h"
#include "dispatch/AttemptReply.h"
#include "dispatch/Revocation.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <variant>
#include <vector>

namespace banyanlock
{

/// Limits of an agent's admission gate.
struct GateLimits {
    std::uint64_t incarnation = 0; ///< Random number that identifies this process.
    std::uint16_t slots = 8; ///< Requests that the backend server runs concurrently.
    std::uint16_t queueSlots = 2; ///< Attempts queued while all slots are in use, as announced to the entries.
    std::uint16_t overflowSlots = 2; ///< Attempts queued beyond `queueSlots`, sent by entries whose load report is stale.
    Duration attemptRetention = fromMilliseconds(30000); ///< Time after the start deadline for which an attempt id is kept.
};

/// Action: forwards an attempt to the backend server, once.
struct ForwardToBackend {
    AttemptMessage message; ///< The attempt.
};

/// Action: replies to the entry that sent an attempt.
struct SendReply {
    AttemptReply reply; ///< The reply.
};

/// Action of the gate that the host daemon performs.
using GateAction = std::variant<ForwardToBackend, SendReply>;

/// Result of an attempt at the backend server.
struct BackendResult {
    ResultCode code = ResultCode::Ok; ///< `Ok` with an answer, else the reason for having none.
    int status = 0; ///< HTTP status of the answer.
    std::string contentType; ///< Content type of the answer.
    Body body; ///< Complete body of the answer.
};

/// The agent's part of the request path: admission, fencing, forwarding, replies and draining.
///
/// The gate enforces at-most-once execution: an attempt id is forwarded once, only by the process that it was addressed to, only before its
/// start deadline on this process's clock, and never after a revocation.
class AgentGate
{
public:
    /// @param limits Slots of the backend server and limits of the queue.
    /// @param counters Counters of accepted, forwarded and refused attempts.
    AgentGate(GateLimits limits, Counters &counters)
        : m_limits(limits)
        , m_counters(counters)
    {
    }

    /// Handles an attempt from an entry: queues, forwards or refuses it.
    /// @param message The attempt.
    /// @param now Current time on the agent's clock.
    void offer(AttemptMessage message, TimePoint now);

    /// Handles a revocation. A queued or unknown attempt is revoked and never starts.
    /// @param revocation Attempt to revoke.
    /// @param now Current time on the agent's clock.
    /// @return Whether the attempt is guaranteed never to start.
    RevocationState revoke(const Revocation &revocation, TimePoint now);

    /// Handles the end of a forwarded attempt.
    /// @param id The attempt.
    /// @param result Result from the backend server.
    /// @param now Current time on the agent's clock.
    void finish(AttemptId id, const BackendResult &result, TimePoint now);

    /// Refuses queued attempts whose start deadline has passed, and evicts ids whose retention has ended. A late delivery of an evicted id
    /// is still fenced by its start deadline.
    /// @param now Current time on the agent's clock.
    void expire(TimePoint now);

    /// Starts draining: new attempts are refused, accepted ones are completed.
    void drain()
    {
        m_draining = true;
    }

    /// @return Whether the process is draining.
    bool isDraining() const
    {
        return m_draining;
    }

    /// @return Whether a draining process may stop.
    bool mayStop() const;

    /// @param now Current time on the agent's clock.
    /// @return The load to report.
    AgentLoad load(TimePoint now) const;

    /// @return The actions collected since the last call, in order.
    std::vector<GateAction> takeActions();

    /// @return Number of attempt ids that are kept.
    std::size_t trackedAttempts() const
    {
        return m_attempts.size();
    }

private:
    enum class AttemptState : std::uint8_t {
        Queued,
        Running,
        Finished,
        Revoked,
    };

    struct AttemptRecord {
        AttemptState state = AttemptState::Queued;
        TimePoint startBy{};
    };

    struct AttemptIdHash {
        std::size_t operator()(const AttemptId &id) const
        {
            return id.entryIncarnation ^ (id.sequence * 0x9E3779B97F4A7C15ULL);
        }
    };

    void trackAttempt(AttemptId id, TimePoint startBy, AttemptState state);
    void refuseExpired(AttemptId id, TimePoint now);
    void evictOldAttempts(TimePoint now);
    ResultCode admissionCode(const AttemptMessage &message, TimePoint now) const;
    void countRefusal(ResultCode code);
    void reply(AttemptId id, const BackendResult &result, TimePoint now);
    void forward(AttemptMessage message);
    void startQueued(TimePoint now);

    GateLimits m_limits;
    Counters &m_counters;
    std::unordered_map<AttemptId, AttemptRecord, AttemptIdHash> m_attempts;
    std::deque<AttemptId> m_attemptsByAge; // ids of m_attempts, in order of insertion
    std::deque<AttemptMessage> m_queue;
    std::vector<GateAction> m_actions;
    std::uint16_t m_running = 0;
    bool m_draining = false;
};

} // namespace banyanlock
