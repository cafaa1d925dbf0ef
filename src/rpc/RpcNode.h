#pragma once

#include "core/Endpoint.h"
#include "core/Result.h"
#include "core/Time.h"
#include "dispatch/RequestPipeline.h"
#include "rpc/RpcHandlers.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace banyanlock
{

/// Result of a call: the answer or the transport failure.
template <typename Answer> using RpcResult = std::variant<Answer, TransportFailure>;

/// RPC server and client of a process: Cap'n Proto RPC on one thread that runs KJ's event loop.
///
/// Callbacks run on that thread; callers post the results to their own threads. Connections are opened on first use, shared by all calls
/// to an address, and reopened by the next call after they break.
class RpcNode
{
public:
    /// Starts the thread.
    RpcNode();

    /// Ends the thread; calls in flight are dropped without invoking their callbacks.
    ~RpcNode();

    RpcNode(const RpcNode &) = delete;
    RpcNode &operator=(const RpcNode &) = delete;

    /// Serves an agent's RPCs.
    /// @param endpoint Address to listen on.
    /// @param handlers Handlers of the incoming calls.
    /// @return Done, or the error if listening failed.
    Result<Done> serveAgent(const Endpoint &endpoint, AgentHandlers handlers);

    /// Serves an entry's RPCs.
    /// @param endpoint Address to listen on.
    /// @param handlers Handlers of the incoming calls.
    /// @return Done, or the error if listening failed.
    Result<Done> serveEntry(const Endpoint &endpoint, EntryHandlers handlers);

    /// Serves the RPCs of the agent of a pool's worker.
    /// @param endpoint Address to listen on.
    /// @param handlers Handlers of the incoming calls.
    /// @return Done, or the error if listening failed.
    Result<Done> serveSupervisor(const Endpoint &endpoint, SupervisorHandlers handlers);

    /// Sets the listener that runs on the RPC thread when a connection to an address has ended. Must be set before the first call.
    /// @param listener Called with the address of the ended connection.
    void setDisconnectListener(std::function<void(const std::string &)> listener);

    /// Offers an attempt to an agent.
    /// @param address RPC address of the agent.
    /// @param message The attempt.
    /// @param timeout Time limit for the reply.
    /// @param callback Called once with the reply or the failure.
    void forward(const std::string &address, AttemptMessage message, Duration timeout,
                 std::function<void(RpcResult<AttemptReply>)> callback);

    /// Asks an agent to revoke an attempt.
    /// @param address RPC address of the agent.
    /// @param revocation Attempt to revoke.
    /// @param timeout Time limit for the answer.
    /// @param callback Called once with the answer or the failure.
    void revoke(const std::string &address, const Revocation &revocation, Duration timeout,
                std::function<void(RpcResult<RevocationState>)> callback);

    /// Announces a backend server to an entry.
    /// @param address RPC address of the entry.
    /// @param announcement The announcement.
    /// @param timeout Time limit for the answer.
    /// @param callback Called once with the result.
    void announce(const std::string &address, const Announcement &announcement, Duration timeout,
                  std::function<void(RpcResult<Done>)> callback);

    /// Sends a heartbeat to another entry.
    /// @param address RPC address of the entry.
    /// @param heartbeat The heartbeat.
    /// @param timeout Time limit for the answer.
    /// @param callback Called once with the peer's own heartbeat or the failure.
    void heartbeat(const std::string &address, const PeerHeartbeat &heartbeat, Duration timeout,
                   std::function<void(RpcResult<PeerHeartbeat>)> callback);

    /// Sends a supervision request to the agent of a pool's worker.
    /// @param address RPC address of the agent.
    /// @param request The request.
    /// @param timeout Time limit for the answer.
    /// @param callback Called once with the status or the failure.
    void supervise(const std::string &address, SuperviseRequest request, Duration timeout,
                   std::function<void(RpcResult<WorkerStatus>)> callback);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
