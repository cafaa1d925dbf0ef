#include "dispatch/AgentGate.h"

#include "core/Assert.h"
#include "core/Guard.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

ResultCode AgentGate::admissionCode(const AttemptMessage &message, TimePoint now) const
{
    if (message.agentIncarnation != m_limits.incarnation && isEnabled(Guard::AgentIncarnation)) {
        return ResultCode::WrongIncarnation;
    }
    if (const auto known = m_attempts.find(message.id); known != m_attempts.end()) {
        const bool revoked = known->second.state == AttemptState::Revoked;
        if (revoked && isEnabled(Guard::AgentTombstone)) {
            return ResultCode::AttemptRevoked;
        }
        if (!revoked && isEnabled(Guard::AgentDuplicate)) {
            return ResultCode::DuplicateAttempt;
        }
    }
    if (now >= message.startBy + m_limits.attemptRetention) {
        // The attempt may have run and its id may have been evicted since.
        return ResultCode::DuplicateAttempt;
    }
    if (now >= message.startBy && isEnabled(Guard::AgentStartBy)) {
        return ResultCode::AttemptExpired;
    }
    if (m_draining) {
        return ResultCode::AgentDraining;
    }
    const std::size_t queueCapacity = std::size_t(m_limits.queueSlots) + m_limits.overflowSlots;
    const bool full = m_running >= m_limits.slots && m_queue.size() >= queueCapacity;
    return full ? ResultCode::AgentFull : ResultCode::Ok;
}

void AgentGate::countRefusal(ResultCode code)
{
    switch (code) {
    case ResultCode::WrongIncarnation:
        m_counters.add(Counter::AgentRefusedIncarnation);
        break;
    case ResultCode::AttemptRevoked:
        m_counters.add(Counter::AgentRefusedRevoked);
        break;
    case ResultCode::DuplicateAttempt:
        m_counters.add(Counter::AgentRefusedDuplicate);
        break;
    case ResultCode::AttemptExpired:
        m_counters.add(Counter::AgentRefusedExpired);
        break;
    case ResultCode::AgentDraining:
        m_counters.add(Counter::AgentRefusedDraining);
        break;
    default:
        m_counters.add(Counter::AgentRefusedFull);
        break;
    }
}

void AgentGate::offer(AttemptMessage message, TimePoint now)
{
    const ResultCode code = admissionCode(message, now);
    if (code != ResultCode::Ok) {
        countRefusal(code);
        // The first delivery is answered; an answer to the duplicate could contradict that answer.
        if (code != ResultCode::DuplicateAttempt) {
            // A refusal is final: a second delivery of the same message must not start the attempt.
            trackAttempt(message.id, message.startBy, AttemptState::Revoked);
            reply(message.id, {code, 0, {}, nullptr}, now);
        }
        return;
    }
    m_counters.add(Counter::AgentAccepted);
    trackAttempt(message.id, message.startBy, AttemptState::Queued);
    m_queue.push_back(std::move(message));
    startQueued(now);
}

void AgentGate::startQueued(TimePoint now)
{
    while (m_running < m_limits.slots && !m_queue.empty()) {
        AttemptMessage message = std::move(m_queue.front());
        m_queue.pop_front();
        AttemptRecord &record = m_attempts[message.id];
        if (now >= message.startBy && isEnabled(Guard::AgentStartBy)) {
            refuseExpired(message.id, now);
            continue;
        }
        BANYANLOCK_ASSERT(record.state == AttemptState::Queued || !isEnabled(Guard::AgentTombstone));
        record.state = AttemptState::Running;
        forward(std::move(message));
    }
}

void AgentGate::forward(AttemptMessage message)
{
    ++m_running;
    BANYANLOCK_ASSERT(m_running <= m_limits.slots);
    m_counters.add(Counter::AgentForwarded);
    m_actions.emplace_back(ForwardToBackend{std::move(message)});
}

