#pragma once

#include "Fault.h"
#include "http/HttpServer.h"

#include <functional>
#include <memory>

namespace banyanlock
{

/// HTTP server of a stand-in with a second port on which its faults are set: `POST /fault?kind=slow&ms=200`.
class StandinServer
{
public:
    /// Acts on a request and makes the answer.
    using Act = std::function<ServerResponse(const ServerRequest &, const Fault &)>;

    /// @param loop Loop to run on.
    /// @param act Acts on a request.
    StandinServer(EventLoop &loop, Act act);

    /// Starts to listen.
    /// @param service Where the service is reached.
    /// @param control Where faults are set.
    /// @return Done, or why listening failed.
    Result<Done> listen(const Endpoint &service, const Endpoint &control);

    /// @return The fault that is set.
    const Fault &fault() const
    {
        return m_fault;
    }

    /// Sets how long every request takes.
    /// @param serviceTime Time from request to answer.
    void setServiceTime(Duration serviceTime)
    {
        m_serviceTime = serviceTime;
    }

    /// Adds a resource to the control port.
    /// @param control Handles requests that are not for `/fault`.
    void setControl(std::function<ServerResponse(const ServerRequest &)> control)
    {
        m_control = std::move(control);
    }

private:
    void handle(const ServerRequest &request, const HttpServer::Responder &respond);
    void handleControl(const ServerRequest &request, const HttpServer::Responder &respond);
    void answer(const ServerRequest &request, const HttpServer::Responder &respond);
    void applyFault(const Fault &fault);

    EventLoop &m_loop;
    Counters m_counters;
    Act m_act;
    std::function<ServerResponse(const ServerRequest &)> m_control;
    Fault m_fault;
    Duration m_serviceTime{};
    Endpoint m_service;
    std::unique_ptr<HttpServer> m_serviceServer;
    HttpServer m_controlServer;
};

} // namespace banyanlock
