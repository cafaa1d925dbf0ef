#include "DispatchProcesses.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration announceInterval = fromMilliseconds(300);
constexpr Duration tickInterval = fromMilliseconds(5);
constexpr Duration expiryInterval = fromMilliseconds(250);

std::vector<WorkspaceLimits> unlimitedWorkspaces()
{
    return {{"quotes", 1e6, 100000, 10}, {"audits", 1e6, 100000, 1}};
}

} // namespace

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

void DispatchWorld::reportViolation(const std::string &text)
{
    m_violations.push_back(text);
}

void DispatchWorld::run(Duration length)
{
    m_network.runUntil(m_network.now() + length);
}

// ---- processes

DispatchWorld::EntryProcess &DispatchWorld::entryAt(int index) const
{
    return *m_entries[static_cast<std::size_t>(index)];
}

DispatchWorld::AgentProcess &DispatchWorld::agentAt(int index) const
{
    return *m_agents[static_cast<std::size_t>(index)];
}

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
    entry->pipeline->configure(unlimitedWorkspaces(), m_options.outDomains, m_network.now());
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
    EntryProcess &entry = entryAt(index);
    if (entry.incarnation != incarnation) {
        return;
    }
    const bool deferred = entry.keepIfFrozen(m_network.now(), [this, index, incarnation, event] {
        withEntry(index, incarnation, event);
    });
    if (deferred) {
        return;
    }
    // As in the daemons, expired timers run before delayed messages.
    entry.timers.advanceTo(m_network.now());
    performActions(entry);
    event(entry);
    performActions(entry);
}

void DispatchWorld::withAgent(int index, std::uint64_t incarnation, const std::function<void(AgentProcess &)> &event)
{
    AgentProcess &agent = agentAt(index);
    if (agent.incarnation != incarnation || agent.dead) {
        return;
    }
    const bool deferred = agent.keepIfFrozen(m_network.now(), [this, index, incarnation, event] {
        withAgent(index, incarnation, event);
    });
    if (deferred) {
        return;
    }
    event(agent);
    performActions(agent);
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
        if (entryAt(index).incarnation == incarnation) {
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
                reportViolation("a graceful stop interrupted a request in progress");
            }
            agent.dead = true;
        }
    });
    m_network.after(tickInterval, [this, index, incarnation] {
        AgentProcess &agent = agentAt(index);
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
                withEntry(target, process, [this, announcement](EntryProcess &receiver) {
                    receiver.pipeline->onAnnouncement(announcement, m_network.now());
                });
            });
        }
    });
    m_network.after(announceInterval, [this, index, incarnation] {
        if (agentAt(index).incarnation == incarnation) {
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
    // The entries detect the broken connections.
    for (const std::unique_ptr<EntryProcess> &entry : m_entries) {
        m_network.after(disconnectNoticeDelay, [this, agent, index = entry->index, incarnation = entry->incarnation] {
            withEntry(index, incarnation, [agent](EntryProcess &receiver) {
                receiver.pipeline->onDisconnected(std::to_string(agent));
            });
        });
    }
    AgentProcess &process = agentAt(agent);
    for (const auto &[id, entry] : process.replyTo) {
        failAttempt(entry, process.replyToIncarnation[id], id, TransportFailure::Lost, disconnectNoticeDelay);
    }
    startAgent(agent);
}

void DispatchWorld::drainAgent(int agent)
{
    AgentProcess &process = agentAt(agent);
    withAgent(agent, process.incarnation, [this](AgentProcess &target) {
        target.gate->drain();
        target.drainingSince = m_network.now();
    });
}

void DispatchWorld::freezeEntry(int entry, Duration length)
{
    freezeFor(m_network, length, [this, entry, incarnation = entryAt(entry).incarnation]() -> Freezable * {
        return entryAt(entry).incarnation == incarnation ? &entryAt(entry) : nullptr;
    });
}

void DispatchWorld::freezeAgent(int agent, Duration length)
{
    freezeFor(m_network, length, [this, agent, incarnation = agentAt(agent).incarnation]() -> Freezable * {
        return agentAt(agent).incarnation == incarnation ? &agentAt(agent) : nullptr;
    });
}

void DispatchWorld::breakBackend(int agent, Duration length)
{
    AgentProcess &process = agentAt(agent);
    process.backendBroken = true;
    m_network.after(length, [this, agent, incarnation = process.incarnation] {
        AgentProcess &recovered = agentAt(agent);
        if (recovered.incarnation == incarnation) {
            recovered.backendBroken = false;
        }
    });
}

// ---- invariants

void DispatchWorld::checkRunDeadline(const std::string &body)
{
    // Only repeats with a key share a body; the body of another request contains its index.
    TimePoint latest{};
    if (body.starts_with("request-")) {
        latest = m_requests[std::stoul(body.substr(8))].deadline;
        if (m_network.now() > latest) {
            reportViolation(body + " started after its deadline");
        }
        return;
    }
    for (const TrackedRequest &request : m_requests) {
        latest = request.body == body ? std::max(latest, request.deadline) : latest;
    }
    if (m_network.now() > latest) {
        reportViolation(body + " started after its deadline");
    }
}

int DispatchWorld::runsOf(const std::string &body) const
{
    const auto runs = m_runs.find(body);
    return runs == m_runs.end() ? 0 : runs->second;
}

void DispatchWorld::checkInvariants()
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
            reportViolation(request.body + " is not idempotent and ran " + std::to_string(runs) + " times");
        }
        const bool entryLives = entryAt(request.entry).incarnation == request.entryIncarnation;
        if (request.answers > 1 || (entryLives && request.answers == 0)) {
            reportViolation(request.body + " got " + std::to_string(request.answers) + " answers");
        }
        if (!request.answer) {
            continue;
        }
        const bool othersMayHaveRun = !request.key.empty() && keyMayHaveRun[request.key];
        if (request.answer->outcome == Outcome::NotRun && runs > 0 && !othersMayHaveRun) {
            reportViolation(request.body + " was refused as not run with code " + std::to_string(static_cast<int>(request.answer->code))
                            + ", but ran");
        }
        if (request.answer->outcome == Outcome::Answered && (!request.answer->body || *request.answer->body != answerTo(request.body))) {
            reportViolation(request.body + " got a wrong answer: " + (request.answer->body ? *request.answer->body : "(none)"));
        }
    }
}

} // namespace banyanlock
