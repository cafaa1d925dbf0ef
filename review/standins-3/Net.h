#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace review
{

/// @return Milliseconds of the steady clock since the first call.
std::int64_t nowMs();

/// @param milliseconds Time to sleep.
void sleepMs(std::int64_t milliseconds);

/// @return A free TCP port of the loopback interface.
int freePort();

/// Opens a connection to a loopback port.
/// @param port Port to connect to.
/// @return Descriptor, or -1 if the connection was refused.
int connectTo(int port);

/// Opens a listening socket on a loopback port.
/// @param port Port to listen on.
/// @return Descriptor.
int listenOn(int port);

/// HTTP request as received.
struct Request {
    std::string method; ///< Method.
    std::string path; ///< Path without the query.
    std::map<std::string, std::string> query; ///< Decoded query parameters.
    std::map<std::string, std::string> headers; ///< Header fields with names in lower case.
    std::string body; ///< Body.
};

/// HTTP response.
struct Response {
    int status = 200; ///< Status code.
    std::string body = "{}"; ///< JSON body.
    bool silent = false; ///< Send nothing and keep the connection open.
};

/// HTTP server with a thread for each connection. Runs until the process ends.
class HttpServer
{
public:
    /// Handles one request; called from the connection's thread.
    using Handler = std::function<Response(const Request &)>;

    /// @param port Loopback port.
    /// @param handler Handler of requests.
    HttpServer(int port, Handler handler);
};

/// Sends one HTTP request over a new connection.
/// @param port Loopback port.
/// @param method Method.
/// @param target Path and query.
/// @param headers Header fields.
/// @param body Body.
/// @param timeout Time for the whole exchange, in milliseconds.
/// @return The response, or nothing if there was no complete one in time.
std::optional<Response> call(int port, const std::string &method, const std::string &target,
                             const std::map<std::string, std::string> &headers, const std::string &body, std::int64_t timeout);

} // namespace review
