#include "DispatchWorld.h"

#include "core/Guard.h"
#include "support/Freezable.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration announceInterval = fromMilliseconds(300);
constexpr Duration tickInterval = fromMilliseconds(5);
constexpr Duration expiryInterval = fromMilliseconds(250);
constexpr Duration breakNotice = fromMilliseconds(5); // time until a peer sees that a connection broke

std::string answerTo(const std::string &body)
{
    return "answer to " + body;
}

std::vector<WorkspaceLimits> openLimits()
{
    return {{"quotes", 1e6, 100000, 10}, {"audits", 1e6, 100000, 1}};
}

} // namespace

struct DispatchWorld::EntryProcess : Freezable {
    int index = 0;
    std::uint64_t incarnation = 0;
    TimerService timers;
    TimePoint lastExpiry{};
    std::unique_ptr<RequestPipeline> pipeline;
    std::map<RequestHandle, std::size_t> requests;
};

struct DispatchWorld::AgentProcess : Freezable {
    int index = 0;
    std::uint64_t incarnation = 0;
    Duration clockOffset{};
    std::unique_ptr<AgentGate> gate;
    std::map<AttemptId, int> replyTo;
    std::map<AttemptId, std::uint64_t> replyToIncarnation;
    bool backendBroken = false;
    bool dead = false;
    TimePoint drainingSince{};
    int runningAtBackend = 0;

    TimePoint clock(TimePoint now) const
    {
        return now + clockOffset;
    }
};

DispatchWorld::DispatchWorld(std::uint64_t seed, const DispatchOptions &options)
    : m_random(seed)
    , m_options(options)
    , m_network(m_random)
{
    m_entries.resize(static_cast<std::size_t>(options.entries));
    m_agents.resize(static_cast<std::size_t>(options.agents));
    for (int index = 0; index < options.entries; ++index) {
        startEntry(index);
    }
    for (int index = 0; index < options.agents; ++index) {
        startAgent(index);
    }
    run(fromMilliseconds(20));
}

DispatchWorld::~DispatchWorld() = default;

void DispatchWorld::violate(const std::string &text)
{
    m_violations.push_back(text);
}

void DispatchWorld::run(Duration length)
{
    m_network.runUntil(m_network.now() + length);
}

// ---- processes

void DispatchWorld::startEntry(int index)
{
    auto entry = std::make_unique<EntryProcess>();
    entry->index = index;
    entry->incarnation = ++m_lastIncarnation;
    PipelineLimits limits;
    limits.failureDomain = "fd-" + std::to_string(index % 3);
    limits.region = "region-" + std::to_string(index % 3);
    limits.entryIncarnation = entry->incarnation;
    limits.unlimitedRetries = m_options.unlimitedRetries;
    limits.orderByArrival = m_options.orderByArrival;
    entry->pipeline = std::make_unique<RequestPipeline>(limits, m_options.policy, entry->timers, m_counters);
    entry->pipeline->configure(openLimits(), m_options.outDomains, m_network.now());
    const std::uint64_t incarnation = entry->incarnation;
    m_entries[static_cast<std::size_t>(index)] = std::move(entry);
    tickEntry(index, incarnation);
}

void DispatchWorld::startAgent(int index)
{
    auto agent = std::make_unique<AgentProcess>();
    agent->index = index;
    agent->incarnation = ++m_lastIncarnation;
    agent->clockOffset = fromMilliseconds(m_random.below(1000000));
    GateLimits limits;
    limits.incarnation = agent->incarnation;
    limits.slots = m_options.slots;
    agent->gate = std::make_unique<AgentGate>(limits, m_counters);
    const std::uint64_t incarnation = agent->incarnation;
    m_agents[static_cast<std::size_t>(index)] = std::move(agent);
    announceAll(index, incarnation);
    tickAgent(index, incarnation);
}

