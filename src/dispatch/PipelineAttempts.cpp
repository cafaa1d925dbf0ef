#include "core/Assert.h"
#include "core/Guard.h"
#include "dispatch/CodeCounters.h"
#include "dispatch/RequestPipeline.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

std::size_t bytesOf(const Body &body)
{
    return body ? body->size() : 0;
}

constexpr bool isServerError(int status)
{
    return status >= 500;
}

} // namespace

void RequestPipeline::sendAttempt(RequestHandle handle, PendingRequest &pending, Member &member, TimePoint now)
{
    BANYANLOCK_ASSERT(!pending.attemptOpen);
    BANYANLOCK_ASSERT(pending.request.idempotent || !pending.mayHaveRun || !isEnabled(Guard::RetryNeedsProof));
    BANYANLOCK_ASSERT(!member.announced.leaving || !isEnabled(Guard::MemberLeaving));
    if (pending.attempts == 0) {
        m_budget.onFirstAttempt();
    }
    ++pending.attempts;
    pending.phase = Phase::Attempting;
    pending.attempt = {m_limits.entryIncarnation, m_nextAttempt++};
    pending.attemptOpen = true;
    pending.agent = member.announced.agent;
    pending.agentAddress = member.announced.address;
    pending.agentIncarnation = member.announced.incarnation;
    pending.sentAt = now;
    const Duration remaining = pending.deadline - now;
    // The attempt must start early enough to be answered before the deadline, since a later answer is of no use.
    const Duration serviceReserve(static_cast<std::int64_t>(member.upperServiceMicroseconds()));
    pending.startBy = member.agentClockAt(now) + remaining - std::min(serviceReserve, remaining * 9 / 10);
    ++member.outstanding;
    ++member.sentSinceReport;
    m_attempts[pending.attempt.sequence] = handle;
    m_counters.add(Counter::AttemptsSent);
    pending.attemptCrossesRegion = member.announced.region != m_limits.region;
    if (pending.attemptCrossesRegion) {
        m_counters.add(Counter::CrossRegionAttempts);
        m_counters.add(Counter::CrossRegionBytes, bytesOf(pending.request.body));
    }
    AttemptMessage message;
    message.id = pending.attempt;
    message.agentIncarnation = pending.agentIncarnation;
    message.startBy = pending.startBy;
    message.timeout = remaining;
    message.idempotent = pending.request.idempotent;
    message.workspace = pending.request.workspace;
    message.service = pending.request.service;
    message.contentType = pending.request.contentType;
    message.body = pending.request.body;
    m_actions.emplace_back(SendAttempt{pending.agentAddress, std::move(message)});
}

void RequestPipeline::closeAttempt(PendingRequest &pending)
{
    if (!pending.attemptOpen) {
        return;
    }
    pending.attemptOpen = false;
    if (isEnabled(Guard::OpenAttemptOnly)) {
        m_attempts.erase(pending.attempt.sequence);
    }
    if (Member *member = m_members.find(pending.agent, pending.agentIncarnation)) {
        // The count may be zero, since a new incarnation of the agent starts with a new record.
        member->outstanding -= member->outstanding > 0 ? 1 : 0;
    }
}

