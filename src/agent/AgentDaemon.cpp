#include "agent/AgentDaemon.h"

#include "core/Incarnation.h"
#include "core/Log.h"

#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration announceTimeout = fromMilliseconds(1000);
constexpr Duration expiryInterval = fromMilliseconds(20);
constexpr Duration probeInterval = fromMilliseconds(500);
constexpr Duration idleCheckInterval = fromMilliseconds(50);
constexpr Duration replyFlushTime = fromMilliseconds(100); // lets the last replies be sent before the loop stops
constexpr long probeTimeoutMilliseconds = 400;

} // namespace

AgentDaemon::AgentDaemon(AgentSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(makeIncarnation())
    , m_http(m_settings.connections)
    , m_gate({m_incarnation, static_cast<std::uint16_t>(m_settings.slots), static_cast<std::uint16_t>(m_settings.queueSlots)}, m_counters)
{
}

AgentHandlers AgentDaemon::makeHandlers()
{
    AgentHandlers handlers;
    handlers.forward = [this](AttemptMessage message, std::function<void(AttemptReply)> reply) {
        m_loop.post([this, message = std::move(message), reply = std::move(reply)]() mutable {
            m_replyCallbacks.emplace(message.id, std::move(reply));
            m_gate.offer(std::move(message), EventLoop::now());
        });
    };
    handlers.revoke = [this](Revocation revocation, std::function<void(RevocationState)> reply) {
        m_loop.post([this, revocation, reply = std::move(reply)] {
            reply(m_gate.revoke(revocation, EventLoop::now()));
        });
    };
    return handlers;
}

Result<Done> AgentDaemon::run()
{
    m_loop.setFlush([this] {
        flush();
    });
    Result<Done> listening = m_rpc.serveAgent(*Endpoint::parse(m_settings.rpcAddress), makeHandlers());
    if (!isOk(listening)) {
        return listening;
    }
    Log::info("agent_started", {{"rpc", m_settings.rpcAddress}, {"backend", m_settings.backendAddress}});
    announce();
    m_loop.repeat(fromMilliseconds(m_settings.announceMilliseconds), [this](TimePoint) {
        announce();
    });
    m_loop.repeat(expiryInterval, [this](TimePoint now) {
        m_gate.expire(now);
    });
    m_loop.repeat(probeInterval, [this](TimePoint) {
        probeBackend();
    });
    m_loop.onShutdown([this] {
        shutDown();
    });
    m_loop.run();
    Log::info("agent_stopped");
    return Done();
}

void AgentDaemon::flush()
{
    for (std::vector<GateAction> actions = m_gate.takeActions(); !actions.empty(); actions = m_gate.takeActions()) {
        for (GateAction &action : actions) {
            std::visit(
                [this](auto &item) {
                    execute(item);
                },
                action);
        }
    }
}

BackendResult AgentDaemon::makeBackendResult(HttpReply reply)
{
    BackendResult result;
    switch (reply.delivery) {
    case HttpDelivery::Complete:
        result.status = reply.status;
        result.contentType = std::move(reply.contentType);
        result.body = std::make_shared<const std::string>(std::move(reply.body));
        break;
    case HttpDelivery::NotSent:
        result.code = ResultCode::BackendUnreachable;
        break;
    case HttpDelivery::TimedOut:
        result.code = ResultCode::BackendTimeout;
        break;
    case HttpDelivery::Truncated:
    case HttpDelivery::Lost:
        result.code = ResultCode::BackendAnswerTruncated;
        break;
    }
    return result;
}

void AgentDaemon::execute(ForwardToBackend &action)
{
    const AttemptMessage &message = action.message;
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + m_settings.backendAddress + "/" + message.service;
    request.headers = {
        {"Content-Type", message.contentType}, {"Banyanlock-Attempt", message.id.toString()}, {"Banyanlock-Workspace", message.workspace}};
    request.body = *message.body;
    request.timeoutMilliseconds = std::max<long>(1, toMilliseconds(message.timeout));
    request.ownConnection = !message.idempotent;
    request.mayResend = message.idempotent;
    m_http.send(std::move(request), [this, id = message.id](HttpReply reply) {
        m_loop.post([this, id, reply = std::move(reply)]() mutable {
            m_backendHealthy = m_backendHealthy && reply.delivery != HttpDelivery::NotSent;
            m_gate.finish(id, makeBackendResult(std::move(reply)), EventLoop::now());
        });
    });
}

void AgentDaemon::execute(SendReply &action)
{
    const auto reply = m_replyCallbacks.find(action.reply.id);
    if (reply == m_replyCallbacks.end()) {
        return;
    }
    const std::function<void(AttemptReply)> send = std::move(reply->second);
    m_replyCallbacks.erase(reply);
    send(std::move(action.reply));
}

void AgentDaemon::announce()
{
    Announcement announcement;
    announcement.agent = m_settings.name;
    announcement.incarnation = m_incarnation;
    announcement.service = m_settings.service;
    announcement.address = m_settings.rpcAddress;
    announcement.failureDomain = m_settings.failureDomain;
    announcement.region = m_settings.region;
    announcement.slots = static_cast<std::uint16_t>(m_settings.slots);
    announcement.queueSlots = static_cast<std::uint16_t>(m_settings.queueSlots);
    announcement.load = m_gate.load(EventLoop::now());
    announcement.leaving = m_gate.isDraining();
    announcement.healthy = m_backendHealthy;
    for (const std::string &entry : m_settings.entries) {
        m_rpc.announce(entry, announcement, announceTimeout, [](const RpcResult<Done> &) {
        });
    }
}

void AgentDaemon::probeBackend()
{
    if (m_probeInFlight) {
        return;
    }
    m_probeInFlight = true;
    HttpRequest request;
    request.url = "http://" + m_settings.backendAddress + "/healthz";
    request.timeoutMilliseconds = probeTimeoutMilliseconds;
    m_http.send(std::move(request), [this](const HttpReply &reply) {
        m_loop.post([this, answered = reply.delivery == HttpDelivery::Complete] {
            m_probeInFlight = false;
            if (m_backendHealthy != answered) {
                m_backendHealthy = answered;
                Log::info("backend_health", {{"healthy", std::int64_t(answered)}});
                announce();
            }
        });
    });
}

void AgentDaemon::shutDown()
{
    Log::info("agent_draining");
    m_gate.drain();
    announce();
    stopWhenIdle();
}

void AgentDaemon::stopWhenIdle()
{
    if (m_gate.mayStop()) {
        m_loop.timers().subscribe(EventLoop::now() + replyFlushTime, [this](TimePoint) {
            m_loop.stop();
        });
        return;
    }
    m_loop.timers().subscribe(EventLoop::now() + idleCheckInterval, [this](TimePoint) {
        stopWhenIdle();
    });
}

} // namespace banyanlock