void DispatchWorld::withEntry(int index, std::uint64_t incarnation, const std::function<void(EntryProcess &)> &event)
{
    EntryProcess &entry = *m_entries[static_cast<std::size_t>(index)];
    if (entry.incarnation != incarnation) {
        return;
    }
    if (entry.isFrozen(m_network.now())) {
        entry.keep([this, index, incarnation, event] {
            withEntry(index, incarnation, event);
        });
        return;
    }
    // As in the daemons, deadlines that passed go before messages that waited.
    entry.timers.advanceTo(m_network.now());
    settle(entry);
    event(entry);
    settle(entry);
}

void DispatchWorld::withAgent(int index, std::uint64_t incarnation, const std::function<void(AgentProcess &)> &event)
{
    AgentProcess &agent = *m_agents[static_cast<std::size_t>(index)];
    if (agent.incarnation != incarnation || agent.dead) {
        return;
    }
    if (agent.isFrozen(m_network.now())) {
        agent.keep([this, index, incarnation, event] {
            withAgent(index, incarnation, event);
        });
        return;
    }
    event(agent);
    settle(agent);
}

void DispatchWorld::tickEntry(int index, std::uint64_t incarnation)
{
    withEntry(index, incarnation, [this](EntryProcess &entry) {
        if (m_network.now() - entry.lastExpiry >= expiryInterval) {
            entry.lastExpiry = m_network.now();
            entry.pipeline->expireMembers(m_network.now());
        }
    });
    m_network.after(tickInterval, [this, index, incarnation] {
        if (m_entries[static_cast<std::size_t>(index)]->incarnation == incarnation) {
            tickEntry(index, incarnation);
        }
    });
}

void DispatchWorld::tickAgent(int index, std::uint64_t incarnation)
{
    withAgent(index, incarnation, [this](AgentProcess &agent) {
        agent.gate->expire(agent.clock(m_network.now()));
        if (agent.gate->mayStop()) {
            if (agent.runningAtBackend > 0) {
                violate("a planned stop cut off a request in progress");
            }
            agent.dead = true;
        }
    });
    m_network.after(tickInterval, [this, index, incarnation] {
        AgentProcess &agent = *m_agents[static_cast<std::size_t>(index)];
        if (agent.incarnation != incarnation) {
            return;
        }
        if (agent.dead) {
            startAgent(index);
            return;
        }
        tickAgent(index, incarnation);
    });
}

void DispatchWorld::announceAll(int index, std::uint64_t incarnation)
{
    withAgent(index, incarnation, [this, index](AgentProcess &agent) {
        Announcement announcement;
        announcement.agent = "agent-" + std::to_string(index);
        announcement.incarnation = agent.incarnation;
        announcement.service = "quote";
        announcement.address = std::to_string(index);
        announcement.failureDomain = "fd-" + std::to_string(index % 3);
        announcement.region = "region-" + std::to_string(index % 3);
        announcement.slots = m_options.slots;
        announcement.queueSlots = 2;
        announcement.load = agent.gate->load(agent.clock(m_network.now()));
        announcement.leaving = agent.gate->isDraining();
        for (const std::unique_ptr<EntryProcess> &entry : m_entries) {
            m_network.send(m_options.network, [this, target = entry->index, process = entry->incarnation, announcement] {
                withEntry(target, process, [this, announcement](EntryProcess &heard) {
                    heard.pipeline->announce(announcement, m_network.now());
                });
            });
        }
    });
    m_network.after(announceInterval, [this, index, incarnation] {
        if (m_agents[static_cast<std::size_t>(index)]->incarnation == incarnation) {
            announceAll(index, incarnation);
        }
    });
}

// ---- faults

void DispatchWorld::restartEntry(int entry)
{
    m_deadEntries.push_back(std::move(m_entries[static_cast<std::size_t>(entry)]));
    startEntry(entry);
}

