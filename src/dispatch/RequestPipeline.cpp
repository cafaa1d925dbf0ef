#include "dispatch/RequestPipeline.h"

#include "core/Assert.h"
#include "core/Guard.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace banyanlock
{
namespace
{

struct CodeCounter {
    ResultCode code;
    Counter counter;
};

constexpr std::array refusalCounters{
    CodeCounter{ResultCode::UnknownWorkspace, Counter::RefusedUnknownWorkspace},
    CodeCounter{ResultCode::UnknownService, Counter::RefusedUnknownService},
    CodeCounter{ResultCode::RateLimited, Counter::RefusedRate},
    CodeCounter{ResultCode::InFlightLimited, Counter::RefusedInFlight},
    CodeCounter{ResultCode::QueueFull, Counter::RefusedQueueFull},
    CodeCounter{ResultCode::DeadlineUnreachable, Counter::RefusedDeadline},
    CodeCounter{ResultCode::NoBackendServer, Counter::RefusedNoBackendServer},
    CodeCounter{ResultCode::Draining, Counter::RefusedDraining},
    CodeCounter{ResultCode::StoreUnavailable, Counter::RefusedStore},
    CodeCounter{ResultCode::ConfigurationNotReady, Counter::RefusedConfiguration},
    CodeCounter{ResultCode::IdempotencyKeyInUse, Counter::RefusedKeyInUse},
};

constexpr std::array retryCounters{
    CodeCounter{ResultCode::AgentFull, Counter::RetryAgentFull},
    CodeCounter{ResultCode::AgentDraining, Counter::RetryAgentDraining},
    CodeCounter{ResultCode::AttemptExpired, Counter::RetryExpired},
    CodeCounter{ResultCode::AttemptNotSent, Counter::RetryNotSent},
    CodeCounter{ResultCode::BackendUnreachable, Counter::RetryBackendUnreachable},
};

template <std::size_t Size>
void countCode(Counters &counters, const std::array<CodeCounter, Size> &table, ResultCode code, Counter fallback)
{
    const auto row = std::ranges::find(table, code, &CodeCounter::code);
    counters.add(row == table.end() ? fallback : row->counter);
}

std::size_t bytesOf(const Body &body)
{
    return body ? body->size() : 0;
}

constexpr bool isServerError(int status)
{
    return status >= 500;
}

} // namespace

RequestPipeline::RequestPipeline(PipelineLimits limits, AnyRoutingPolicy policy, TimerService &timers, Counters &counters)
    : m_limits(std::move(limits))
    , m_policy(policy)
    , m_timers(timers)
    , m_counters(counters)
    , m_members(MemberLimits(), counters)
    , m_budget(m_limits.retryShare, m_limits.retryReserve)
{
}

void RequestPipeline::configure(const std::vector<WorkspaceLimits> &limits, std::vector<std::string> outDomains, TimePoint now)
{
    m_admission.configure(limits);
    m_outDomains = std::move(outDomains);
    m_configured = true;
    pumpAll(now);
}

void RequestPipeline::announce(const Announcement &announcement, TimePoint now)
{
    m_members.announce(announcement, now);
    pumpAll(now);
}

// ---- requests

RequestPipeline::Pending *RequestPipeline::find(RequestHandle handle)
{
    const auto slot = static_cast<std::uint32_t>(handle);
    const auto generation = static_cast<std::uint32_t>(handle >> 32U);
    if (slot >= m_pending.size() || !m_pending[slot].live) {
        return nullptr;
    }
    // Slots are used again: an answer to an earlier request must not reach the one that has the slot now.
    const bool same = m_pending[slot].generation == generation || !isEnabled(Guard::OpenAttemptOnly);
    return same ? &m_pending[slot] : nullptr;
}

RequestPipeline::Pending *RequestPipeline::findAttempt(AttemptId attempt)
{
    if (attempt.entryIncarnation != m_limits.entryIncarnation) {
        return nullptr;
    }
    const auto entry = m_attempts.find(attempt.sequence);
    return entry == m_attempts.end() ? nullptr : find(entry->second);
}

RequestHandle RequestPipeline::handleOf(const Pending &pending) const
{
    const auto slot = static_cast<std::uint64_t>(&pending - m_pending.data());
    return (static_cast<std::uint64_t>(pending.generation) << 32U) | slot;
}

RequestHandle RequestPipeline::allocate()
{
    if (m_freePending.empty()) {
        m_freePending.push_back(static_cast<std::uint32_t>(m_pending.size()));
        m_pending.emplace_back();
    }
    Pending &pending = m_pending[m_freePending.back()];
    m_freePending.pop_back();
    const std::uint32_t generation = pending.generation;
    pending = Pending();
    pending.generation = generation;
    pending.live = true;
    ++m_liveRequests;
    return handleOf(pending);
}

RequestPipeline::ServiceQueue &RequestPipeline::queueOf(std::string_view service)
{
    auto line = std::ranges::find(m_queues, service, &ServiceQueue::service);
    if (line == m_queues.end()) {
        m_queues.push_back({std::string(service), {}});
        line = m_queues.end() - 1;
    }
    return *line;
}

ResultCode RequestPipeline::check(const CallerRequest &request, TimePoint now)
{
    if (m_draining) {
        return ResultCode::Draining;
    }
    if (!m_configured) {
        return ResultCode::ConfigurationNotReady;
    }
    if (!m_members.knowsService(request.service)) {
        return ResultCode::UnknownService;
    }
    return m_admission.admit(request.workspace, now);
}

RequestHandle RequestPipeline::start(CallerRequest request, TimePoint now)
{
    m_counters.add(Counter::RequestsReceived);
    const ResultCode code = check(request, now);
    const RequestHandle handle = allocate();
    if (code != ResultCode::Ok) {
        refuse(handle, code);
        return handle;
    }
    Pending &pending = *find(handle);
    pending.request = std::move(request);
    pending.deadline = now + pending.request.timeout;
    pending.timer = m_timers.subscribe(pending.deadline, [this, handle](TimePoint fired) {
        onDeadline(handle, fired);
    });
    const bool needsClaim = !pending.request.idempotent && !pending.request.idempotencyKey.empty();
    if (needsClaim && isEnabled(Guard::IdempotencyClaim)) {
        pending.phase = Phase::Claiming;
        m_actions.emplace_back(ClaimKey{handle, claimOf(handle, pending)});
        return handle;
    }
    enqueue(handle, now);
    return handle;
}

KeyClaim RequestPipeline::claimOf(RequestHandle handle, const Pending &pending) const
{
    KeyClaim claim;
    claim.workspace = pending.request.workspace;
    claim.service = pending.request.service;
    claim.key = pending.request.idempotencyKey;
    claim.holder = AttemptId{m_limits.entryIncarnation, handle}.toString();
    claim.bodyHash = pending.request.body ? XXH64(pending.request.body->data(), pending.request.body->size(), 0) : 0;
    return claim;
}

void RequestPipeline::onClaim(RequestHandle handle, const ClaimResult &result, TimePoint now)
{
    Pending *pending = find(handle);
    if (pending == nullptr || pending->phase != Phase::Claiming) {
        return;
    }
    switch (result.state) {
    case ClaimState::Acquired:
        pending->claimed = true;
        enqueue(handle, now);
        return;
    case ClaimState::Answered: {
        CallerAnswer answer = result.answer;
        answer.replayed = true;
        finish(handle, *pending, std::move(answer));
        return;
    }
    case ClaimState::Held:
    case ClaimState::OtherBody:
        countCode(m_counters, refusalCounters, ResultCode::IdempotencyKeyInUse, Counter::RefusedKeyInUse);
        finishUnknown(handle, *pending, ResultCode::IdempotencyKeyInUse);
        return;
    case ClaimState::StoreUnavailable:
        refuse(handle, ResultCode::StoreUnavailable);
        return;
    }
}

void RequestPipeline::refuse(RequestHandle handle, ResultCode code)
{
    countCode(m_counters, refusalCounters, code, Counter::RefusedMalformed);
    finishNotRun(handle, *find(handle), code);
}

// ---- queue

RequestPipeline::ServiceTimes RequestPipeline::serviceTimes(std::string_view service, TimePoint now) const
{
    ServiceTimes times;
    for (const Member &member : m_members.members()) {
        if (member.announced.service == service && m_members.isEligible(member, now)) {
            times.averageMicroseconds += member.serviceMicroseconds * member.announced.slots;
            times.longMicroseconds += member.longServiceMicroseconds() * member.announced.slots;
            times.slots += member.announced.slots;
        }
    }
    if (times.slots > 0) {
        times.averageMicroseconds /= times.slots;
        times.longMicroseconds /= times.slots;
    }
    return times;
}

bool RequestPipeline::canMeetDeadline(const Pending &pending, ServiceQueue &line, TimePoint now) const
{
    const ServiceTimes times = serviceTimes(pending.request.service, now);
    if (times.slots == 0 || line.queue.size() == 0) {
        return true;
    }
    // Turns are shared between the workspaces that wait, so the own line counts once for each of them.
    const std::size_t ownTurns
        = (line.queue.sizeOf(pending.request.workspace) + 1) * std::max<std::size_t>(1, line.queue.activeWorkspaces());
    const auto ahead = static_cast<double>(std::min(line.queue.size(), ownTurns));
    const double expected = ahead * times.averageMicroseconds / times.slots + times.longMicroseconds;
    return expected <= static_cast<double>((pending.deadline - now).count());
}

void RequestPipeline::enqueue(RequestHandle handle, TimePoint now)
{
    Pending &pending = *find(handle);
    ServiceQueue &line = queueOf(pending.request.service);
    if (line.queue.size() >= m_limits.queueLimit) {
        refuse(handle, ResultCode::QueueFull);
        return;
    }
    if (!canMeetDeadline(pending, line, now)) {
        refuse(handle, ResultCode::DeadlineUnreachable);
        return;
    }
    pending.phase = Phase::Queued;
    line.queue.pushBack(pending.request.workspace, handle);
    pump(line, now);
}

void RequestPipeline::pumpAll(TimePoint now)
{
    for (ServiceQueue &line : m_queues) {
        pump(line, now);
    }
}

void RequestPipeline::pump(ServiceQueue &line, TimePoint now)
{
    while (line.queue.size() > 0 && sendNext(line, now)) { }
}

bool RequestPipeline::sendNext(ServiceQueue &line, TimePoint now)
{
    const RequestHandle handle = *line.queue.front();
    Pending &pending = *find(handle);
    const ServiceTimes times = serviceTimes(pending.request.service, now);
    const auto remaining = static_cast<double>((pending.deadline - now).count());
    if (remaining < times.longMicroseconds) {
        line.queue.popFront(m_admission.shareOf(pending.request.workspace));
        refuse(handle, ResultCode::DeadlineUnreachable);
        return true;
    }
    const RoutingContext context{m_members,       now,          pending.deadline, pending.request.service, m_limits.failureDomain,
                                 m_limits.region, m_outDomains, pending.excluded};
    const std::optional<std::size_t> chosen = std::visit(
        [&](auto &policy) {
            return policy.choose(context);
        },
        m_policy);
    if (!chosen) {
        // Refusals are news of the moment: once all members have been tried, they may be tried again later.
        pending.excluded.clear();
        return false;
    }
    line.queue.popFront(m_admission.shareOf(pending.request.workspace));
    sendAttempt(handle, pending, m_members.members()[*chosen], now);
    return true;
}

// ---- attempts

void RequestPipeline::sendAttempt(RequestHandle handle, Pending &pending, Member &member, TimePoint now)
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
    // An answer that comes after the deadline is work for nobody.
    const Duration useful(static_cast<std::int64_t>(member.longServiceMicroseconds()));
    pending.startBy = member.agentClockAt(now) + remaining - std::min(useful, remaining * 9 / 10);
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

void RequestPipeline::closeAttempt(Pending &pending)
{
    if (!pending.attemptOpen) {
        return;
    }
    pending.attemptOpen = false;
    if (isEnabled(Guard::OpenAttemptOnly)) {
        m_attempts.erase(pending.attempt.sequence);
    }
    if (Member *member = m_members.find(pending.agent, pending.agentIncarnation)) {
        // The record starts anew when the agent's processes have taken turns.
        member->outstanding -= member->outstanding > 0 ? 1 : 0;
    }
}

void RequestPipeline::onReply(const AttemptReply &reply, TimePoint now)
{
    Pending *pending = findAttempt(reply.id);
    const bool open = pending != nullptr && (pending->attempt == reply.id || !isEnabled(Guard::OpenAttemptOnly));
    if (!open) {
        const bool own = reply.id.entryIncarnation == m_limits.entryIncarnation;
        m_counters.add(own ? Counter::DroppedLateAnswer : Counter::DroppedForeignAnswer);
        return;
    }
    const RequestHandle handle = handleOf(*pending);
    Member *member = m_members.find(pending->agent, pending->agentIncarnation);
    if (member != nullptr) {
        MemberTable::reportLoad(*member, reply.load, now);
    }
    if (!isWhole(reply) && isEnabled(Guard::WholeAnswerOnly)) {
        m_counters.add(Counter::DroppedTruncatedAnswer);
        closeAttempt(*pending);
        afterUnknown(handle, *pending, ResultCode::AttemptLost, now);
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
        afterNotRun(handle, *pending, reply.code, now);
        break;
    case Outcome::Unknown:
        afterUnknown(handle, *pending, reply.code, now);
        break;
    }
    pumpAll(now);
}

void RequestPipeline::acceptAnswer(RequestHandle handle, Pending &pending, const AttemptReply &reply, TimePoint now)
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
    Pending *pending = findAttempt(attempt);
    if (pending == nullptr) {
        return;
    }
    const RequestHandle handle = handleOf(*pending);
    if (Member *member = m_members.find(pending->agent, pending->agentIncarnation)) {
        member->suspect = true;
    }
    if (failure == TransportFailure::NotSent) {
        closeAttempt(*pending);
        afterNotRun(handle, *pending, ResultCode::AttemptNotSent, now);
    } else if (pending->phase == Phase::Attempting) {
        if (pending->request.idempotent) {
            closeAttempt(*pending);
            afterUnknown(handle, *pending, ResultCode::AttemptLost, now);
        } else {
            revoke(handle, *pending, now);
        }
    }
    pumpAll(now);
}

