#include "dispatch/RequestPipeline.h"

#include "core/Assert.h"
#include "core/Guard.h"
#include "dispatch/CodeCounters.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace banyanlock
{

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
    dispatchAllQueues(now);
}

void RequestPipeline::onAnnouncement(const Announcement &announcement, TimePoint now)
{
    m_members.onAnnouncement(announcement, now);
    dispatchAllQueues(now);
}

// ---- requests

RequestPipeline::PendingRequest *RequestPipeline::find(RequestHandle handle)
{
    const auto slot = static_cast<std::uint32_t>(handle);
    const auto generation = static_cast<std::uint32_t>(handle >> 32U);
    if (slot >= m_pending.size() || !m_pending[slot].live) {
        return nullptr;
    }
    // Slots are reused: an answer to an earlier request must not reach the request that occupies the slot now.
    const bool sameGeneration = m_pending[slot].generation == generation || !isEnabled(Guard::OpenAttemptOnly);
    return sameGeneration ? &m_pending[slot] : nullptr;
}

RequestPipeline::PendingRequest *RequestPipeline::findAttempt(AttemptId attempt)
{
    if (attempt.entryIncarnation != m_limits.entryIncarnation) {
        return nullptr;
    }
    const auto entry = m_attempts.find(attempt.sequence);
    return entry == m_attempts.end() ? nullptr : find(entry->second);
}

RequestHandle RequestPipeline::handleOf(const PendingRequest &pending) const
{
    const auto slot = static_cast<std::uint64_t>(&pending - m_pending.data());
    return (static_cast<std::uint64_t>(pending.generation) << 32U) | slot;
}

RequestHandle RequestPipeline::allocate()
{
    if (m_freeSlots.empty()) {
        m_freeSlots.push_back(static_cast<std::uint32_t>(m_pending.size()));
        m_pending.emplace_back();
    }
    PendingRequest &pending = m_pending[m_freeSlots.back()];
    m_freeSlots.pop_back();
    const std::uint32_t generation = pending.generation;
    pending = PendingRequest();
    pending.generation = generation;
    pending.live = true;
    ++m_liveRequests;
    return handleOf(pending);
}

ResultCode RequestPipeline::admissionCode(const CallerRequest &request, TimePoint now)
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
    const ResultCode code = admissionCode(request, now);
    const RequestHandle handle = allocate();
    if (code != ResultCode::Ok) {
        refuse(handle, code);
        return handle;
    }
    PendingRequest &pending = *find(handle);
    pending.request = std::move(request);
    pending.deadline = now + pending.request.timeout;
    startDeadlineTimer(handle, pending);
    const bool needsClaim = !pending.request.idempotent && !pending.request.idempotencyKey.empty();
    if (needsClaim && isEnabled(Guard::IdempotencyClaim)) {
        pending.phase = Phase::Claiming;
        m_actions.emplace_back(ClaimKey{handle, claimOf(handle, pending)});
        return handle;
    }
    enqueue(handle, now);
    return handle;
}

void RequestPipeline::startDeadlineTimer(RequestHandle handle, PendingRequest &pending)
{
    m_timers.cancel(pending.timer);
    pending.timer = m_timers.subscribe(pending.deadline, [this, handle](TimePoint fired) {
        onDeadline(handle, fired);
    });
}

KeyClaim RequestPipeline::claimOf(RequestHandle handle, const PendingRequest &pending) const
{
    KeyClaim claim;
    claim.workspace = pending.request.workspace;
    claim.service = pending.request.service;
    claim.key = pending.request.idempotencyKey;
    claim.holder = AttemptId{m_limits.entryIncarnation, handle}.toString();
    claim.bodyHash = pending.request.body ? XXH64(pending.request.body->data(), pending.request.body->size(), 0) : 0;
    return claim;
}

void RequestPipeline::onClaimResult(RequestHandle handle, const KeyClaim &claim, const ClaimResult &result, TimePoint now)
{
    PendingRequest *pending = find(handle);
    if (pending == nullptr || pending->phase != Phase::Claiming) {
        if (result.state == ClaimState::Acquired) {
            // The request was refused in the meantime; the key must be free for its repeat.
            m_actions.emplace_back(ReleaseClaim{claim});
        }
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
    case ClaimState::BodyMismatch:
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

// ---- answers

void RequestPipeline::finishNotRun(RequestHandle handle, PendingRequest &pending, ResultCode code)
{
    if (pending.mayHaveRun) {
        // An earlier attempt may have run, even if the last one is proved not to have run.
        finishUnknown(handle, pending, ResultCode::AttemptLost);
        return;
    }
    CallerAnswer answer;
    answer.code = code;
    answer.outcome = Outcome::NotRun;
    answer.attempt = pending.attempt;
    finish(handle, pending, std::move(answer));
}

void RequestPipeline::finishUnknown(RequestHandle handle, PendingRequest &pending, ResultCode code)
{
    CallerAnswer answer;
    answer.code = infoOf(code).outcome == Outcome::Unknown ? code : ResultCode::AttemptLost;
    answer.outcome = Outcome::Unknown;
    answer.attempt = pending.attempt;
    finish(handle, pending, std::move(answer));
}

void RequestPipeline::finish(RequestHandle handle, PendingRequest &pending, CallerAnswer answer)
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
    m_freeSlots.push_back(static_cast<std::uint32_t>(handle));
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
