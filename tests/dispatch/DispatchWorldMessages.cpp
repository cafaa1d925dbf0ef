#include "DispatchProcesses.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

// ---- requests

void DispatchWorld::notifyStep(RequestStep step, int agent)
{
    m_messageFault = MessageFault::None;
    if (m_stepHook) {
        m_stepHook(step, agent);
    }
}

void DispatchWorld::sendMessage(MessageFault fault, int entry, int agent, const std::function<void()> &deliver)
{
    const Duration distance = entry % 3 == agent % 3 ? Duration::zero() : m_options.crossRegionDelay;
    const auto deliverOverNetwork = [this, distance, deliver] {
        m_network.send(m_options.network, [this, distance, deliver] {
            distance == Duration::zero() ? deliver() : m_network.after(distance, deliver);
        });
    };
    switch (fault) {
    case MessageFault::Lose:
    case MessageFault::Break:
        break;
    case MessageFault::Delay:
        m_network.after(fromMilliseconds(1500), deliver);
        break;
    case MessageFault::Duplicate:
        deliverOverNetwork();
        deliverOverNetwork();
        break;
    default:
        deliverOverNetwork();
        break;
    }
}

void DispatchWorld::request(int entry, bool idempotent, const std::string &key, Duration timeout)
{
    requestOf(m_requests.size() % 3 == 0 ? "audits" : "quotes", entry, idempotent, key, timeout);
}

void DispatchWorld::requestOf(const std::string &workspace, int entry, bool idempotent, const std::string &key, Duration timeout)
{
    EntryProcess &process = entryAt(entry);
    const std::size_t number = m_requests.size();
    TrackedRequest tracked;
    // Repeats with the same key have the same body, as those of a real caller.
    tracked.body = key.empty() ? "request-" + std::to_string(number) : "keyed-" + key;
    tracked.workspace = workspace;
    tracked.key = key;
    tracked.idempotent = idempotent;
    tracked.entry = entry;
    tracked.entryIncarnation = process.incarnation;
    tracked.sentAt = m_network.now();
    m_requests.push_back(tracked);
    withEntry(entry, process.incarnation, [this, number, tracked, timeout](EntryProcess &receiver) {
        // The timeout starts when the entry reads the request, which a frozen entry does late.
        m_requests[number].deadline = m_network.now() + timeout;
        CallerRequest caller;
        caller.workspace = tracked.workspace;
        caller.service = "quote";
        caller.body = std::make_shared<const std::string>(tracked.body);
        caller.idempotent = tracked.idempotent;
        caller.idempotencyKey = tracked.key;
        caller.timeout = timeout;
        const RequestHandle handle = receiver.pipeline->start(std::move(caller), m_network.now());
        receiver.requests[handle] = number;
    });
}

void DispatchWorld::performActions(EntryProcess &entry)
{
    for (auto actions = entry.pipeline->takeActions(); !actions.empty(); actions = entry.pipeline->takeActions()) {
        for (PipelineAction &action : actions) {
            std::visit(
                [&](auto &item) {
                    perform(entry, item);
                },
                action);
        }
    }
}

void DispatchWorld::performActions(AgentProcess &agent)
{
    for (auto actions = agent.gate->takeActions(); !actions.empty(); actions = agent.gate->takeActions()) {
        for (GateAction &action : actions) {
            std::visit(
                [&](auto &item) {
                    perform(agent, item);
                },
                action);
        }
    }
}

void DispatchWorld::failAttempt(int entry, std::uint64_t incarnation, AttemptId attempt, TransportFailure failure, Duration delay)
{
    m_network.after(delay, [this, entry, incarnation, attempt, failure] {
        withEntry(entry, incarnation, [this, attempt, failure](EntryProcess &process) {
            process.pipeline->onAttemptFailed(attempt, failure, m_network.now());
        });
    });
}

