#pragma once

#include "PoolWorkerModel.h"
#include "core/Random.h"
#include "http/HttpServer.h"
#include "runtime/HttpClient.h"
#include "runtime/LoopHttp.h"

#include <list>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace banyanlock
{

/// A worker of the users' platform over HTTP, as their page describes it, around a worker model.
class WorkerServer
{
public:
    /// @param loop Loop to run on.
    /// @param http Client for announcements.
    /// @param endpoint Where the agent reaches it.
    /// @param announceUrl Where it announces itself.
    /// @param model The worker.
    /// @param random Which calls and announcements come late.
    WorkerServer(EventLoop &loop, HttpClient &http, const Endpoint &endpoint, std::string announceUrl, PoolWorkerModel model,
                 Random &random);

    /// @return The worker.
    PoolWorkerModel &model()
    {
        return m_model;
    }

    /// Ends the incarnation, which breaks its connections, and begins a new one.
    void restart();

    /// Sets the share of calls that get no answer and are carried out seconds later, by whatever incarnation is there then.
    /// @param share The share.
    void setLateCalls(double share)
    {
        m_lateCalls = share;
    }

    /// Sets whether late calls to an earlier incarnation may reach a new one before its agent has called it; otherwise they come after
    /// that.
    /// @param allowed Whether they may.
    void setCallsBeforeContact(bool allowed)
    {
        m_callsBeforeContact = allowed;
    }

    /// Sets the share of starts that are refused without effect, since the worker is busy.
    /// @param share The share.
    void setBusy(double share)
    {
        m_busy = share;
    }

    /// Sets the share of announcements that arrive seconds later.
    /// @param share The share.
    void setLateAnnouncements(double share)
    {
        m_lateAnnouncements = share;
    }

    /// Sets how long bytes take between agent and worker, each way.
    /// @param delay The time.
    void setLinkDelay(Duration delay)
    {
        m_linkDelay = delay;
    }

    /// Sets the share of announcements that are followed by one of another writer.
    /// @param share The share.
    void setForeignAnnouncements(double share)
    {
        m_foreignAnnouncements = share;
    }

private:
    void serve(const ServerRequest &request, const HttpServer::Responder &respond);
    void takeLate(const ServerRequest &request, const HttpServer::Responder &kept); // while kept, its connection stays silent
    void carryOutLate(const ServerRequest &request, std::int64_t sentTo, TimePoint now);
    ServerResponse carryOut(const ServerRequest &request);
    std::optional<WorkerLists> renew(const nlohmann::json &body);
    void hold(const ServerRequest &request, std::list<HttpServer::Responder>::iterator waiting, const WorkerIncarnation &incarnation,
              TimePoint until);
    ServerResponse listsAnswer(const WorkerLists &lists) const;
    void announce();
    void sendAnnouncement(const WorkerAnnouncement &worker);

    EventLoop &m_loop;
    LoopHttp m_http;
    std::string m_announceUrl;
    PoolWorkerModel m_model;
    Random &m_random;
    Random m_foreignRandom; // apart from the other one, so that foreign announcements leave the faults of a seed as they are
    Counters m_counters;
    double m_lateCalls = 0.0;
    double m_lateAnnouncements = 0.0;
    double m_foreignAnnouncements = 0.0;
    double m_busy = 0.0;
    Duration m_linkDelay{};
    bool m_callsBeforeContact = true;
    std::list<HttpServer::Responder> m_waiting; // calls for lists that wait for an end
    HttpServer m_server;
};

} // namespace banyanlock
