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
    std::uint64_t entryIncarnation = 0; ///< Random number of this process.
    std::size_t queueLimit = 512; ///< Requests waiting for one service.
    std::uint32_t attemptLimit = 8; ///< Attempts at one request.
    Duration revocationTimeout = fromMilliseconds(100); ///< Time that a revocation may take.
    double retryShare = 0.1; ///< Retries earned by each first attempt.
    double retryReserve = 20; ///< Retries that may be saved up.
    bool unlimitedRetries = false; ///< Baseline for measurements: no retry budget.
    bool orderByArrival = false; ///< Baseline for measurements: one queue for all workspaces.
};

/// How an attempt failed at the transport.
enum class TransportFailure : std::uint8_t {
    NotSent, ///< No connection: the agent never saw the attempt.
    Lost, ///< The agent may have seen the attempt.
};

/// The entry's request path: admit, queue, choose, attempt, retry, revoke, answer.
///
/// Takes events with their time and collects actions for the shell. Each request is answered exactly once. Outcomes follow one rule: a
/// refusal says `not_run` only with a proof, and a non-idempotent request is tried again only after one.
class RequestPipeline
{
public:
    /// @param limits Fixed properties and limits.
    /// @param policy Routing policy.
    /// @param timers Timer service for deadlines.
    /// @param counters Where refusals and retries are counted.
    RequestPipeline(PipelineLimits limits, AnyRoutingPolicy policy, TimerService &timers, Counters &counters);

    /// Takes over the contracts' limits and the failure domains that are out.
    /// @param limits Limits of all workspaces.
    /// @param outDomains Failure domains that are out.
    /// @param now Current time.
    void configure(const std::vector<WorkspaceLimits> &limits, std::vector<std::string> outDomains, TimePoint now);

    /// Takes in an agent's announcement.
    /// @param announcement What the agent said.
    /// @param now Current time.
    void onAnnouncement(const Announcement &announcement, TimePoint now);

    /// Takes in that a connection to an agent has ended: its process may be gone, so it gets nothing until it is heard again.
    /// @param address RPC address of the agent.
    void onDisconnected(std::string_view address)
    {
        m_members.markSuspect(address);
    }

    /// Takes a caller's request; an `AnswerCaller` action follows, now or later.
    /// @param request The request.
    /// @param now Current time.
    /// @return Handle that the actions name.
    RequestHandle start(CallerRequest request, TimePoint now);

    /// Takes in the result of a `ClaimKey` action.
    /// @param request The request.
    /// @param claim The claim that was asked for.
    /// @param result What the table service said.
    /// @param now Current time.
    void onClaimResult(RequestHandle request, const KeyClaim &claim, const ClaimResult &result, TimePoint now);

    /// Takes in an agent's reply.
    /// @param reply The reply.
    /// @param now Current time.
    void onReply(const AttemptReply &reply, TimePoint now);

    /// Takes in the failure of a connection.
    /// @param attempt Attempt that was under way.
    /// @param failure What is known of it.
    /// @param now Current time.
    void onAttemptFailed(AttemptId attempt, TransportFailure failure, TimePoint now);

    /// Takes in the agent's answer to a revocation, or its failure as `Started`.
    /// @param attempt The attempt.
    /// @param state What the agent said.
    /// @param now Current time.
    void onRevocation(AttemptId attempt, RevocationState state, TimePoint now);

    /// Refuses new requests from now on; those in progress go on.
    void drain()
    {
        m_draining = true;
    }

    /// @return Requests not yet answered.
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

    /// Looks after silent agents: idempotent requests that wait for one are tried elsewhere, and agents that are silent for long are
    /// forgotten. To be called several times a second.
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

    /// What the eligible members of a service take for a request, weighted by their slots.
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

    // PipelineQueue.cpp: queue and choice
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
