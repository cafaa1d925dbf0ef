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

/// Size and faults of a dispatch world.
struct DispatchOptions {
    int entries = 2; ///< Entries.
    int agents = 4; ///< Agents, each with a backend server.
    Duration serviceTime = fromMilliseconds(20); ///< Time that a backend server takes.
    NetworkFaults network; ///< Faults of all links.
    double truncationChance = 0; ///< Chance that a reply is cut short on its way.
    double backendFailureChance = 0; ///< Chance that a backend server fails after it ran a request.
    double storeUnavailableChance = 0; ///< Chance that a claim finds the store down.
    double lostStoreAnswerChance = 0; ///< Chance that the answer of a claim that took effect is lost.
    double slowStoreChance = 0; ///< Chance that an operation on a claim takes up to two seconds.
    std::uint16_t slots = 2; ///< Slots of each backend server.
    AnyRoutingPolicy policy; ///< Routing policy of all entries.
    bool unlimitedRetries = false; ///< Baseline: no retry budget.
    bool orderByArrival = false; ///< Baseline: no fairness between workspaces.
    Duration crossRegionDelay{}; ///< Further delay between regions, one way.
    int slowAgent = -1; ///< Agent whose backend server is slow, or -1.
    double slowdownFactor = 1; ///< Factor of its service time.
    int failingAgent = -1; ///< Agent whose backend server answers everything with an error at once, or -1.
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

/// What happens to one message.
enum class MessageFault : std::uint8_t {
    None,
    Lose,
    Delay, ///< Beyond every deadline.
    Duplicate,
    Break, ///< The message is lost with its connection, which the entry sees.
    Truncate,
};

/// A request as the outside sees it.
struct TrackedRequest {
    std::string body; ///< Unique body.
    std::string workspace; ///< Workspace that asks.
    std::string key; ///< Idempotency key; may be empty.
    bool idempotent = false; ///< Whether it may run more than once.
    int entry = 0; ///< Entry that took it.
    std::uint64_t entryIncarnation = 0; ///< Process of the entry.
    std::optional<CallerAnswer> answer; ///< Answer, when there is one.
    int answers = 0; ///< Answers that came.
    TimePoint sentAt{}; ///< When it was sent.
    TimePoint deadline{}; ///< Until when its answer is wanted.
    TimePoint answeredAt{}; ///< When it was answered.
};

/// Entries, agents and backend servers in virtual time, with everything that can go wrong between them. Violations of the promises are
/// collected as text.
class DispatchWorld
{
public:
    /// @param seed Seed of all chances.
    /// @param options Size and faults.
    DispatchWorld(std::uint64_t seed, const DispatchOptions &options);

    ~DispatchWorld();

    /// Sends a request to an entry.
    /// @param entry Index of the entry.
    /// @param idempotent Whether it may run more than once.
    /// @param key Idempotency key; may be empty.
    /// @param timeout Limit for the answer.
    void request(int entry, bool idempotent, const std::string &key, Duration timeout);

    /// Sends a request of a workspace to an entry.
    /// @param workspace The workspace.
    /// @param entry Index of the entry.
    /// @param idempotent Whether it may run more than once.
    /// @param key Idempotency key; may be empty.
    /// @param timeout Limit for the answer.
    void requestOf(const std::string &workspace, int entry, bool idempotent, const std::string &key, Duration timeout);

    /// Kills an entry and starts a new process in its place.
    /// @param entry Index of the entry.
    void restartEntry(int entry);

    /// Kills an agent and starts a new process in its place.
    /// @param agent Index of the agent.
    void restartAgent(int agent);

    /// Stops an agent gracefully, and starts a new process when it has ended.
    /// @param agent Index of the agent.
    void drainAgent(int agent);

    /// Stops an entry from acting for a while; messages wait.
    /// @param entry Index of the entry.
    /// @param length How long.
    void freezeEntry(int entry, Duration length);

    /// Stops an agent from acting for a while; messages wait.
    /// @param agent Index of the agent.
    /// @param length How long.
    void freezeAgent(int agent, Duration length);

    /// Breaks a backend server so that it takes no connections, for a while.
    /// @param agent Index of its agent.
    /// @param length How long.
    void breakBackend(int agent, Duration length);

    /// Sets what is called when a request reaches a step; it may set a fault for the step's message.
    /// @param hook Called with the step and the agent concerned, or -1.
    void setStepHook(std::function<void(RequestStep, int)> hook)
    {
        m_stepHook = std::move(hook);
    }

    /// Sets what happens to the message of the step that is reported.
    /// @param fault The fault.
    void setMessageFault(MessageFault fault)
    {
        m_messageFault = fault;
    }

    /// Runs something right after the current event.
    /// @param event What to run.
    void defer(std::function<void()> event)
    {
        m_network.after(Duration(0), std::move(event));
    }

    /// Changes the faults of all links.
    /// @param faults New faults.
    void setNetwork(const NetworkFaults &faults)
    {
        m_options.network = faults;
    }

    /// @return The faults that are set.
    DispatchOptions &options()
    {
        return m_options;
    }

    /// Lets time pass.
    /// @param length How much.
    void run(Duration length);

    /// Checks the promises over the whole run so far.
    void checkInvariants();

    /// @return What was violated.
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
    /// @return How often a backend server has run it.
    int runsOf(const std::string &body) const;

    /// @return Counters of all processes together.
    const Counters &counters() const
    {
        return m_counters;
    }

    /// @return Runs at all backend servers.
    std::uint64_t totalRuns() const
    {
        return m_totalRuns;
    }

    /// @return Source of all chances.
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
