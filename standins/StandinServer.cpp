#include "StandinServer.h"

#include "core/SettingKey.h"

#include <iostream>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;

ServerResponse unavailable()
{
    ServerResponse response;
    response.status = statusUnavailable;
    response.closeConnection = true;
    return response;
}

} // namespace

StandinServer::StandinServer(EventLoop &loop, Act act)
    : m_loop(loop)
    , m_act(std::move(act))
    , m_controlServer(loop, {}, m_counters, [this](const ServerRequest &request, const HttpServer::Responder &respond) {
        handleControl(request, respond);
    })
{
}

Result<Done> StandinServer::listen(const Endpoint &service, const Endpoint &control)
{
    m_service = service;
    m_serviceServer = std::make_unique<HttpServer>(m_loop, HttpServerLimits(), m_counters,
                                                   [this](const ServerRequest &request, const HttpServer::Responder &respond) {
                                                       handle(request, respond);
                                                   });
    Result<Done> listening = m_controlServer.listen(control);
    return isOk(listening) ? m_serviceServer->listen(service) : listening;
}

void StandinServer::handle(const ServerRequest &request, const HttpServer::Responder &respond)
{
    switch (m_fault.kind) {
    case FaultKind::Down:
        respond(unavailable());
        return;
    case FaultKind::Frozen:
        // The request's time limit closes the connection later.
        return;
    default:
        break;
    }
    const Duration delay = m_serviceTime + (m_fault.kind == FaultKind::Slow ? m_fault.delay : Duration::zero());
    if (delay == Duration::zero()) {
        answer(request, respond);
        return;
    }
    m_loop.timers().subscribe(EventLoop::now() + delay, [this, request, respond](TimePoint) {
        answer(request, respond);
    });
}

void StandinServer::answer(const ServerRequest &request, const HttpServer::Responder &respond)
{
    ServerResponse response = m_act(request, m_fault);
    const bool losesAnswer = m_fault.kind == FaultKind::LoseAnswer && request.method != "GET";
    response.truncateBody = response.truncateBody || losesAnswer;
    respond(std::move(response));
}

void StandinServer::handleControl(const ServerRequest &request, const HttpServer::Responder &respond)
{
    if (request.path != "/fault") {
        respond(m_control ? m_control(request) : ServerResponse{statusBadRequest, "", nullptr, {}, false, false});
        return;
    }
    Fault fault;
    std::int64_t milliseconds = 0;
    const std::string delay = request.parameter("ms");
    const bool good = faultFromName(request.parameter("kind"), fault.kind) && (delay.empty() || parseSettingNumber(delay, milliseconds));
    fault.delay = fromMilliseconds(milliseconds);
    if (good) {
        applyFault(fault);
    }
    ServerResponse response;
    response.status = good ? 200 : statusBadRequest;
    respond(std::move(response));
}

void StandinServer::applyFault(const Fault &fault)
{
    const bool wasDown = m_fault.kind == FaultKind::Down;
    m_fault = fault;
    if (fault.kind == FaultKind::Down && !wasDown) {
        m_serviceServer->stopListening();
    } else if (wasDown && fault.kind != FaultKind::Down) {
        const Result<Done> listening = m_serviceServer->listen(m_service);
        if (!isOk(listening)) {
            std::cerr << errorOf(listening).detail << "\n";
        }
    }
}

} // namespace banyanlock
