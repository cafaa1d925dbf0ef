#include "StandinServer.h"
#include "Standins.h"

#include <map>

namespace banyanlock
{

int runObjectStandin(const Endpoint &service, const Endpoint &control)
{
    EventLoop loop;
    std::map<std::string, std::string> objects;
    StandinServer server(loop, [&](const ServerRequest &request, const Fault &) {
        ServerResponse response;
        if (request.method == "PUT") {
            objects[request.path] = request.body;
            return response;
        }
        const auto found = objects.find(request.path);
        response.status = found == objects.end() ? 404 : 200;
        response.body = std::make_shared<const std::string>(found == objects.end() ? "" : found->second);
        return response;
    });
    return runStandin(loop, server, service, control);
}

} // namespace banyanlock
