#pragma once

#include "core/Counters.h"
#include "core/Endpoint.h"
#include "core/Result.h"
#include "dispatch/AttemptMessage.h"
#include "http/CallerBudget.h"
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

/// HTTP request received by a server.
struct ServerRequest {
    std::string method; ///< Method in upper case.
    std::string path; ///< Path of the URL.
    std::string query; ///< Query of the URL, still percent-encoded.
    std::vector<HttpHeader> headers; ///< All header fields.
    std::string body; ///< Complete body.

    /// Looks up a header field; the name is case-insensitive.
    /// @param name Field name.
    /// @return Its value, or an empty value if the field is missing.
    std::optional<std::string> header(std::string_view name) const;

    /// Looks up a query parameter.
    /// @param name Parameter name.
    /// @return Its decoded value, or an empty string if it is missing.
    std::string parameter(std::string_view name) const;
};

/// HTTP response of a server.
struct ServerResponse {
    int status = 200; ///< Status code.
    std::string contentType; ///< Content type of the body.
    Body body; ///< Body; may be null.
    std::vector<HttpHeader> headers; ///< Additional header fields.
    bool closeConnection = false; ///< Whether to close the connection after the response.
    bool truncateBody = false; ///< Send less than the declared length and close the connection; used by stand-ins.
};

/// Limits of an HTTP server.
struct HttpServerLimits {
    std::uint64_t bodyBytes = 8ULL * 1024 * 1024; ///< Maximum size of a request body; a larger one closes the connection.
    std::size_t connections = 4096; ///< Maximum number of simultaneous connections; above it, the longest idle one is closed.
    CallerLimits callers; ///< Limits of all servers on the event loop together; those of the last server apply.
    Duration headerTimeout = fromMilliseconds(10000); ///< Timeout for receiving a request.
    Duration requestTimeout = fromMilliseconds(120000); ///< Timeout for handling a request.
};

/// HTTP server on an event loop.
class HttpServer
{
public:
    /// Sends the response to one request. Must be called at most once, on the loop's thread.
    using Responder = std::function<void(ServerResponse)>;

    /// Handles one request on the loop's thread.
    using Handler = std::function<void(ServerRequest, Responder)>;

    /// @param loop Event loop on which the server runs.
    /// @param limits Limits of the server.
    /// @param counters Counters of connections and connection errors.
    /// @param handler Called for each complete request.
    HttpServer(EventLoop &loop, HttpServerLimits limits, Counters &counters, Handler handler);

    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen.
    /// @param endpoint Address and port to listen on.
    /// @return Done, or the error if listening failed.
    Result<Done> listen(const Endpoint &endpoint);

    /// Closes each connection after its next response, so that clients reconnect to another server.
    void closeAfterAnswers();

    /// Closes the listening socket once the connections pending on it are accepted, or after 200 ms. Open connections stay open.
    void stopListening();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
