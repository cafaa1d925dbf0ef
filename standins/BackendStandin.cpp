#include "StandinServer.h"
#include "Standins.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr int statusServerError = 500;

/// Counts how often each body was run.
class BackendModel
{
public:
    ServerResponse run(const ServerRequest &request, const Fault &fault)
    {
        ServerResponse response;
        response.contentType = request.header("Content-Type").value_or("text/plain");
        if (request.path == "/healthz") {
            return response;
        }
        if (fault.kind == FaultKind::FailStarts) {
            response.status = statusServerError;
            return response;
        }
        ++m_runs[request.body];
        response.body = std::make_shared<const std::string>("answer to " + request.body);
        return response;
    }

    std::string describe() const
    {
        return nlohmann::json(m_runs).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

private:
    std::map<std::string, int> m_runs;
};

} // namespace

int runBackendStandin(const Endpoint &service, const Endpoint &control, Duration serviceTime)
{
    EventLoop loop;
    BackendModel model;
    StandinServer server(loop, [&](const ServerRequest &request, const Fault &fault) {
        return model.run(request, fault);
    });
    server.setServiceTime(serviceTime);
    server.setControl([&](const ServerRequest &) {
        ServerResponse response;
        response.contentType = "application/json";
        response.body = std::make_shared<const std::string>(model.describe());
        return response;
    });
    return runStandin(loop, server, service, control);
}

} // namespace banyanlock
