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

/// Components of an entry that its HTTP interface uses.
struct EntryComponents {
    const EntryIdentity &identity; ///< Identity of this entry.
    StoreMirror &mirror; ///< Copy of the tables.
    ConfigurationWriter &writer; ///< Commits changes to the configuration.
    RequestService &requests; ///< Requests of callers to services.
    JobService &jobs; ///< Job submission, queries and cancellation.
    CellHost &cells; ///< Cells of this entry.
    const PeerTable &peers; ///< The other entries.
    Counters &counters; ///< Counters.
    const bool &draining; ///< Whether the entry is shutting down.
};

/// Routes requests of an entry's HTTP interface, which docs/API.md describes.
class EntryApi
{
public:
    /// @param components Components that the routes use.
    explicit EntryApi(EntryComponents components)
        : m_components(components)
    {
    }

    /// Handles one HTTP request.
    /// @param request The request.
    /// @param respond Sends the response.
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
