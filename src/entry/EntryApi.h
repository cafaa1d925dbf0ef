#pragma once

#include "entry/CellHost.h"
#include "entry/ConfigurationWriter.h"
#include "entry/JobService.h"
#include "entry/RequestService.h"
#include "entry/StoreMirror.h"
#include "http/HttpServer.h"

#include <functional>
#include <string>

namespace banyanlock
{

/// The parts of an entry that its HTTP interface reaches.
struct EntryComponents {
    const EntryIdentity &identity; ///< Who this entry is.
    StoreMirror &mirror; ///< Copy of the tables.
    ConfigurationWriter &writer; ///< Commits changes of the configuration.
    RequestService &requests; ///< Callers' requests.
    JobService &jobs; ///< Jobs.
    CellHost &cells; ///< Cells.
    const PeerTable &peers; ///< The other entries.
    Counters &counters; ///< Counters.
    const bool &draining; ///< Whether the entry is shutting down.
};

/// Routes the HTTP interface of an entry. docs/API.md describes it.
class EntryApi
{
public:
    /// @param components What the routes reach.
    explicit EntryApi(EntryComponents components)
        : m_components(components)
    {
    }

    /// Handles one request.
    /// @param request The request.
    /// @param respond Answers it.
    void handle(const ServerRequest &request, const HttpServer::Responder &respond);

private:
    void handleWorkspaces(const std::vector<std::string> &path, const ServerRequest &request, const HttpServer::Responder &respond);
    void handleJobs(const std::vector<std::string> &path, const ServerRequest &request, const HttpServer::Responder &respond);
    void handleFailureDomains(const std::vector<std::string> &path, const ServerRequest &request, const HttpServer::Responder &respond);
    void putContract(const std::string &workspace, const ServerRequest &request, const HttpServer::Responder &respond);
    void setFailureDomain(const std::string &failureDomain, bool out, const HttpServer::Responder &respond);
    bool isKnownFailureDomain(const std::string &failureDomain) const;
    std::string statusJson() const;
    std::string contractListJson() const;
    std::string failureDomainListJson() const;
    void respondUnknownRoute(const HttpServer::Responder &respond);

    EntryComponents m_components;
};

} // namespace banyanlock
