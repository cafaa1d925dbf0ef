#pragma once

#include "core/Counters.h"
#include "dispatch/RequestPipeline.h"
#include "entry/ClaimStore.h"
#include "entry/EntrySettings.h"
#include "http/HttpServer.h"
#include "rpc/RpcNode.h"
#include "runtime/EventLoop.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace banyanlock
{

/// I/O layer of the request pipeline: accepts requests from callers over HTTP and forwards attempts to agents over RPC.
class RequestService
{
public:
    /// @param settings Settings of the entry.
    /// @param incarnation Incarnation of the entry.
    /// @param policy Routing policy.
    /// @param loop Event loop to run on.
    /// @param rpc RPC node for calls to agents.
    /// @param claims Store of idempotency keys.
    /// @param counters Counters.
    RequestService(const EntrySettings &settings, std::uint64_t incarnation, AnyRoutingPolicy policy, EventLoop &loop, RpcNode &rpc,
                   ClaimStore &claims, Counters &counters);

    /// Handles `POST /v1/services/{service}/requests`.
    /// @param service Name of the service, from the path.
    /// @param request The request.
    /// @param respond Sends the response.
    void handle(const std::string &service, const ServerRequest &request, HttpServer::Responder respond);

    /// Executes the pending actions of the pipeline.
    void flush();

    /// @return The pipeline.
    RequestPipeline &pipeline()
    {
        return m_pipeline;
    }

private:
    Result<CallerRequest> parse(const std::string &service, const ServerRequest &request) const;
    void execute(SendAttempt &action);
    void execute(SendRevocation &action);
    void execute(AnswerCaller &action);
    void execute(ClaimKey &action);
    void execute(SettleClaim &action);
    void execute(ReleaseClaim &action);

    const EntrySettings &m_settings;
    EventLoop &m_loop;
    RpcNode &m_rpc;
    ClaimStore &m_claims;
    Counters &m_counters;
    RequestPipeline m_pipeline;
    std::unordered_map<RequestHandle, HttpServer::Responder> m_responders;
};

} // namespace banyanlock