void RequestPipeline::revoke(RequestHandle handle, Pending &pending, TimePoint now)
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
    pending.timer = m_timers.subscribe(now + m_limits.revokeGrace, [this, handle](TimePoint fired) {
        onRevokeTimeout(handle, fired);
    });
}

void RequestPipeline::onRevocation(AttemptId attempt, RevocationState state, TimePoint now)
{
    Pending *pending = findAttempt(attempt);
    if (pending == nullptr || pending->phase != Phase::Revoking) {
        return;
    }
    const RequestHandle handle = handleOf(*pending);
    if (state != RevocationState::Revoked) {
        // The answer may still come: the timer of the revocation ends the wait.
        m_counters.add(Counter::RevokesFailed);
        return;
    }
    m_counters.add(Counter::RevokesProved);
    closeAttempt(*pending);
    afterNotRun(handle, *pending, ResultCode::AttemptRevoked, now);
    pumpAll(now);
}

void RequestPipeline::onRevokeTimeout(RequestHandle handle, TimePoint now)
{
    Pending *pending = find(handle);
    if (pending == nullptr) {
        return;
    }
    const bool late = now >= pending->deadline;
    closeAttempt(*pending);
    afterUnknown(handle, *pending, late ? ResultCode::DeadlineExceeded : ResultCode::AttemptLost, now);
}

