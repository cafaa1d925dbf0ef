#pragma once

#include "core/Counters.h"
#include "core/TimerService.h"
#include "dispatch/AdmissionControl.h"
#include "dispatch/AttemptReply.h"
#include "dispatch/FairQueue.h"
#include "dispatch/MemberTable.h"
#include "dispatch/PipelineAction.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/RoutingPolicy.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanlock
{

/// Fixed properties and limits of an entry's request pipeline.
struct PipelineLimits {
    std::string failureDomain; ///< The entry's failure domain.
    std::string region; ///< The entry's region.
    std::uint64_t entryIncarnation = 0; ///< Random number that identifies this process.
    std::size_t queueLimit = 512; ///< Maximum number of requests queued for one service.
    std::uint32_t attemptLimit = 8; ///< Maximum number of attempts at one request.
    Duration revocationTimeout = fromMilliseconds(100); ///< Time to wait for the result of a revocation.
    double retryShare = 0.1; ///< Retries added to the retry budget by each first attempt.
    double retryReserve = 20; ///< Upper bound of the retry budget.
    bool unlimitedRetries = false; ///< Baseline for measurements: no retry budget.
    bool orderByArrival = false; ///< Baseline for measurements: one queue for all workspaces.
};

/// Failure of an attempt at the transport.
enum class TransportFailure : std::uint8_t {
    NotSent, ///< No connection was made: the agent did not receive the attempt.
    Lost, ///< The connection failed: the agent may have received the attempt.
};

/// The entry's request path: admission, queueing, routing, attempts, retries, revocations and answers.
///
/// Handles timed events and collects actions for the host daemon. Each request is answered exactly once. The outcome is `not_run` only if
/// the request is proved not to have run, and a non-idempotent request is retried only after such a proof.
class RequestPipeline
{
public:
    /// @param limits Fixed properties and limits.
    /// @param policy Routing policy.
    /// @param timers Timer service for deadlines.
    /// @param counters Counters of requests, attempts, refusals and retries.
    RequestPipeline(PipelineLimits limits, AnyRoutingPolicy policy, TimerService &timers, Counters &counters);

    /// Applies the contracts' limits and the failure domains that are out.
    /// @param limits Limits of all workspaces.
    /// @param outDomains Failure domains that are out.
    /// @param now Current time.
    void configure(const std::vector<WorkspaceLimits> &limits, std::vector<std::string> outDomains, TimePoint now);

    /// Applies an agent's announcement.
    /// @param announcement The agent's announcement.
    /// @param now Current time.
    void onAnnouncement(const Announcement &announcement, TimePoint now);

    /// Handles the end of a connection to an agent. Since the agent's process may have ended, the agent gets no attempts until its next
    /// announcement.
    /// @param address RPC address of the agent.
    void onDisconnected(std::string_view address)
    {
        m_members.markSuspect(address);
    }

    /// Handles a caller's request. An `AnswerCaller` action follows, immediately or later.
    /// @param request The request.
    /// @param now Current time.
    /// @return Handle that identifies the request in the actions.
    RequestHandle start(CallerRequest request, TimePoint now);

    /// Handles the result of a `ClaimKey` action.
    /// @param request The request.
    /// @param claim Claim of the action.
    /// @param result Result from the table service.
    /// @param now Current time.
    void onClaimResult(RequestHandle request, const KeyClaim &claim, const ClaimResult &result, TimePoint now);

    /// Handles an agent's reply.
    /// @param reply The reply.
    /// @param now Current time.
    void onReply(const AttemptReply &reply, TimePoint now);

    /// Handles the transport failure of an attempt.
    /// @param attempt The attempt.
    /// @param failure Whether the agent may have received the attempt.
    /// @param now Current time.
    void onAttemptFailed(AttemptId attempt, TransportFailure failure, TimePoint now);

    /// Handles an agent's answer to a revocation. A failed call is reported as `Started`.
    /// @param attempt The attempt.
    /// @param state Answer of the agent.
    /// @param now Current time.
    void onRevocation(AttemptId attempt, RevocationState state, TimePoint now);

    /// Starts draining: new requests are refused, those in progress are completed.
    void drain()
    {
        m_draining = true;
    }

    /// @return Number of requests not yet answered.
    std::size_t inFlight() const
    {
        return m_liveRequests;
    }

    /// @return Whether a draining process may stop.
    bool mayStop() const;

    /// @return The actions collected since the last call, in order.
    std::vector<PipelineAction> takeActions();

    /// @return The known agents.
    const MemberTable &members() const
    {
        return m_members;
    }

    /// Handles stale agents: idempotent requests in flight at an agent without a recent announcement are retried elsewhere, and agents are
    /// removed after the member retention. To be called several times a second.
    /// @param now Current time.
    void expireMembers(TimePoint now);

private:
    enum class Phase : std::uint8_t {
        Claiming,
        Queued,
        Attempting,
        Revoking,
    };

    struct PendingRequest {
        CallerRequest request;
        TimePoint deadline{};
        Phase phase = Phase::Queued;
        TimerId timer;
        std::uint32_t generation = 1;
        bool live = false;
        bool claimed = false;
        bool mayHaveRun = false;
        std::uint32_t attempts = 0;
        ResultCode lastFailure = ResultCode::Ok;
        std::vector<std::uint64_t> excluded;
        AttemptId attempt;
        bool attemptOpen = false;
        bool attemptCrossesRegion = false;
        std::string agent;
        std::string agentAddress;
        std::uint64_t agentIncarnation = 0;
        TimePoint startBy{};
        TimePoint sentAt{};
    };

    /// Service times of a service's eligible members, averaged with their slots as weights.
    struct ServiceTimes {
        double averageMicroseconds = 0;
        double upperMicroseconds = 0;
        std::uint32_t slots = 0;
    };

    struct ServiceQueue {
        std::string service;
        FairQueue queue;
    };

    // RequestPipeline.cpp: requests and answers
    PendingRequest *find(RequestHandle handle);
    PendingRequest *findAttempt(AttemptId attempt);
    RequestHandle allocate();
    RequestHandle handleOf(const PendingRequest &pending) const;
    ResultCode admissionCode(const CallerRequest &request, TimePoint now);
    void startDeadlineTimer(RequestHandle handle, PendingRequest &pending);
    void refuse(RequestHandle handle, ResultCode code);
    void finish(RequestHandle handle, PendingRequest &pending, CallerAnswer answer);
    void finishNotRun(RequestHandle handle, PendingRequest &pending, ResultCode code);
    void finishUnknown(RequestHandle handle, PendingRequest &pending, ResultCode code);
    KeyClaim claimOf(RequestHandle handle, const PendingRequest &pending) const;

    // PipelineQueue.cpp: queueing and routing
    ServiceQueue &queueOf(std::string_view service);
    std::string_view queueNameOf(const PendingRequest &pending) const;
    void enqueue(RequestHandle handle, TimePoint now);
    bool evictFromLongestQueue(ServiceQueue &serviceQueue, const PendingRequest &pending);
    bool canMeetDeadline(const PendingRequest &pending, ServiceQueue &serviceQueue, TimePoint now) const;
    RoutingContext contextOf(const PendingRequest &pending, TimePoint now) const;
    static ServiceTimes serviceTimes(const RoutingContext &context);
    void dispatchQueue(ServiceQueue &serviceQueue, TimePoint now);
    void dispatchAllQueues(TimePoint now);
    bool dispatchNext(ServiceQueue &serviceQueue, TimePoint now);

    // PipelineAttempts.cpp: attempts, revocations and retries
    void sendAttempt(RequestHandle handle, PendingRequest &pending, Member &member, TimePoint now);
    void closeAttempt(PendingRequest &pending);
    void acceptAnswer(RequestHandle handle, PendingRequest &pending, const AttemptReply &reply, TimePoint now);
    void handleNotRun(RequestHandle handle, PendingRequest &pending, ResultCode code, TimePoint now);
    void handleUnknown(RequestHandle handle, PendingRequest &pending, ResultCode code, TimePoint now);
    bool mayRetry(PendingRequest &pending, ResultCode code, TimePoint now);
    void requeue(RequestHandle handle, PendingRequest &pending, TimePoint now);
    void retryIfAgentStale(PendingRequest &pending, TimePoint now);
    void revoke(RequestHandle handle, PendingRequest &pending, TimePoint now);
    void onDeadline(RequestHandle handle, TimePoint now);
    void onRevokeTimeout(RequestHandle handle, TimePoint now);

    PipelineLimits m_limits;
    AnyRoutingPolicy m_policy;
    TimerService &m_timers;
    Counters &m_counters;
    MemberTable m_members;
    AdmissionControl m_admission;
    RetryBudget m_budget;
    std::vector<std::string> m_outDomains;
    std::vector<PendingRequest> m_pending;
    std::vector<std::uint32_t> m_freeSlots;
    std::unordered_map<std::uint64_t, RequestHandle> m_attempts;
    std::vector<ServiceQueue> m_queues;
    std::vector<PipelineAction> m_actions;
    std::uint64_t m_nextAttempt = 1;
    std::size_t m_liveRequests = 0;
    bool m_configured = false;
    bool m_draining = false;
};

} // namespace banyanlock
