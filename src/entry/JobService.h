#pragma once

#include "entry/StoreMirror.h"
#include "http/HttpServer.h"
#include "store/TableClient.h"

#include <cstdint>
#include <functional>
#include <string>

namespace banyanlock
{

/// Accepts, lists, shows and cancels jobs.
class JobService
{
public:
    /// @param mirror Copy of the tables.
    /// @param table Table service.
    /// @param entry Name of the entry.
    /// @param incarnation Incarnation of the entry, for unique ids.
    JobService(StoreMirror &mirror, TableClient &table, std::string entry, std::uint64_t incarnation);

    /// Handles `POST /v1/jobs`.
    /// @param request The request.
    /// @param respond Sends the response.
    void submit(const ServerRequest &request, HttpServer::Responder respond);

    /// Handles `GET /v1/jobs`.
    /// @param request The request; its query may filter by workspace and state.
    /// @param respond Sends the response.
    void list(const ServerRequest &request, const HttpServer::Responder &respond) const;

    /// Handles `GET /v1/jobs/{id}`.
    /// @param id Id of the job.
    /// @param respond Sends the response.
    void show(const std::string &id, const HttpServer::Responder &respond);

    /// Handles `DELETE /v1/jobs/{id}`: a queued job never starts, a running one is stopped.
    /// @param id Id of the job.
    /// @param respond Sends the response.
    void cancel(const std::string &id, const HttpServer::Responder &respond);

private:
    Result<JobRecord> makeRecord(const std::string &body);
    void resolveUnknownSubmission(const JobRecord &record, const HttpServer::Responder &respond);
    void tryCancel(const std::string &id, int retries, HttpServer::Responder respond);
    void withJobRecord(const std::string &id, const HttpServer::Responder &respond, std::function<void(const JobRecord &)> onFound);
    static void respondWithJob(const JobRecord &record, int status, const HttpServer::Responder &respond);

    StoreMirror &m_mirror;
    TableClient &m_table;
    std::string m_entry;
    std::uint64_t m_incarnation;
    std::uint64_t m_nextJob = 1;
};

} // namespace banyanlock
