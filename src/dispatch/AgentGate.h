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

/// Limits of an agent.
struct GateLimits {
    std::uint64_t incarnation = 0; ///< Random number of this process.
    std::uint16_t slots = 8; ///< Requests that the backend server runs at once.
    std::uint16_t queueSlots = 2; ///< Further attempts held waiting, as announced.
    std::uint16_t overflowSlots = 2; ///< Attempts held beyond those, from entries whose news of the agent is old.
    Duration attemptRetention = fromMilliseconds(30000); ///< Time after the start-by limit for which an attempt id is remembered.
};

/// Forwards an attempt to the backend server, once.
struct ForwardToBackend {
    AttemptMessage message; ///< The attempt.
};

/// Replies to the entry that sent an attempt.
struct SendReply {
    AttemptReply reply; ///< The reply.
};

/// What the gate asks its shell to do.
using GateAction = std::variant<ForwardToBackend, SendReply>;

/// How the backend server's part of an attempt ended.
struct BackendResult {
    ResultCode code = ResultCode::Ok; ///< `Ok` with an answer, or why there is none.
    int status = 0; ///< HTTP status of the answer.
    std::string contentType; ///< Content type of the answer.
    Body body; ///< Whole body of the answer.
};

/// The agent's part of the request path: admit, fence, forward once, answer, drain.
///
/// The gate is where at-most-once is enforced: an attempt id is forwarded once, only by the process it was addressed to, only before its
/// start-by limit on this process's clock, and never after a revocation.
class AgentGate
{
public:
    /// @param limits Slots of the backend server.
    /// @param counters Where refusals are counted.
    AgentGate(GateLimits limits, Counters &counters)
        : m_limits(limits)
        , m_counters(counters)
    {
    }

    /// Takes in an attempt.
    /// @param message The attempt.
    /// @param now Current time on the agent's clock.
    void offer(AttemptMessage message, TimePoint now);

    /// Takes in a revocation.
    /// @param revocation The attempt that is meant.
    /// @param now Current time on the agent's clock.
    /// @return What the agent promises.
    RevocationState revoke(const Revocation &revocation, TimePoint now);

    /// Takes in the end of a forwarded attempt.
    /// @param id The attempt.
    /// @param result What the backend server answered.
    /// @param now Current time on the agent's clock.
    void finish(AttemptId id, const BackendResult &result, TimePoint now);

    /// Refuses queued attempts whose start-by limit has passed, and forgets ids that the limit fences by now.
    /// @param now Current time on the agent's clock.
    void expire(TimePoint now);

    /// Refuses new attempts from now on; accepted ones go on.
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

    /// @return Attempt ids that are remembered.
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
    std::deque<AttemptId> m_attemptsByAge; // ids of m_attempts, oldest first
    std::deque<AttemptMessage> m_queue;
    std::vector<GateAction> m_actions;
    std::uint16_t m_running = 0;
    bool m_draining = false;
};

} // namespace banyanlock
