#pragma once

#include "core/Endpoint.h"
#include "core/Incarnation.h"
#include "poolhost/DaemonParts.h"
#include "poolhost/PoolApi.h"
#include "poolhost/PoolOwner.h"
#include "poolhost/PoolSettings.h"
#include "rpc/RpcNode.h"

#include <memory>
#include <string>
#include <utility>

namespace banyanlock
{

/// Entry of a pool: serves the callers' interface, and runs the scheduler while it owns the pool.
/// @tparam Platform Adapter of the platform.
template <PoolPlatform Platform> class PoolEntryDaemon
{
public:
    /// @param settings Checked settings.
    /// @param settingsPath Settings file, read again on a reload.
    PoolEntryDaemon(PoolEntrySettings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_http(connectionsPerHost)
        , m_store(m_settings.tableUrl, m_loop, m_http, m_counters)
        , m_mirror(m_store, m_loop, m_counters)
        , m_scheduler(m_mirror.jobs(), m_mirror.operators(), Platform::operatorRows(), makeTimes(m_settings), makePolicy(m_settings),
                      m_counters, makeLimits(m_settings), makeParts(m_settings))
        , m_owner({m_settings.name, makeIncarnation(), processorsOf(m_settings)}, m_loop, m_store, m_mirror, m_scheduler, m_counters,
                  m_latencies)
        , m_api(m_loop, m_store, m_mirror, fromMilliseconds(m_settings.staleLimitMilliseconds), m_counters, m_latencies,
                makeLimits(m_settings))
        , m_callerServer(m_loop, serverLimitsOf(m_settings, ServerUse::Callers), m_counters,
                         [this](const ServerRequest &request, const HttpServer::Responder &respond) {
                             serveCaller(request, respond);
                         })
        , m_balancerServer(m_loop, serverLimitsOf(m_settings, ServerUse::Operation), m_counters,
                           [this](const ServerRequest &request, const HttpServer::Responder &respond) {
                               serveBalancer(request, respond);
                           })
        , m_metricsServer(m_loop, serverLimitsOf(m_settings, ServerUse::Operation), m_counters,
                          [this](const ServerRequest &, const HttpServer::Responder &respond) {
                              respond(metricsResponse(m_counters.toPrometheus() + m_latencies.toPrometheus()));
                          })
    {
    }

    /// Runs until a graceful shutdown has completed.
    /// @return Done, or the reason why the entry could not start.
    Result<Done> run()
    {
        m_loop.setFlush([this] {
            flush();
        });
        for (const auto &[server, address] :
             {std::pair(&m_callerServer, m_settings.callerAddress), std::pair(&m_balancerServer, m_settings.readyAddress),
              std::pair(&m_metricsServer, m_settings.metricsAddress)}) {
            if (address.empty()) {
                continue;
            }
            Result<Done> listening = server->listen(*Endpoint::parse(address));
            if (!isOk(listening)) {
                return listening;
            }
        }
        if (m_settings.processorShare == 0) {
            Log::warning("processor_share_unknown", {{"assumed", std::string("less than that of every other entry")}});
        }
        Log::info("entry_started", {{"callers", m_settings.callerAddress}, {"failure_domain", m_settings.failureDomain}});
        m_mirror.setListener([this] {
            m_owner.onRows(EventLoop::now());
        });
        m_mirror.start();
        m_owner.start();
        m_loop.repeat(tickInterval, [this](TimePoint) {
            m_scheduler.onTick();
        });
        m_loop.onShutdown([this] {
            shutDown();
        });
        m_loop.onReload([this] {
            reloadLogLevel(m_settingsPath, poolEntrySettingKeys());
        });
        m_loop.run();
        Log::info("entry_stopped");
        return Done();
    }

private:
    static constexpr long connectionsPerHost = 32; // followed tables and the callers' transactions
    static constexpr Duration tickInterval = fromMilliseconds(200); // delay with which an unresponsive peer is noticed
    static constexpr Duration minStepInterval
        = fromMilliseconds(20); // batches events into one step; 1/40 of the delay that an urgent job tolerates
    static constexpr Duration maxStepInterval = fromMilliseconds(400); // a sixth of the time in which a guaranteed job must have started
    static constexpr Duration idleCheckInterval = fromMilliseconds(100); // poll interval for open calls during a shutdown

    static PoolTiming makeTimes(const PoolEntrySettings &settings)
    {
        PoolTiming times;
        times.lease = fromMilliseconds(settings.leaseMilliseconds);
        times.leaseSlack = leaseSlackOf(times.lease);
        times.maxSuspension = fromMilliseconds(settings.suspensionMilliseconds);
        return times;
    }

    static PlannerPolicy makePolicy(const PoolEntrySettings &settings)
    {
        PlannerPolicy policy;
        policy.remoteFactor = static_cast<double>(settings.remoteFactor);
        return policy;
    }

    static PoolParts makeParts(const PoolEntrySettings &settings)
    {
        const auto modeOf = [](const std::string &name) {
            return parsePartMode(name).value_or(PartMode::Auto); // checked when the file was read
        };
        PoolParts parts;
        parts.learnedRunTimes = modeOf(settings.learnedRunTimes);
        parts.workerSpeeds = modeOf(settings.workerSpeeds);
        parts.holdRoom = modeOf(settings.holdRoom);
        parts.fairShares = modeOf(settings.fairShares);
        parts.workerRecords = modeOf(settings.workerRecords);
        return parts;
    }

    static TableLimits makeLimits(const PoolEntrySettings &settings)
    {
        TableLimits limits;
        limits.rowBytes = static_cast<std::size_t>(settings.tableRowBytes) / 4 * 3; // texts are sent in Base64
        return limits;
    }

    static std::int64_t processorsOf(const PoolEntrySettings &settings)
    {
        return settings.processorShare * settings.processorCores;
    }

    void serveCaller(const ServerRequest &request, const HttpServer::Responder &respond)
    {
        std::optional<PoolCall> call = Platform::decodeCall(request);
        if (!call) {
            ServerResponse response;
            response.status = statusMethodNotAllowed;
            respond(std::move(response));
            return;
        }
        ++m_openCalls;
        m_api.handle(*call, [this, call = *call, respond](const CallAnswer &answer) {
            --m_openCalls;
            respond(Platform::encodeAnswer(call, answer));
        });
    }

    void serveBalancer(const ServerRequest &request, const HttpServer::Responder &respond)
    {
        ServerResponse response;
        const bool ready = !m_stopping && m_api.isFresh(EventLoop::now()) && m_mirror.hasContact(EventLoop::now());
        response.status = !Platform::isReadinessProbe(request) ? statusNotFound : ready ? statusOk : statusUnavailable;
        if (ready != m_ready) {
            m_ready = ready;
            Log::info(ready ? "ready" : "not_ready",
                      {{"configuration_age_ms", toMilliseconds(EventLoop::now() - m_mirror.operatorsCurrentAsOf())},
                       {"stopping", std::string(m_stopping ? "yes" : "no")}});
        }
        respond(std::move(response));
    }

    void flush()
    {
        const TimePoint now = EventLoop::now();
        m_owner.onRows(now);
        if (m_mirror.takeChanged()) {
            m_scheduler.onRows();
            for (const std::string &agent : m_mirror.takeNewAgents()) {
                m_scheduler.addAgent(agent);
            }
        }
        m_scheduler.setRenewalsAllowed(m_owner.mayRenew(now));
        if (m_scheduler.isStepDue()) {
            step(now);
        }
        m_owner.flush(now);
        for (const CallAgent &call : m_scheduler.takeCalls()) {
            send(call, now);
        }
    }

    void step(TimePoint now)
    {
        if (now - m_lastStepAt >= m_stepInterval) {
            m_lastStepAt = now;
            m_scheduler.step(now, unixMillisecondsNow());
            // Steps take a fifth of the time at most, so that on a slow instance answers, renewals and transactions are not held up by
            // them.
            constexpr int pausePerStep = 4;
            const Duration duration = EventLoop::now() - now;
            m_latencies.record(Latency::OwnerStep, duration);
            m_stepInterval = std::clamp(duration * (pausePerStep + 1), minStepInterval, maxStepInterval);
        } else if (!m_stepScheduled) {
            m_stepScheduled = true;
            m_loop.timers().subscribe(m_lastStepAt + m_stepInterval, [this](TimePoint) {
                m_stepScheduled = false;
            });
        }
    }

    void send(const CallAgent &call, TimePoint now)
    {
        const std::string agent = call.agent;
        const std::uint64_t number = call.call;
        m_rpc.supervise(agent, call.request, call.timeout, [this, agent, number, now](RpcResult<WorkerStatus> result) {
            m_loop.post([this, agent, number, now, arrivedAt = EventLoop::now(), result = std::move(result)] {
                m_owner.recordLag(EventLoop::now() - arrivedAt, EventLoop::now());
                m_latencies.record(Latency::AgentCall, EventLoop::now() - now);
                m_scheduler.onCallAnswered(agent, number, std::get_if<WorkerStatus>(&result), now, EventLoop::now());
            });
        });
    }

    void shutDown()
    {
        Log::info("entry_draining");
        m_stopping = true;
        m_owner.drain();
        m_callerServer.closeAfterAnswers();
        // The load balancer needs two probes, 1 s apart, to stop sending calls. An entry that restarts early can serve callers while the
        // next one restarts.
        constexpr Duration balancerNotice = fromMilliseconds(2500);
        constexpr Duration shutdownReserve = fromMilliseconds(1500); // for the last answers before the kill
        const TimePoint end = EventLoop::now() + std::min(balancerNotice, fromMilliseconds(m_settings.stopMilliseconds) - shutdownReserve);
        m_loop.timers().subscribe(end, [this](TimePoint) {
            m_callerServer.stopListening();
            stopWhenIdle();
        });
    }

    void stopWhenIdle()
    {
        if (m_openCalls == 0 && m_owner.isDrained()) {
            m_loop.timers().subscribe(EventLoop::now() + idleCheckInterval, [this](TimePoint) {
                m_loop.stop();
            });
            return;
        }
        m_loop.timers().subscribe(EventLoop::now() + idleCheckInterval, [this](TimePoint) {
            stopWhenIdle();
        });
    }

    static constexpr int statusOk = 200;
    static constexpr int statusNotFound = 404;
    static constexpr int statusMethodNotAllowed = 405;
    static constexpr int statusUnavailable = 503;

    PoolEntrySettings m_settings;
    std::string m_settingsPath;
    Counters m_counters;
    Latencies m_latencies;
    EventLoop m_loop;
    HttpClient m_http;
    RpcNode m_rpc;
    typename Platform::Store m_store;
    PoolMirror<Platform> m_mirror;
    PoolScheduler m_scheduler;
    PoolOwner<Platform> m_owner;
    PoolApi<Platform> m_api;
    TimePoint m_lastStepAt{};
    Duration m_stepInterval = minStepInterval;
    bool m_stepScheduled = false;
    std::size_t m_openCalls = 0;
    bool m_stopping = false;
    bool m_ready = false;
    HttpServer m_callerServer;
    HttpServer m_balancerServer;
    HttpServer m_metricsServer;
};

} // namespace banyanlock
