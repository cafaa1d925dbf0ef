#pragma once

#include "core/Counters.h"
#include "entry/CellHost.h"
#include "entry/ClaimStore.h"
#include "entry/ConfigurationWriter.h"
#include "entry/EntryApi.h"
#include "entry/EntrySettings.h"
#include "entry/JobRetention.h"
#include "entry/JobService.h"
#include "entry/PeerTable.h"
#include "entry/RequestService.h"
#include "entry/StoreMirror.h"
#include "http/HttpServer.h"
#include "rpc/RpcNode.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"
#include "store/TableClient.h"

namespace banyanlock
{

/// Runs an entry: the HTTP interface for callers and operators, request routing, and the cells that the entry owns.
class EntryDaemon
{
public:
    /// @param settings Validated settings.
    /// @param policy Routing policy selected in the settings.
    EntryDaemon(EntrySettings settings, AnyRoutingPolicy policy);

    /// Runs until a graceful shutdown has completed.
    /// @return Done, or the error that prevented the start.
    Result<Done> run();

private:
    EntryHandlers makeHandlers();
    void applyConfiguration(TimePoint now);
    void sendHeartbeats();
    PeerHeartbeat makeHeartbeat() const;
    void flush();
    void shutDown();
    void stopWhenIdle();

    EntrySettings m_settings;
    EntryIdentity m_identity;
    Counters m_counters;
    EventLoop m_loop;
    HttpClient m_http;
    RpcNode m_rpc;
    TableClient m_table;
    StoreMirror m_mirror;
    ConfigurationWriter m_writer;
    ClaimStore m_claims;
    RequestService m_requests;
    JobService m_jobs;
    PeerTable m_peers;
    CellHost m_cells;
    JobRetention m_retention;
    bool m_draining = false;
    EntryApi m_api;
    HttpServer m_server;
};

} // namespace banyanlock