void DispatchWorld::restartAgent(int agent)
{
    // The entries see their connections break.
    for (const std::unique_ptr<EntryProcess> &entry : m_entries) {
        m_network.after(breakNotice, [this, agent, index = entry->index, incarnation = entry->incarnation] {
            withEntry(index, incarnation, [agent](EntryProcess &noticing) {
                noticing.pipeline->onDisconnected(std::to_string(agent));
            });
        });
    }
    AgentProcess &process = *m_agents[static_cast<std::size_t>(agent)];
    for (const auto &[id, entry] : process.replyTo) {
        failAttempt(entry, process.replyToIncarnation[id], id, TransportFailure::Lost, breakNotice);
    }
    startAgent(agent);
}

void DispatchWorld::drainAgent(int agent)
{
    AgentProcess &process = *m_agents[static_cast<std::size_t>(agent)];
    withAgent(agent, process.incarnation, [this](AgentProcess &draining) {
        draining.gate->drain();
        draining.drainingSince = m_network.now();
    });
}

void DispatchWorld::freezeEntry(int entry, Duration length)
{
    EntryProcess &process = *m_entries[static_cast<std::size_t>(entry)];
    process.freeze(m_network.now() + length);
    m_network.after(length, [this, entry, incarnation = process.incarnation] {
        EntryProcess &thawed = *m_entries[static_cast<std::size_t>(entry)];
        if (thawed.incarnation == incarnation) {
            thawed.thaw();
        }
    });
}

void DispatchWorld::freezeAgent(int agent, Duration length)
{
    AgentProcess &process = *m_agents[static_cast<std::size_t>(agent)];
    process.freeze(m_network.now() + length);
    m_network.after(length, [this, agent, incarnation = process.incarnation] {
        AgentProcess &thawed = *m_agents[static_cast<std::size_t>(agent)];
        if (thawed.incarnation == incarnation) {
            thawed.thaw();
        }
    });
}

void DispatchWorld::breakBackend(int agent, Duration length)
{
    AgentProcess &process = *m_agents[static_cast<std::size_t>(agent)];
    process.backendBroken = true;
    m_network.after(length, [this, agent, incarnation = process.incarnation] {
        AgentProcess &mended = *m_agents[static_cast<std::size_t>(agent)];
        if (mended.incarnation == incarnation) {
            mended.backendBroken = false;
        }
    });
}

// ---- requests

void DispatchWorld::reach(RequestStep step, int agent)
{
    m_messageFault = MessageFault::None;
    if (m_stepHook) {
        m_stepHook(step, agent);
    }
}

void DispatchWorld::sendMessage(MessageFault fault, int entry, int agent, const std::function<void()> &deliver)
{
    const Duration distance = entry % 3 == agent % 3 ? Duration::zero() : m_options.crossRegionDelay;
    const auto travel = [this, distance, deliver] {
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
        travel();
        travel();
        break;
    default:
        travel();
        break;
    }
}

void DispatchWorld::request(int entry, bool idempotent, const std::string &key, Duration timeout)
{
    requestOf(m_requests.size() % 3 == 0 ? "audits" : "quotes", entry, idempotent, key, timeout);
}

void DispatchWorld::requestOf(const std::string &workspace, int entry, bool idempotent, const std::string &key, Duration timeout)
{
    EntryProcess &process = *m_entries[static_cast<std::size_t>(entry)];
    const std::size_t number = m_requests.size();
    TrackedRequest tracked;
    // Repeats with one key carry the same body, as a caller's would.
    tracked.body = key.empty() ? "request-" + std::to_string(number) : "keyed-" + key;
    tracked.workspace = workspace;
    tracked.key = key;
    tracked.idempotent = idempotent;
    tracked.entry = entry;
    tracked.entryIncarnation = process.incarnation;
    tracked.sentAt = m_network.now();
    m_requests.push_back(tracked);
    withEntry(entry, process.incarnation, [this, number, tracked, timeout](EntryProcess &taking) {
        // The deadline counts from when the entry reads the request, which a frozen entry does late.
        m_requests[number].deadline = m_network.now() + timeout;
        CallerRequest caller;
        caller.workspace = tracked.workspace;
        caller.service = "quote";
        caller.body = std::make_shared<const std::string>(tracked.body);
        caller.idempotent = tracked.idempotent;
        caller.idempotencyKey = tracked.key;
        caller.timeout = timeout;
        const RequestHandle handle = taking.pipeline->start(std::move(caller), m_network.now());
        taking.requests[handle] = number;
    });
}

