#pragma once

#include "agent/AgentSettings.h"
#include "core/Counters.h"
#include "dispatch/AgentGate.h"
#include "rpc/RpcNode.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <cstdint>
#include <functional>
#include <map>

namespace banyanlock
{

/// Runs an agent: announces its backend server to the entries, admits attempts through the gate, forwards them to the backend server and
/// drains on shutdown.
class AgentDaemon
{
public:
    /// @param settings Validated settings.
    explicit AgentDaemon(AgentSettings settings);

    /// Runs until a graceful shutdown has completed.
    /// @return Done, or the error that prevented the start.
    Result<Done> run();

private:
    AgentHandlers makeHandlers();
    void flush();
    void execute(ForwardToBackend &action);
    void execute(SendReply &action);
    void announce();
    void probeBackend();
    void shutDown();
    void stopWhenIdle();
    static BackendResult makeBackendResult(HttpReply reply);

    AgentSettings m_settings;
    std::uint64_t m_incarnation;
    Counters m_counters;
    EventLoop m_loop;
    HttpClient m_http;
    RpcNode m_rpc;
    AgentGate m_gate;
    std::map<AttemptId, std::function<void(AttemptReply)>> m_replyCallbacks;
    bool m_backendHealthy = true;
    bool m_probeInFlight = false;
};

} // namespace banyanlock