RevocationState AgentGate::revoke(const Revocation &revocation, TimePoint now)
{
    if (revocation.agentIncarnation != m_limits.incarnation) {
        return RevocationState::WrongIncarnation;
    }
    const auto known = m_attempts.find(revocation.id);
    if (known == m_attempts.end()) {
        // The attempt may have run and its id may have been evicted since.
        if (now >= revocation.startBy + m_limits.attemptRetention) {
            return RevocationState::Started;
        }
        trackAttempt(revocation.id, revocation.startBy, AttemptState::Revoked);
        return RevocationState::Revoked;
    }
    if (known->second.state == AttemptState::Queued && isEnabled(Guard::AgentTombstone)) {
        std::erase_if(m_queue, [&](const AttemptMessage &message) {
            return message.id == revocation.id;
        });
        known->second.state = AttemptState::Revoked;
    }
    const bool revoked = known->second.state == AttemptState::Revoked || !isEnabled(Guard::AgentTombstone);
    return revoked ? RevocationState::Revoked : RevocationState::Started;
}

void AgentGate::finish(AttemptId id, const BackendResult &result, TimePoint now)
{
    BANYANLOCK_ASSERT(m_running > 0);
    --m_running;
    if (const auto known = m_attempts.find(id); known != m_attempts.end()) {
        // A failure to connect to the backend server proves that the attempt did not run.
        const bool notRun = infoOf(result.code).outcome == Outcome::NotRun;
        known->second.state = notRun ? AttemptState::Revoked : AttemptState::Finished;
    }
    startQueued(now);
    reply(id, result, now);
}

void AgentGate::reply(AttemptId id, const BackendResult &result, TimePoint now)
{
    AttemptReply reply;
    reply.id = id;
    reply.agentIncarnation = m_limits.incarnation;
    reply.code = result.code;
    reply.status = result.status;
    reply.contentType = result.contentType;
    reply.body = result.body;
    reply.declaredBytes = result.body ? result.body->size() : 0;
    reply.load = load(now);
    m_actions.emplace_back(SendReply{std::move(reply)});
}

void AgentGate::refuseExpired(AttemptId id, TimePoint now)
{
    m_attempts[id].state = AttemptState::Revoked;
    countRefusal(ResultCode::AttemptExpired);
    reply(id, {ResultCode::AttemptExpired, 0, {}, nullptr}, now);
}

void AgentGate::expire(TimePoint now)
{
    std::vector<AttemptId> expired;
    std::erase_if(m_queue, [&](const AttemptMessage &message) {
        const bool isExpired = now >= message.startBy && isEnabled(Guard::AgentStartBy);
        if (isExpired) {
            expired.push_back(message.id);
        }
        return isExpired;
    });
    for (const AttemptId &id : expired) {
        refuseExpired(id, now);
    }
    evictOldAttempts(now);
}

void AgentGate::trackAttempt(AttemptId id, TimePoint startBy, AttemptState state)
{
    // The state of a known attempt stays: a refusal of a second delivery must not change it.
    if (m_attempts.insert({id, {state, startBy}}).second) {
        m_attemptsByAge.push_back(id);
    }
}

void AgentGate::evictOldAttempts(TimePoint now)
{
    // Stops at the first id that must be kept: scanning all ids takes milliseconds at thousands of attempts a second.
    while (!m_attemptsByAge.empty()) {
        const auto oldest = m_attempts.find(m_attemptsByAge.front());
        const AttemptRecord &record = oldest->second;
        const bool done = record.state == AttemptState::Finished || record.state == AttemptState::Revoked;
        if (!done || now < record.startBy + m_limits.attemptRetention) {
            return;
        }
        m_attempts.erase(oldest);
        m_attemptsByAge.pop_front();
    }
}

bool AgentGate::mayStop() const
{
    return m_draining && ((m_running == 0 && m_queue.empty()) || !isEnabled(Guard::DrainWaits));
}

AgentLoad AgentGate::load(TimePoint now) const
{
    return {m_running, static_cast<std::uint16_t>(m_queue.size()), now};
}

std::vector<GateAction> AgentGate::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace banyanlock