void DispatchWorld::settle(EntryProcess &entry)
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

void DispatchWorld::settle(AgentProcess &agent)
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
    AgentProcess &agent = *m_agents[static_cast<std::size_t>(target)];
    const AttemptId id = action.message.id;
    reach(RequestStep::Send, target);
    const MessageFault fault = m_messageFault;
    if (agent.dead) {
        failAttempt(entry.index, entry.incarnation, id, TransportFailure::NotSent, breakNotice);
        return;
    }
    // The connection reaches whichever process has the address now.
    const std::uint64_t reached = agent.incarnation;
    sendMessage(fault, entry.index, target,
                [this, target, reached, message = action.message, from = entry.index, process = entry.incarnation] {
                    AgentProcess &current = *m_agents[static_cast<std::size_t>(target)];
                    const bool crossesRestart = current.incarnation != reached && m_options.network.duplication > 0;
                    if (current.dead || (current.incarnation != reached && !crossesRestart)) {
                        failAttempt(from, process, message.id, TransportFailure::Lost, breakNotice);
                        return;
                    }
                    withAgent(target, current.incarnation, [this, message, from, process](AgentProcess &offered) {
                        offered.replyTo[message.id] = from;
                        offered.replyToIncarnation[message.id] = process;
                        offered.gate->offer(message, offered.clock(m_network.now()));
                    });
                });
    // A broken connection is seen by both ends in the end; whether before or after the answer is a matter of chance.
    if (fault == MessageFault::Break || m_random.chance(m_options.network.loss)) {
        failAttempt(entry.index, entry.incarnation, id, TransportFailure::Lost, Duration(m_random.below(100000)));
    }
}

void DispatchWorld::perform(EntryProcess &entry, SendRevocation &action)
{
    const int target = std::stoi(action.address);
    const std::uint64_t reached = m_agents[static_cast<std::size_t>(target)]->incarnation;
    m_network.send(m_options.network,
                   [this, target, reached, revocation = action.revocation, from = entry.index, process = entry.incarnation] {
                       withAgent(target, reached, [this, revocation, from, process](AgentProcess &agent) {
                           const RevocationState state = agent.gate->revoke(revocation, agent.clock(m_network.now()));
                           m_network.send(m_options.network, [this, revocation, from, process, state] {
                               withEntry(from, process, [this, revocation, state](EntryProcess &asking) {
                                   asking.pipeline->onRevocation(revocation.id, state, m_network.now());
                               });
                           });
                       });
                   });
}

