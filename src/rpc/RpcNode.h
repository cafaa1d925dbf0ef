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

/// Result of a call: the answer, or how the transport failed.
template <typename Answer> using RpcResult = std::variant<Answer, TransportFailure>;

/// Serves and makes calls between the processes: Cap'n Proto RPC on one thread with KJ's event loop.
///
/// Callbacks run on that thread; callers move them to theirs. Connections are made when first needed, shared by all calls to an address,
/// and made anew after they break.
class RpcNode
{
public:
    /// Starts the thread.
    RpcNode();

    /// Ends the thread; calls under way are dropped without calling back.
    ~RpcNode();

    RpcNode(const RpcNode &) = delete;
    RpcNode &operator=(const RpcNode &) = delete;

    /// Serves an agent's calls.
    /// @param endpoint Where to listen.
    /// @param handlers What to call.
    /// @return Done, or why listening failed.
    Result<Done> serveAgent(const Endpoint &endpoint, AgentHandlers handlers);

    /// Serves an entry's calls.
    /// @param endpoint Where to listen.
    /// @param handlers What to call.
    /// @return Done, or why listening failed.
    Result<Done> serveEntry(const Endpoint &endpoint, EntryHandlers handlers);

    /// Serves the calls to the agent of a pool's worker.
    /// @param endpoint Where to listen.
    /// @param handlers What to call.
    /// @return Done, or why listening failed.
    Result<Done> serveSupervisor(const Endpoint &endpoint, SupervisorHandlers handlers);

    /// Sets what is called, on the RPC thread, when a connection to an address has ended; call before the first call is made.
    /// @param listener Called with the address.
    void setDisconnectListener(std::function<void(const std::string &)> listener);

    /// Offers an attempt to an agent.
    /// @param address RPC address of the agent.
    /// @param message The attempt.
    /// @param timeout Limit for the reply.
    /// @param callback Called once with the reply or the failure.
    void forward(const std::string &address, AttemptMessage message, Duration timeout,
                 std::function<void(RpcResult<AttemptReply>)> callback);

    /// Asks an agent to revoke an attempt.
    /// @param address RPC address of the agent.
    /// @param revocation The attempt.
    /// @param timeout Limit for the answer.
    /// @param callback Called once with the answer or the failure.
    void revoke(const std::string &address, const Revocation &revocation, Duration timeout,
                std::function<void(RpcResult<RevocationState>)> callback);

    /// Announces a backend server to an entry.
    /// @param address RPC address of the entry.
    /// @param announcement The announcement.
    /// @param timeout Limit for the answer.
    /// @param callback Called once with the result.
    void announce(const std::string &address, const Announcement &announcement, Duration timeout,
                  std::function<void(RpcResult<Done>)> callback);

    /// Sends a heartbeat to another entry.
    /// @param address RPC address of the entry.
    /// @param heartbeat The heartbeat.
    /// @param timeout Limit for the answer.
    /// @param callback Called once with the peer's own heartbeat or the failure.
    void heartbeat(const std::string &address, const PeerHeartbeat &heartbeat, Duration timeout,
                   std::function<void(RpcResult<PeerHeartbeat>)> callback);

    /// Calls the agent of a pool's worker.
    /// @param address RPC address of the agent.
    /// @param request The call.
    /// @param timeout Limit for the answer.
    /// @param callback Called once with the status or the failure.
    void supervise(const std::string &address, SuperviseRequest request, Duration timeout,
                   std::function<void(RpcResult<WorkerStatus>)> callback);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
