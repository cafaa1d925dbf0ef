#pragma once

#include "core/Endpoint.h"
#include "core/Incarnation.h"
#include "poolhost/DaemonParts.h"
#include "poolhost/PoolPlatform.h"
#include "poolhost/PoolSettings.h"
#include "rpc/RpcNode.h"

#include <list>
#include <string>
#include <utility>

namespace banyanlock
{

/// Agent of a pool's worker: receives its announcements, executes the owner's orders, and registers in the table service.
/// @tparam Platform Adapter of the platform.
template <PoolPlatform Platform> class PoolAgentDaemon
{
public:
    /// @param settings Checked settings.
    /// @param settingsPath Settings file, read again on a reload.
    PoolAgentDaemon(PoolAgentSettings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_http(connectionsPerHost)
        , m_store(m_settings.tableUrl, m_loop, m_http, m_counters)
        , m_worker(m_settings.workerUrl, m_loop, m_http)
        , m_supervisor(makeIncarnation(), makeTimes(m_settings), m_counters)
        , m_announcementServer(m_loop, serverLimitsOf(m_settings, ServerUse::Callers), m_counters,
                               [this](const ServerRequest &request, const HttpServer::Responder &respond) {
                                   serveWorker(request, respond);
                               })
        , m_metricsServer(m_loop, serverLimitsOf(m_settings, ServerUse::Operation), m_counters,
                          [this](const ServerRequest &, const HttpServer::Responder &respond) {
                              respond(metricsResponse(m_counters.toPrometheus()));
                          })
    {
    }

    /// Runs until a graceful shutdown has completed.
    /// @return Done, or the reason why the agent could not start.
    Result<Done> run()
    {
        m_loop.setFlush([this] {
            flush();
        });
        Result<Done> listening = m_announcementServer.listen(*Endpoint::parse(m_settings.announceAddress));
        if (isOk(listening) && !m_settings.metricsAddress.empty()) {
            listening = m_metricsServer.listen(*Endpoint::parse(m_settings.metricsAddress));
        }
        if (isOk(listening)) {
            listening = m_rpc.serveSupervisor(*Endpoint::parse(m_settings.rpcAddress), makeHandlers());
        }
        if (!isOk(listening)) {
            return listening;
        }
        Log::info("agent_started", {{"rpc", m_settings.rpcAddress}, {"worker", m_settings.workerUrl}});
        m_loop.onShutdown([this] {
            shutDown();
        });
        m_loop.onReload([this] {
            reloadLogLevel(m_settingsPath, poolAgentSettingKeys());
        });
        m_loop.run();
        Log::info("agent_stopped");
        return Done();
    }

private:
    using Reply = std::function<void(WorkerStatus)>;

    struct PendingCall {
        SuperviseRequest request;
        Reply reply;
        TimePoint deadline{};
    };

    static constexpr long connectionsPerHost = 16; // orders of one scheduling step are sent in parallel
    static constexpr Duration registrationRetry = fromMilliseconds(500); // two attempts a second while the table service is unreachable
    static constexpr Duration finalAnswerPeriod = fromMilliseconds(150); // for sending the last statuses before the loop stops

    static SupervisorTiming makeTimes(const PoolAgentSettings &settings)
    {
        SupervisorTiming times;
        times.lease = fromMilliseconds(settings.leaseMilliseconds);
        times.leaseSlack = leaseSlackOf(times.lease);
        return times;
    }

    SupervisorHandlers makeHandlers()
    {
        SupervisorHandlers handlers;
        handlers.supervise = [this](SuperviseRequest request, Reply reply) {
            m_loop.post([this, request = std::move(request), reply = std::move(reply)]() mutable {
                supervise(std::move(request), std::move(reply));
            });
        };
        return handlers;
    }

    void supervise(SuperviseRequest request, Reply reply)
    {
        const TimePoint now = EventLoop::now();
        const bool accepted = m_supervisor.onSupervise(request, now);
        PendingCall call{std::move(request), std::move(reply), now};
        if (accepted) {
            call.deadline = now + call.request.wait;
        }
        m_pendingCalls.push_back(std::move(call));
    }

    void serveWorker(const ServerRequest &request, const HttpServer::Responder &respond)
    {
        constexpr int badRequest = 400;
        ServerResponse response;
        if (const std::optional<std::string> departed = Platform::decodeDeparture(request)) {
            m_supervisor.onWorkerLeft(*departed);
            respond(std::move(response));
            return;
        }
        const Result<WorkerAnnouncement> announcement = Platform::decodeAnnouncement(request);
        if (!isOk(announcement)) {
            m_counters.add(Counter::PoolAnnouncementsUnreadable);
            Log::warning("announcement_refused", {{"reason", errorOf(announcement).detail}});
            response.status = badRequest;
            respond(std::move(response));
            return;
        }
        m_supervisor.onAnnouncement(valueOf(announcement));
        respond(std::move(response));
    }

    void registerAgent(TimePoint now)
    {
        if (!m_supervisor.needsRegistration() || m_registering || now < m_registerAfter) {
            return;
        }
        m_registering = true;
        TableTransaction transaction;
        transaction.changeId = "register/" + m_settings.rpcAddress;
        transaction.writes = {{std::string(PoolRows::table), PoolRows::keyOf(PoolRows::workerPrefix, m_settings.rpcAddress),
                               "{\"failure_domain\":\"" + m_settings.failureDomain + "\"}"}};
        m_store.commit(transaction, [this](const CommitResult &result) {
            m_registering = false;
            m_registerAfter = EventLoop::now() + registrationRetry;
            if (result.state == CommitState::Committed) {
                Log::info("agent_registered", {{"row", static_cast<std::int64_t>(result.version)}});
                m_supervisor.onRegistered(result.version);
            }
        });
    }

    void flush()
    {
        const TimePoint now = EventLoop::now();
        detectSuspension(now);
        registerAgent(now);
        m_supervisor.step(now);
        for (SupervisorAction &action : m_supervisor.takeActions()) {
            std::visit(
                [this](auto &concreteAction) {
                    execute(std::move(concreteAction));
                },
                action);
        }
        answerPendingCalls(now);
        armTimer(now);
    }

    void detectSuspension(TimePoint now)
    {
        constexpr Duration minSpan = fromMilliseconds(50); // the clocks are not read at the same moment
        const Duration suspended = now.time_since_epoch() - runningTime();
        if (suspended - m_suspended >= minSpan) {
            m_supervisor.onSuspended(suspended - m_suspended);
            m_suspended = suspended;
        }
    }

    void answerPendingCalls(TimePoint now)
    {
        if (m_pendingCalls.empty()) {
            return;
        }
        const WorkerStatus status = m_supervisor.status(now, unixMillisecondsNow());
        for (auto call = m_pendingCalls.begin(); call != m_pendingCalls.end();) {
            if (now >= call->deadline || hasUpdate(status, call->request) || m_stopping) {
                call->reply(status);
                call = m_pendingCalls.erase(call);
            } else {
                ++call;
            }
        }
    }

    void armTimer(TimePoint now)
    {
        TimePoint next = m_supervisor.nextStep(now);
        for (const PendingCall &call : m_pendingCalls) {
            next = std::min(next, call.deadline);
        }
        if (m_supervisor.needsRegistration() && !m_registering) {
            next = std::min(next, std::max(m_registerAfter, now + fromMilliseconds(1)));
        }
        if (next == m_armedFor) {
            return;
        }
        m_loop.timers().cancel(m_timer);
        m_armedFor = next;
        m_timer = m_loop.timers().subscribe(next, [this](TimePoint) {
            m_armedFor = TimePoint();
        });
    }

    void execute(RenewWorker action)
    {
        m_worker.renew(action, [this, action](const RenewalAnswer &answer) {
            m_supervisor.onLists(action, answer, EventLoop::now());
        });
    }

    void execute(StartTask action)
    {
        m_worker.start(action, [this, action](OrderOutcome outcome, const std::string &reason) {
            m_supervisor.onStarted(action, outcome, reason, EventLoop::now());
        });
    }

    void execute(StopTask action)
    {
        m_worker.stop(action, [this, action](OrderOutcome outcome) {
            m_supervisor.onStopped(action, outcome, EventLoop::now());
        });
    }

    void shutDown()
    {
        // The worker's tasks keep running: the next process of the agent supervises them, or their leases expire.
        Log::info("agent_draining");
        m_stopping = true;
        m_supervisor.announceShutdown();
        m_loop.timers().subscribe(EventLoop::now() + finalAnswerPeriod, [this](TimePoint) {
            m_loop.stop();
        });
    }

    PoolAgentSettings m_settings;
    std::string m_settingsPath;
    Counters m_counters;
    EventLoop m_loop;
    HttpClient m_http;
    RpcNode m_rpc;
    typename Platform::Store m_store;
    typename Platform::Worker m_worker;
    WorkerSupervisor m_supervisor;
    std::list<PendingCall> m_pendingCalls;
    TimerId m_timer;
    TimePoint m_armedFor{};
    Duration m_suspended = MonotonicClock::now().time_since_epoch() - runningTime(); // all suspensions of the instance so far
    TimePoint m_registerAfter{};
    bool m_registering = false;
    bool m_stopping = false;
    HttpServer m_announcementServer;
    HttpServer m_metricsServer;
};

} // namespace banyanlock