void DispatchWorld::perform(EntryProcess &entry, AnswerCaller &action)
{
    const auto known = entry.requests.find(action.request);
    if (known == entry.requests.end()) {
        // The answer may come while `start` still runs.
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

ClaimResult DispatchWorld::claim(const KeyClaim &claim)
{
    if (m_random.chance(m_options.storeDown)) {
        return {ClaimState::StoreUnavailable, {}};
    }
    ClaimRow &row = m_claims[claim.key];
    if (row.holder.empty()) {
        row.holder = claim.holder;
        // The row was written although the answer is lost and the store can't be read afterwards.
        const bool lost = m_random.chance(m_options.storeLosesAnswer);
        return {lost ? ClaimState::StoreUnavailable : ClaimState::Acquired, {}};
    }
    if (row.holder == claim.holder) {
        return {ClaimState::Acquired, {}};
    }
    return row.answer ? ClaimResult{ClaimState::Answered, *row.answer} : ClaimResult{ClaimState::Held, {}};
}

void DispatchWorld::perform(EntryProcess &entry, ClaimKey &action)
{
    reach(RequestStep::Claim, -1);
    const Duration delay(m_random.below(10000));
    m_network.after(delay, [this, action, index = entry.index, incarnation = entry.incarnation] {
        const ClaimResult result = claim(action.claim);
        withEntry(index, incarnation, [this, action, result](EntryProcess &process) {
            process.pipeline->onClaim(action.request, result, m_network.now());
        });
    });
}

void DispatchWorld::perform(EntryProcess &, SettleClaim &action)
{
    reach(RequestStep::Settle, -1);
    ClaimRow &row = m_claims[action.claim.key];
    if (row.holder == action.claim.holder) {
        row.answer = action.answer;
    }
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
    reach(RequestStep::Run, agent.index);
    const AttemptId id = action.message.id;
    BackendResult result;
    Duration time = m_options.serviceTime / 2 + Duration(m_random.below(static_cast<std::uint32_t>(m_options.serviceTime.count())));
    if (agent.index == m_options.slowAgent) {
        time = Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * m_options.slowness));
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
        observeRun(body);
        if (m_random.chance(m_options.backendFailure)) {
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
    reach(RequestStep::Reply, agent.index);
    const MessageFault fault = m_messageFault;
    if (reply.body && (fault == MessageFault::Truncate || m_random.chance(m_options.truncation))) {
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
        failAttempt(target, process, reply.id, TransportFailure::Lost, breakNotice);
    }
    agent.replyTo.erase(reply.id);
}

// ---- promises

void DispatchWorld::observeRun(const std::string &body)
{
    // Only repeats with a key share a body; others are found by their number.
    TimePoint latest{};
    if (body.starts_with("request-")) {
        latest = m_requests[std::stoul(body.substr(8))].deadline;
        if (m_network.now() > latest) {
            violate(body + " started after its deadline");
        }
        return;
    }
    for (const TrackedRequest &request : m_requests) {
        latest = request.body == body ? std::max(latest, request.deadline) : latest;
    }
    if (m_network.now() > latest) {
        violate(body + " started after its deadline");
    }
}

int DispatchWorld::runsOf(const std::string &body) const
{
    const auto runs = m_runs.find(body);
    return runs == m_runs.end() ? 0 : runs->second;
}

void DispatchWorld::check()
{
    std::map<std::string, bool> keyMayHaveRun;
    for (const TrackedRequest &request : m_requests) {
        if (!request.key.empty() && (!request.answer || request.answer->outcome != Outcome::NotRun)) {
            keyMayHaveRun[request.key] = true;
        }
    }
    for (const TrackedRequest &request : m_requests) {
        const int runs = runsOf(request.body);
        if (!request.idempotent && runs > 1) {
            violate(request.body + " is not idempotent and ran " + std::to_string(runs) + " times");
        }
        const bool entryLives = m_entries[static_cast<std::size_t>(request.entry)]->incarnation == request.entryIncarnation;
        if (request.answers > 1 || (entryLives && request.answers == 0)) {
            violate(request.body + " got " + std::to_string(request.answers) + " answers");
        }
        if (!request.answer) {
            continue;
        }
        const bool othersMayHaveRun = !request.key.empty() && keyMayHaveRun[request.key];
        if (request.answer->outcome == Outcome::NotRun && runs > 0 && !othersMayHaveRun) {
            violate(request.body + " was refused as not run with code " + std::to_string(static_cast<int>(request.answer->code))
                    + ", but ran");
        }
        if (request.answer->outcome == Outcome::Answered && (!request.answer->body || *request.answer->body != answerTo(request.body))) {
            violate(request.body + " got another answer: " + (request.answer->body ? *request.answer->body : "(none)"));
        }
    }
}

} // namespace banyanlock