void DispatchWorld::perform(EntryProcess &entry, SendAttempt &action)
{
    const int target = std::stoi(action.address);
    AgentProcess &agent = agentAt(target);
    const AttemptId id = action.message.id;
    notifyStep(RequestStep::Send, target);
    const MessageFault fault = m_messageFault;
    if (agent.dead) {
        failAttempt(entry.index, entry.incarnation, id, TransportFailure::NotSent, disconnectNoticeDelay);
        return;
    }
    // The connection reaches the process that currently has the address.
    const std::uint64_t targetIncarnation = agent.incarnation;
    sendMessage(fault, entry.index, target,
                [this, target, targetIncarnation, message = action.message, from = entry.index, process = entry.incarnation] {
                    AgentProcess &current = agentAt(target);
                    const bool crossesRestart = current.incarnation != targetIncarnation && m_options.network.duplication > 0;
                    if (current.dead || (current.incarnation != targetIncarnation && !crossesRestart)) {
                        failAttempt(from, process, message.id, TransportFailure::Lost, disconnectNoticeDelay);
                        return;
                    }
                    withAgent(target, current.incarnation, [this, message, from, process](AgentProcess &receiver) {
                        receiver.replyTo[message.id] = from;
                        receiver.replyToIncarnation[message.id] = process;
                        receiver.gate->offer(message, receiver.clock(m_network.now()));
                    });
                });
    // Both peers detect a broken connection eventually; a random delay lets this happen before or after the answer.
    if (fault == MessageFault::Break || m_random.chance(m_options.network.loss)) {
        failAttempt(entry.index, entry.incarnation, id, TransportFailure::Lost, Duration(m_random.below(100000)));
    }
}

void DispatchWorld::perform(EntryProcess &entry, SendRevocation &action)
{
    const int target = std::stoi(action.address);
    const std::uint64_t targetIncarnation = agentAt(target).incarnation;
    m_network.send(m_options.network,
                   [this, target, targetIncarnation, revocation = action.revocation, from = entry.index, process = entry.incarnation] {
                       withAgent(target, targetIncarnation, [this, revocation, from, process](AgentProcess &agent) {
                           const RevocationState state = agent.gate->revoke(revocation, agent.clock(m_network.now()));
                           m_network.send(m_options.network, [this, revocation, from, process, state] {
                               withEntry(from, process, [this, revocation, state](EntryProcess &sender) {
                                   sender.pipeline->onRevocation(revocation.id, state, m_network.now());
                               });
                           });
                       });
                   });
}

void DispatchWorld::perform(EntryProcess &entry, AnswerCaller &action)
{
    const auto known = entry.requests.find(action.request);
    if (known == entry.requests.end()) {
        // The answer may be given while `start` is running, before the handle is registered.
        m_network.after(Duration(0), [this, index = entry.index, incarnation = entry.incarnation, action] {
            withEntry(index, incarnation, [this, action](EntryProcess &process) {
                AnswerCaller copy = action;
                perform(process, copy);
            });
        });
        return;
    }
    TrackedRequest &tracked = m_requests[known->second];
    ++tracked.answers;
    tracked.answer = action.answer;
    tracked.answeredAt = m_network.now();
}

// ---- the store

Duration DispatchWorld::storeDelay()
{
    const bool slow = m_options.slowStoreChance > 0 && m_random.chance(m_options.slowStoreChance);
    return slow ? fromMilliseconds(m_random.below(2000)) : Duration(m_random.below(10000));
}

ClaimResult DispatchWorld::claim(const KeyClaim &claim)
{
    if (m_random.chance(m_options.storeUnavailableChance)) {
        return {ClaimState::StoreUnavailable, {}};
    }
    ClaimRow &row = m_claims[claim.key];
    if (row.holder.empty()) {
        row.holder = claim.holder;
        // The row is written, but the answer is lost and the store can't be read afterwards.
        const bool lost = m_random.chance(m_options.lostStoreAnswerChance);
        return {lost ? ClaimState::StoreUnavailable : ClaimState::Acquired, {}};
    }
    if (row.holder == claim.holder) {
        return {ClaimState::Acquired, {}};
    }
    return row.answer ? ClaimResult{ClaimState::Answered, *row.answer} : ClaimResult{ClaimState::Held, {}};
}

