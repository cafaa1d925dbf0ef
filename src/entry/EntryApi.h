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
struct EntryParts {
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
    /// @param parts What the routes reach.
    explicit EntryApi(EntryParts parts)
        : m_parts(parts)
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
    std::string statusText() const;
    std::string contractListText() const;
    std::string failureDomainListText() const;
    void refuseRoute(const HttpServer::Responder &respond);

    EntryParts m_parts;
};

} // namespace banyanlock