void RequestPipeline::onReply(const AttemptReply &reply, TimePoint now)
{
    PendingRequest *pending = findAttempt(reply.id);
    const bool open = pending != nullptr && (pending->attempt == reply.id || !isEnabled(Guard::OpenAttemptOnly));
    if (!open) {
        const bool own = reply.id.entryIncarnation == m_limits.entryIncarnation;
        m_counters.add(own ? Counter::DroppedLateAnswer : Counter::DroppedForeignAnswer);
        return;
    }
    const RequestHandle handle = handleOf(*pending);
    Member *member = m_members.find(pending->agent, pending->agentIncarnation);
    if (member != nullptr) {
        MemberTable::updateLoad(*member, reply.load, now);
    }
    if (!isComplete(reply) && isEnabled(Guard::WholeAnswerOnly)) {
        m_counters.add(Counter::DroppedTruncatedAnswer);
        closeAttempt(*pending);
        handleUnknown(handle, *pending, ResultCode::AttemptLost, now);
        return;
    }
    const bool admissionRefusal = reply.code == ResultCode::AgentFull || reply.code == ResultCode::AgentDraining
        || reply.code == ResultCode::AttemptExpired || reply.code == ResultCode::AttemptRevoked;
    if (member != nullptr && !admissionRefusal) {
        const bool succeeded = reply.code == ResultCode::Ok && !isServerError(reply.status);
        m_members.recordResult(*member, succeeded, now - pending->sentAt, now);
    }
    closeAttempt(*pending);
    switch (infoOf(reply.code).outcome) {
    case Outcome::Answered:
        acceptAnswer(handle, *pending, reply, now);
        break;
    case Outcome::NotRun:
        handleNotRun(handle, *pending, reply.code, now);
        break;
    case Outcome::Unknown:
        handleUnknown(handle, *pending, reply.code, now);
        break;
    }
    dispatchAllQueues(now);
}

void RequestPipeline::acceptAnswer(RequestHandle handle, PendingRequest &pending, const AttemptReply &reply, TimePoint now)
{
    if (pending.attemptCrossesRegion) {
        m_counters.add(Counter::CrossRegionBytes, bytesOf(reply.body));
    }
    if (pending.request.idempotent && isServerError(reply.status) && mayRetry(pending, ResultCode::BackendTimeout, now)) {
        m_counters.add(Counter::RetryBackendError);
        pending.mayHaveRun = true;
        requeue(handle, pending, now);
        return;
    }
    CallerAnswer answer;
    answer.status = reply.status;
    answer.contentType = reply.contentType;
    answer.body = reply.body;
    answer.attempt = reply.id;
    finish(handle, pending, std::move(answer));
}

void RequestPipeline::onAttemptFailed(AttemptId attempt, TransportFailure failure, TimePoint now)
{
    PendingRequest *pending = findAttempt(attempt);
    if (pending == nullptr) {
        return;
    }
    const RequestHandle handle = handleOf(*pending);
    if (Member *member = m_members.find(pending->agent, pending->agentIncarnation)) {
        member->suspect = true;
    }
    if (failure == TransportFailure::NotSent) {
        closeAttempt(*pending);
        handleNotRun(handle, *pending, ResultCode::AttemptNotSent, now);
    } else if (pending->phase == Phase::Attempting) {
        if (pending->request.idempotent) {
            closeAttempt(*pending);
            handleUnknown(handle, *pending, ResultCode::AttemptLost, now);
        } else {
            revoke(handle, *pending, now);
        }
    }
    dispatchAllQueues(now);
}

void RequestPipeline::revoke(RequestHandle handle, PendingRequest &pending, TimePoint now)
{
    if (!isEnabled(Guard::RevokeBeforeNotRun)) {
        closeAttempt(pending);
        finishNotRun(handle, pending, ResultCode::AttemptRevoked);
        return;
    }
    pending.phase = Phase::Revoking;
    m_counters.add(Counter::RevokesSent);
    m_actions.emplace_back(SendRevocation{pending.agentAddress, {pending.attempt, pending.agentIncarnation, pending.startBy}});
    m_timers.cancel(pending.timer);
    pending.timer = m_timers.subscribe(now + m_limits.revocationTimeout, [this, handle](TimePoint fired) {
        onRevokeTimeout(handle, fired);
    });
}

void RequestPipeline::onRevocation(AttemptId attempt, RevocationState state, TimePoint now)
{
    PendingRequest *pending = findAttempt(attempt);
    if (pending == nullptr || pending->phase != Phase::Revoking) {
        return;
    }
    const RequestHandle handle = handleOf(*pending);
    if (state != RevocationState::Revoked) {
        // The answer may still arrive; the revocation timer bounds the wait.
        m_counters.add(Counter::RevokesFailed);
        return;
    }
    m_counters.add(Counter::RevokesProved);
    closeAttempt(*pending);
    handleNotRun(handle, *pending, ResultCode::AttemptRevoked, now);
    dispatchAllQueues(now);
}

