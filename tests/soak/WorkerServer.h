#pragma once

#include "PoolWorkerModel.h"
#include "core/Random.h"
#include "http/HttpServer.h"
#include "runtime/HttpClient.h"
#include "runtime/LoopHttp.h"

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
    /// @param random Which orders come late.
    WorkerServer(EventLoop &loop, HttpClient &http, const Endpoint &endpoint, std::string announceUrl, PoolWorkerModel model,
                 Random &random);

    /// @return The worker.
    PoolWorkerModel &model()
    {
        return m_model;
    }

    /// Sets the share of orders that get no answer and are carried out seconds later.
    /// @param share The share.
    void setLateOrders(double share)
    {
        m_lateOrders = share;
    }

private:
    void serve(const ServerRequest &request, const HttpServer::Responder &respond);
    void order(const ServerRequest &request, const HttpServer::Responder &respond);
    ServerResponse carryOut(const ServerRequest &request);
    void hold(const ServerRequest &request, const HttpServer::Responder &respond, const WorkerIncarnation &incarnation, TimePoint until);
    ServerResponse listsAnswer(const WorkerLists &lists) const;
    void announce();

    EventLoop &m_loop;
    LoopHttp m_http;
    std::string m_announceUrl;
    PoolWorkerModel m_model;
    Random &m_random;
    Counters m_counters;
    double m_lateOrders = 0.0;
    HttpServer m_server;
};

} // namespace banyanlock
