#pragma once

#include "core/Counters.h"
#include "core/TimerService.h"
#include "dispatch/AgentGate.h"
#include "dispatch/RequestPipeline.h"
#include "support/VirtualNetwork.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// Size and faults of a simulation. A chance is a probability from 0 to 1.
struct DispatchOptions {
    int entries = 2; ///< Number of entries.
    int agents = 4; ///< Number of agents, each with a backend server.
    Duration serviceTime = fromMilliseconds(20); ///< Mean service time of a backend server.
    NetworkFaults network; ///< Network faults of all links.
    double truncationChance = 0; ///< Chance that a reply is truncated in transit.
    double backendFailureChance = 0; ///< Chance that a backend server fails after running a request.
    double storeUnavailableChance = 0; ///< Chance that the store is unavailable for a claim.
    double lostStoreAnswerChance = 0; ///< Chance that the store's answer to a successful claim is lost.
    double slowStoreChance = 0; ///< Chance that an operation on a claim takes up to two seconds.
    std::uint16_t slots = 2; ///< Slots of each backend server.
    AnyRoutingPolicy policy; ///< Routing policy of all entries.
    bool unlimitedRetries = false; ///< Baseline: no retry budget.
    bool orderByArrival = false; ///< Baseline: one queue for all workspaces, without fairness.
    Duration crossRegionDelay{}; ///< Additional one-way delay between regions.
    int slowAgent = -1; ///< Index of the agent with a slow backend server, or -1.
    double slowdownFactor = 1; ///< Factor by which the slow backend server's service time is multiplied.
    int failingAgent = -1; ///< Index of the agent whose backend server answers all requests immediately with an error, or -1.
    std::vector<std::string> outDomains; ///< Failure domains that are out.
};

/// Steps of a request at which faults are injected.
enum class RequestStep : std::uint8_t {
    Claim, ///< The idempotency key is claimed.
    Send, ///< The attempt is sent to the agent.
    Run, ///< The backend server runs the request.
    Reply, ///< The agent replies.
    Settle, ///< The answer is recorded under the key.
    Count,
};

/// Fault of a single message.
enum class MessageFault : std::uint8_t {
    None,
    Lose,
    Delay, ///< The message arrives after every deadline.
    Duplicate,
    Break, ///< The message and its connection are lost, which the entry detects.
    Truncate,
};

/// A request as seen by its caller.
struct TrackedRequest {
    std::string body; ///< Body, unique except for repeats with the same key.
    std::string workspace; ///< Workspace of the request.
    std::string key; ///< Idempotency key; may be empty.
    bool idempotent = false; ///< Whether it may run more than once.
    int entry = 0; ///< Index of the entry that received the request.
    std::uint64_t entryIncarnation = 0; ///< Incarnation of the entry's process.
    std::optional<CallerAnswer> answer; ///< Last answer, if any.
    int answers = 0; ///< Number of answers received.
    TimePoint sentAt{}; ///< Time at which the request was sent.
    TimePoint deadline{}; ///< Deadline of the answer.
    TimePoint answeredAt{}; ///< Time of the answer.
};

/// Simulation of entries, agents and backend servers in virtual time, with faults of processes, network and store. Violated invariants are
/// collected as text.
class DispatchWorld
{
public:
    /// @param seed Seed of the random source.
    /// @param options Size and faults.
    DispatchWorld(std::uint64_t seed, const DispatchOptions &options);

    ~DispatchWorld();

    /// Sends a request to an entry.
    /// @param entry Index of the entry.
    /// @param idempotent Whether it may run more than once.
    /// @param key Idempotency key; may be empty.
    /// @param timeout Timeout for the answer.
    void request(int entry, bool idempotent, const std::string &key, Duration timeout);

    /// Sends a request of a workspace to an entry.
    /// @param workspace The workspace.
    /// @param entry Index of the entry.
    /// @param idempotent Whether it may run more than once.
    /// @param key Idempotency key; may be empty.
    /// @param timeout Timeout for the answer.
    void requestOf(const std::string &workspace, int entry, bool idempotent, const std::string &key, Duration timeout);

    /// Kills an entry and starts a replacement process.
    /// @param entry Index of the entry.
    void restartEntry(int entry);

    /// Kills an agent and starts a replacement process.
    /// @param agent Index of the agent.
    void restartAgent(int agent);

    /// Stops an agent gracefully and starts a replacement process when it has stopped.
    /// @param agent Index of the agent.
    void drainAgent(int agent);

