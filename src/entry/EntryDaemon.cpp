#include "entry/EntryDaemon.h"

#include "core/Incarnation.h"
#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr long connectionsPerHost = 64;
constexpr Duration heartbeatInterval = fromMilliseconds(500);
constexpr Duration heartbeatTimeout = fromMilliseconds(1000);
constexpr Duration expiryInterval = fromMilliseconds(250);
constexpr Duration idleCheckInterval = fromMilliseconds(50);
constexpr std::uint64_t headerBytes = 65536;

HttpServerLimits makeServerLimits(const EntrySettings &settings)
{
    HttpServerLimits limits;
    // A body of up to twice the limit is read, so that the caller gets an error response; above that the connection is closed.
    limits.bodyBytes = static_cast<std::uint64_t>(settings.bodyLimitBytes) * 2;
    limits.callers.requestBytes = std::max(limits.callers.requestBytes, 2 * limits.bodyBytes + headerBytes);
    limits.requestTimeout = fromMilliseconds(settings.maxTimeoutMilliseconds + 10000);
    return limits;
}

} // namespace

EntryDaemon::EntryDaemon(EntrySettings settings, AnyRoutingPolicy policy)
    : m_settings(std::move(settings))
    , m_identity{m_settings.name, makeIncarnation(), m_settings.failureDomain, m_settings.region}
    , m_http(connectionsPerHost)
    , m_table(m_settings.tableUrl, m_loop, m_http, m_counters)
    , m_mirror(m_loop, m_table, m_counters, fromMilliseconds(m_settings.pollMilliseconds))
    , m_writer(m_mirror, m_table, m_counters, m_identity.name, m_identity.incarnation)
    , m_claims(m_table, m_counters)
    , m_requests(m_settings, m_identity.incarnation, policy, m_loop, m_rpc, m_claims, m_counters)
    , m_jobs(m_mirror, m_table, m_identity.name, m_identity.incarnation)
    , m_cells(m_identity, m_loop, m_mirror, m_table, m_http, m_peers, m_settings.peers.size(), m_counters)
    , m_retention(m_loop, m_mirror, m_table, m_cells, m_counters, fromMilliseconds(m_settings.endedJobRetentionMilliseconds))
    , m_api({m_identity, m_mirror, m_writer, m_requests, m_jobs, m_cells, m_peers, m_counters, m_draining})
    , m_server(m_loop, makeServerLimits(m_settings), m_counters,
               [this](const ServerRequest &request, const HttpServer::Responder &respond) {
                   m_api.handle(request, respond);
               })
{
}

EntryHandlers EntryDaemon::makeHandlers()
{
    EntryHandlers handlers;
    handlers.announce = [this](Announcement announcement) {
        m_loop.post([this, announcement = std::move(announcement)] {
            m_requests.pipeline().onAnnouncement(announcement, EventLoop::now());
        });
    };
    handlers.heartbeat = [this](PeerHeartbeat heartbeat, std::function<void(PeerHeartbeat)> reply) {
        m_loop.post([this, heartbeat = std::move(heartbeat), reply = std::move(reply)] {
            m_peers.recordHeartbeat(heartbeat, EventLoop::now());
            reply(makeHeartbeat());
        });
    };
    return handlers;
}

Result<Done> EntryDaemon::run()
{
    m_loop.setFlush([this] {
        flush();
    });
    m_rpc.setDisconnectListener([this](const std::string &address) {
        m_loop.post([this, address] {
            m_requests.pipeline().onDisconnected(address);
        });
    });
    Result<Done> listening = m_rpc.serveEntry(*Endpoint::parse(m_settings.rpcAddress), makeHandlers());
    if (isOk(listening)) {
        listening = m_server.listen(*Endpoint::parse(m_settings.httpAddress));
    }
    if (!isOk(listening)) {
        return listening;
    }
    Log::info("entry_started", {{"http", m_settings.httpAddress}, {"rpc", m_settings.rpcAddress}});
    m_mirror.setListener([this](const MirrorChange &change, TimePoint now) {
        applyConfiguration(now);
        m_cells.onRead(change, now);
        m_retention.onRead(change, now);
    });
    m_mirror.start();
    m_cells.start();
    m_retention.start();
    sendHeartbeats();
    m_loop.repeat(heartbeatInterval, [this](TimePoint) {
        sendHeartbeats();
    });
    m_loop.repeat(expiryInterval, [this](TimePoint now) {
        m_requests.pipeline().expireMembers(now);
    });
    m_loop.onShutdown([this] {
        shutDown();
    });
    m_loop.run();
    Log::info("entry_stopped");
    return Done();
}

void EntryDaemon::applyConfiguration(TimePoint now)
{
    // A contract's limits apply to the whole system, so each entry enforces an equal share of them.
    const auto entries = static_cast<std::uint32_t>(m_peers.servingPeers(now).size() + 1);
    std::vector<WorkspaceLimits> limits;
    for (const ContractRecord &record : m_mirror.configuration().contracts()) {
        const ContractLimits &systemLimits = record.contract.limits;
        const std::uint32_t inFlight = (systemLimits.requestsInFlight + entries - 1) / entries;
        limits.push_back(
            {record.contract.workspace, static_cast<double>(systemLimits.requestsPerSecond) / entries, inFlight, record.contract.share});
    }
    m_requests.pipeline().configure(limits, m_mirror.configuration().outDomains(), now);
}

PeerHeartbeat EntryDaemon::makeHeartbeat() const
{
    return {m_identity.name,
            m_identity.incarnation,
            m_identity.failureDomain,
            m_identity.region,
            m_mirror.configuration().version(),
            m_mirror.version(),
            m_draining};
}

void EntryDaemon::sendHeartbeats()
{
    for (const std::string &peer : m_settings.peers) {
        m_rpc.heartbeat(peer, makeHeartbeat(), heartbeatTimeout, [this](RpcResult<PeerHeartbeat> result) {
            if (const PeerHeartbeat *heartbeat = std::get_if<PeerHeartbeat>(&result)) {
                m_loop.post([this, heartbeat = *heartbeat] {
                    m_peers.recordHeartbeat(heartbeat, EventLoop::now());
                });
            }
        });
    }
}

void EntryDaemon::flush()
{
    m_requests.flush();
    m_cells.flush();
}

void EntryDaemon::shutDown()
{
    Log::info("entry_draining");
    m_draining = true;
    m_cells.drain();
    m_server.closeAfterAnswers();
    sendHeartbeats();
    // Requests are accepted until the load balancer has had time to notice that the entry is not ready.
    const TimePoint stopListeningAt = EventLoop::now() + fromMilliseconds(m_settings.drainNoticeMilliseconds);
    m_loop.timers().subscribe(stopListeningAt, [this](TimePoint) {
        m_server.stopListening();
        m_requests.pipeline().drain();
        stopWhenIdle();
    });
}

void EntryDaemon::stopWhenIdle()
{
    if (m_requests.pipeline().mayStop() && m_cells.mayStop()) {
        // The delay lets the last answers be sent before the loop stops.
        m_loop.timers().subscribe(EventLoop::now() + idleCheckInterval, [this](TimePoint) {
            m_loop.stop();
        });
        return;
    }
    m_loop.timers().subscribe(EventLoop::now() + idleCheckInterval, [this](TimePoint) {
        stopWhenIdle();
    });
}

} // namespace banyanlock