void DispatchWorld::perform(EntryProcess &entry, ClaimKey &action)
{
    notifyStep(RequestStep::Claim, -1);
    m_network.after(storeDelay(), [this, action, index = entry.index, incarnation = entry.incarnation] {
        const ClaimResult result = claim(action.claim);
        withEntry(index, incarnation, [this, action, result](EntryProcess &process) {
            process.pipeline->onClaimResult(action.request, action.claim, result, m_network.now());
        });
    });
}

void DispatchWorld::perform(EntryProcess &, SettleClaim &action)
{
    notifyStep(RequestStep::Settle, -1);
    const auto recordAnswer = [this, action] {
        ClaimRow &row = m_claims[action.claim.key];
        if (row.holder == action.claim.holder) {
            row.answer = action.answer;
        }
    };
    m_options.slowStoreChance > 0 ? m_network.after(storeDelay(), recordAnswer) : recordAnswer();
}

void DispatchWorld::perform(EntryProcess &, ReleaseClaim &action)
{
    ClaimRow &row = m_claims[action.claim.key];
    if (row.holder == action.claim.holder && !row.answer) {
        row = ClaimRow();
    }
}

// ---- backend servers

void DispatchWorld::perform(AgentProcess &agent, ForwardToBackend &action)
{
    const std::string body = *action.message.body;
    notifyStep(RequestStep::Run, agent.index);
    const AttemptId id = action.message.id;
    BackendResult result;
    Duration time = m_options.serviceTime / 2 + Duration(m_random.below(static_cast<std::uint32_t>(m_options.serviceTime.count())));
    if (agent.index == m_options.slowAgent) {
        time = Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * m_options.slowdownFactor));
    }
    if (agent.index == m_options.failingAgent) {
        ++m_totalRuns;
        result.status = 500;
        time = Duration(1000);
    } else if (agent.backendBroken) {
        result.code = ResultCode::BackendUnreachable;
        time = Duration(100);
    } else {
        ++m_runs[body];
        ++m_totalRuns;
        checkRunDeadline(body);
        if (m_random.chance(m_options.backendFailureChance)) {
            result.code = ResultCode::BackendAnswerTruncated;
        } else {
            result.status = 200;
            result.body = std::make_shared<const std::string>(answerTo(body));
        }
    }
    ++agent.runningAtBackend;
    m_network.after(time, [this, id, result, index = agent.index, incarnation = agent.incarnation] {
        withAgent(index, incarnation, [this, id, result](AgentProcess &process) {
            --process.runningAtBackend;
            process.gate->finish(id, result, process.clock(m_network.now()));
        });
    });
}

void DispatchWorld::perform(AgentProcess &agent, SendReply &action)
{
    AttemptReply reply = action.reply;
    notifyStep(RequestStep::Reply, agent.index);
    const MessageFault fault = m_messageFault;
    if (reply.body && (fault == MessageFault::Truncate || m_random.chance(m_options.truncationChance))) {
        reply.body = std::make_shared<const std::string>(reply.body->substr(0, reply.body->size() / 2));
    }
    const int target = agent.replyTo[reply.id];
    const std::uint64_t process = agent.replyToIncarnation[reply.id];
    sendMessage(fault, target, agent.index, [this, target, process, reply] {
        withEntry(target, process, [this, reply](EntryProcess &entry) {
            entry.pipeline->onReply(reply, m_network.now());
        });
    });
    if (fault == MessageFault::Break) {
        failAttempt(target, process, reply.id, TransportFailure::Lost, disconnectNoticeDelay);
    }
    agent.replyTo.erase(reply.id);
}

} // namespace banyanlock