void RequestPipeline::onDeadline(RequestHandle handle, TimePoint now)
{
    Pending *pending = find(handle);
    if (pending == nullptr) {
        return;
    }
    switch (pending->phase) {
    case Phase::Claiming:
        // The claim may still take effect; giving it back lets the caller repeat.
        m_actions.emplace_back(ReleaseClaim{claimOf(handle, *pending)});
        refuse(handle, ResultCode::StoreUnavailable);
        break;
    case Phase::Queued: {
        queueOf(pending->request.service).queue.remove(pending->request.workspace, handle);
        const bool tried = pending->lastFailure != ResultCode::Ok;
        refuse(handle, tried ? ResultCode::DeadlineUnreachable : ResultCode::NoBackendServer);
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

bool RequestPipeline::mayRetry(Pending &pending, ResultCode code, TimePoint now)
{
    if (now >= pending.deadline || pending.attempts >= m_limits.attemptLimit) {
        return false;
    }
    const bool cheap = code == ResultCode::AgentFull || code == ResultCode::AgentDraining;
    if (cheap || m_limits.unlimitedRetries) {
        return true;
    }
    if (!m_budget.takeRetry()) {
        m_counters.add(Counter::RetryBudgetExhausted);
        return false;
    }
    return true;
}

void RequestPipeline::requeue(RequestHandle handle, Pending &pending, TimePoint now)
{
    pending.excluded.push_back(pending.agentIncarnation);
    pending.phase = Phase::Queued;
    m_timers.cancel(pending.timer);
    pending.timer = m_timers.subscribe(pending.deadline, [this, handle](TimePoint fired) {
        onDeadline(handle, fired);
    });
    ServiceQueue &line = queueOf(pending.request.service);
    line.queue.pushFront(pending.request.workspace, handle);
    pump(line, now);
}

void RequestPipeline::afterNotRun(RequestHandle handle, Pending &pending, ResultCode code, TimePoint now)
{
    pending.lastFailure = code;
    if (mayRetry(pending, code, now)) {
        countCode(m_counters, retryCounters, code, Counter::RetryLost);
        requeue(handle, pending, now);
        return;
    }
    finishNotRun(handle, pending, code);
}

void RequestPipeline::afterUnknown(RequestHandle handle, Pending &pending, ResultCode code, TimePoint now)
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

// ---- answers

void RequestPipeline::finishNotRun(RequestHandle handle, Pending &pending, ResultCode code)
{
    if (pending.mayHaveRun) {
        // An earlier attempt may have run, whatever the last one proved.
        finishUnknown(handle, pending, ResultCode::AttemptLost);
        return;
    }
    CallerAnswer answer;
    answer.code = code;
    answer.outcome = Outcome::NotRun;
    answer.attempt = pending.attempt;
    finish(handle, pending, std::move(answer));
}

void RequestPipeline::finishUnknown(RequestHandle handle, Pending &pending, ResultCode code)
{
    CallerAnswer answer;
    answer.code = infoOf(code).outcome == Outcome::Unknown ? code : ResultCode::AttemptLost;
    answer.outcome = Outcome::Unknown;
    answer.attempt = pending.attempt;
    finish(handle, pending, std::move(answer));
}

void RequestPipeline::finish(RequestHandle handle, Pending &pending, CallerAnswer answer)
{
    BANYANLOCK_ASSERT(pending.live);
    closeAttempt(pending);
    m_timers.cancel(pending.timer);
    if (!pending.request.workspace.empty()) {
        m_admission.release(pending.request.workspace);
    }
    if (pending.claimed && answer.outcome == Outcome::Answered) {
        m_actions.emplace_back(SettleClaim{claimOf(handle, pending), answer});
    } else if (pending.claimed && answer.outcome == Outcome::NotRun) {
        m_actions.emplace_back(ReleaseClaim{claimOf(handle, pending)});
    }
    constexpr std::array outcomeCounters{Counter::RequestsAnswered, Counter::RequestsNotRun, Counter::RequestsUnknown};
    m_counters.add(outcomeCounters[static_cast<std::size_t>(answer.outcome)]);
    pending.live = false;
    ++pending.generation;
    pending.request = CallerRequest();
    m_freePending.push_back(static_cast<std::uint32_t>(handle));
    --m_liveRequests;
    m_actions.emplace_back(AnswerCaller{handle, std::move(answer)});
}

bool RequestPipeline::mayStop() const
{
    return m_draining && (m_liveRequests == 0 || !isEnabled(Guard::DrainWaits));
}

std::vector<PipelineAction> RequestPipeline::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace banyanlock
