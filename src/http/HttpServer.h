#pragma once

#include "core/Counters.h"
#include "core/Endpoint.h"
#include "core/Result.h"
#include "dispatch/AttemptMessage.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// A request as a server received it.
struct ServerRequest {
    std::string method; ///< Method in capitals.
    std::string path; ///< Path, decoded.
    std::string query; ///< Query, as received.
    std::vector<HttpHeader> headers; ///< All header fields.
    std::string body; ///< Whole body.

    /// Looks up a header field, whatever its case.
    /// @param name Field name.
    /// @return Its value, or nothing.
    std::optional<std::string> header(std::string_view name) const;

    /// Looks up a parameter of the query.
    /// @param name Parameter name.
    /// @return Its decoded value, or empty.
    std::string parameter(std::string_view name) const;
};

/// A server's answer.
struct ServerResponse {
    int status = 200; ///< Status code.
    std::string contentType; ///< Content type of the body.
    Body body; ///< Body; may be null.
    std::vector<HttpHeader> headers; ///< Further header fields.
    bool closeConnection = false; ///< Whether to close the connection afterwards.
    bool truncateBody = false; ///< Send less than the declared length and close; for stand-ins.
};

/// Limits of a server.
struct HttpServerLimits {
    std::uint64_t bodyBytes = 8ULL * 1024 * 1024; ///< Largest body that is handed over; larger ones close the connection.
    std::size_t connections = 4096; ///< Connections at a time.
    Duration headerTimeout = fromMilliseconds(10000); ///< Limit for receiving a request.
    Duration requestTimeout = fromMilliseconds(120000); ///< Limit for handling a request.
};

/// HTTP server on an event loop.
class HttpServer
{
public:
    /// Answers one request; callable once, from the loop's thread.
    using Responder = std::function<void(ServerResponse)>;

    /// Handles one request on the loop's thread.
    using Handler = std::function<void(ServerRequest, Responder)>;

    /// @param loop Loop to run on.
    /// @param limits Limits of the server.
    /// @param counters Where connections are counted.
    /// @param handler Called for each whole request.
    HttpServer(EventLoop &loop, HttpServerLimits limits, Counters &counters, Handler handler);

    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen.
    /// @param endpoint Where to listen.
    /// @return Done, or why listening failed.
    Result<Done> listen(const Endpoint &endpoint);

    /// Closes each connection after its next answer, so that callers turn elsewhere.
    void closeAfterAnswers();

    /// Closes the listening socket as soon as all connections that wait on it are accepted; open connections go on.
    void stopListening();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