    /// Suspends an entry; its messages are delivered when it resumes.
    /// @param entry Index of the entry.
    /// @param length Duration of the fault.
    void freezeEntry(int entry, Duration length);

    /// Suspends an agent; its messages are delivered when it resumes.
    /// @param agent Index of the agent.
    /// @param length Duration of the fault.
    void freezeAgent(int agent, Duration length);

    /// Makes a backend server refuse connections for a time.
    /// @param agent Index of its agent.
    /// @param length Duration of the fault.
    void breakBackend(int agent, Duration length);

    /// Sets a hook that is called when a request reaches a step. The hook may set a fault for the step's message.
    /// @param hook Receives the step and the index of the agent concerned, or -1.
    void setStepHook(std::function<void(RequestStep, int)> hook)
    {
        m_stepHook = std::move(hook);
    }

    /// Sets the fault of the current step's message. To be called from the step hook.
    /// @param fault Fault of the message.
    void setMessageFault(MessageFault fault)
    {
        m_messageFault = fault;
    }

    /// Runs a function right after the current event.
    /// @param event Function to run.
    void defer(std::function<void()> event)
    {
        m_network.after(Duration(0), std::move(event));
    }

    /// Changes the network faults of all links.
    /// @param faults New faults.
    void setNetwork(const NetworkFaults &faults)
    {
        m_options.network = faults;
    }

    /// @return Size and faults of the simulation; the faults may be changed.
    DispatchOptions &options()
    {
        return m_options;
    }

    /// Advances the virtual time and runs all events until then.
    /// @param length Duration to advance by.
    void run(Duration length);

    /// Checks the invariants of all requests since the start.
    void checkInvariants();

    /// @return Descriptions of all violations.
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

    /// @return All requests.
    const std::vector<TrackedRequest> &requests() const
    {
        return m_requests;
    }

    /// @param body Body of a request.
    /// @return Number of times that backend servers have run the request.
    int runsOf(const std::string &body) const;

    /// @return Counters shared by all processes.
    const Counters &counters() const
    {
        return m_counters;
    }

    /// @return Number of requests run by all backend servers.
    std::uint64_t totalRuns() const
    {
        return m_totalRuns;
    }

    /// @return Random source of the simulation.
    Random &random()
    {
        return m_random;
    }

private:
    struct EntryProcess;
    struct AgentProcess;

    EntryProcess &entryAt(int index) const;
    AgentProcess &agentAt(int index) const;
    void startEntry(int index);
    void startAgent(int index);
    void announceAll(int index, std::uint64_t incarnation);
    void withEntry(int index, std::uint64_t incarnation, const std::function<void(EntryProcess &)> &event);
    void withAgent(int index, std::uint64_t incarnation, const std::function<void(AgentProcess &)> &event);
    void performActions(EntryProcess &entry);
    void performActions(AgentProcess &agent);
    void tickEntry(int index, std::uint64_t incarnation);
    void tickAgent(int index, std::uint64_t incarnation);
    void perform(EntryProcess &entry, SendAttempt &action);
    void perform(EntryProcess &entry, SendRevocation &action);
    void perform(EntryProcess &entry, AnswerCaller &action);
    void perform(EntryProcess &entry, ClaimKey &action);
    void perform(EntryProcess &entry, SettleClaim &action);
    void perform(EntryProcess &entry, ReleaseClaim &action);
    void perform(AgentProcess &agent, ForwardToBackend &action);
    void perform(AgentProcess &agent, SendReply &action);
    void failAttempt(int entry, std::uint64_t incarnation, AttemptId attempt, TransportFailure failure, Duration delay);
    Duration storeDelay();
    ClaimResult claim(const KeyClaim &claim);
    void notifyStep(RequestStep step, int agent);
    void sendMessage(MessageFault fault, int entry, int agent, const std::function<void()> &deliver);
    void checkRunDeadline(const std::string &body);
    void reportViolation(const std::string &text);

    struct ClaimRow {
        std::string holder;
        std::optional<CallerAnswer> answer;
    };

    Random m_random;
    DispatchOptions m_options;
    VirtualNetwork m_network;
    Counters m_counters;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_totalRuns = 0;
    std::function<void(RequestStep, int)> m_stepHook;
    MessageFault m_messageFault = MessageFault::None;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
    std::vector<std::unique_ptr<AgentProcess>> m_agents;
    std::vector<std::unique_ptr<EntryProcess>> m_deadEntries;
    std::vector<TrackedRequest> m_requests;
    std::map<std::string, int> m_runs;
    std::map<std::string, ClaimRow> m_claims;
    std::vector<std::string> m_violations;
};

} // namespace banyanlock
