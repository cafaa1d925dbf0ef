#pragma once

#include "http/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace banyanlock
{

/// HTTP server that answers each request with a prepared status and body and records the requests.
struct ScriptedServer {
    ScriptedServer(EventLoop &loop, Counters &counters, std::uint16_t port)
        : server(loop, HttpServerLimits(), counters, [this](const ServerRequest &request, const HttpServer::Responder &respond) {
            requests.push_back(request);
            ServerResponse response;
            response.status = status;
            response.contentType = "application/json";
            response.body = std::make_shared<const std::string>(bodies.empty() ? "{}" : bodies.front());
            if (bodies.size() > 1) {
                bodies.erase(bodies.begin());
            }
            respond(std::move(response));
        })
    {
        BOOST_REQUIRE(isOk(server.listen({"127.0.0.1", port})));
    }

    int status = 200;
    std::vector<std::string> bodies;
    std::vector<ServerRequest> requests;
    HttpServer server;
};

} // namespace banyanlock