void RequestPipeline::onRevokeTimeout(RequestHandle handle, TimePoint now)
{
    PendingRequest *pending = find(handle);
    if (pending == nullptr) {
        return;
    }
    const bool late = now >= pending->deadline;
    closeAttempt(*pending);
    handleUnknown(handle, *pending, late ? ResultCode::DeadlineExceeded : ResultCode::AttemptLost, now);
}

void RequestPipeline::onDeadline(RequestHandle handle, TimePoint now)
{
    PendingRequest *pending = find(handle);
    if (pending == nullptr) {
        return;
    }
    switch (pending->phase) {
    case Phase::Claiming:
        // The claim may still take effect; releasing it allows the caller to repeat the request.
        m_actions.emplace_back(ReleaseClaim{claimOf(handle, *pending)});
        refuse(handle, ResultCode::StoreUnavailable);
        break;
    case Phase::Queued: {
        queueOf(pending->request.service).queue.remove(queueNameOf(*pending), handle);
        const bool attempted = pending->lastFailure != ResultCode::Ok;
        refuse(handle, attempted ? ResultCode::DeadlineUnreachable : ResultCode::NoBackendServer);
        break;
    }
    case Phase::Attempting:
        revoke(handle, *pending, now);
        break;
    case Phase::Revoking:
        break;
    }
}

// ---- retries

bool RequestPipeline::mayRetry(PendingRequest &pending, ResultCode code, TimePoint now)
{
    if (now >= pending.deadline || pending.attempts >= m_limits.attemptLimit) {
        return false;
    }
    const bool inexpensive = code == ResultCode::AgentFull || code == ResultCode::AgentDraining;
    if (inexpensive || m_limits.unlimitedRetries) {
        return true;
    }
    if (!m_budget.takeRetry()) {
        m_counters.add(Counter::RetryBudgetExhausted);
        return false;
    }
    return true;
}

void RequestPipeline::expireMembers(TimePoint now)
{
    for (PendingRequest &pending : m_pending) {
        if (pending.live && pending.phase == Phase::Attempting && pending.request.idempotent) {
            retryIfAgentStale(pending, now);
        }
    }
    m_members.expire(now);
}

void RequestPipeline::retryIfAgentStale(PendingRequest &pending, TimePoint now)
{
    const Member *member = m_members.find(pending.agent, pending.agentIncarnation);
    if (member != nullptr && m_members.isFresh(*member, now)) {
        return;
    }
    closeAttempt(pending);
    handleUnknown(handleOf(pending), pending, ResultCode::AttemptLost, now);
}

void RequestPipeline::requeue(RequestHandle handle, PendingRequest &pending, TimePoint now)
{
    pending.excluded.push_back(pending.agentIncarnation);
    pending.phase = Phase::Queued;
    startDeadlineTimer(handle, pending);
    ServiceQueue &serviceQueue = queueOf(pending.request.service);
    serviceQueue.queue.pushFront(queueNameOf(pending), handle);
    dispatchQueue(serviceQueue, now);
}

void RequestPipeline::handleNotRun(RequestHandle handle, PendingRequest &pending, ResultCode code, TimePoint now)
{
    pending.lastFailure = code;
    if (mayRetry(pending, code, now)) {
        countCode(m_counters, retryCounters, code, Counter::RetryLost);
        requeue(handle, pending, now);
        return;
    }
    finishNotRun(handle, pending, code);
}

void RequestPipeline::handleUnknown(RequestHandle handle, PendingRequest &pending, ResultCode code, TimePoint now)
{
    pending.lastFailure = code;
    pending.mayHaveRun = true;
    const bool allowed = pending.request.idempotent || !isEnabled(Guard::RetryNeedsProof);
    if (allowed && mayRetry(pending, code, now)) {
        m_counters.add(Counter::RetryLost);
        requeue(handle, pending, now);
        return;
    }
    finishUnknown(handle, pending, code);
}

} // namespace banyanlock
