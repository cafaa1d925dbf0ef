#pragma once

#include "runtime/HttpMessage.h"

#include <functional>
#include <memory>

namespace banyanlock
{

/// Asynchronous HTTP client: one thread runs libcurl's multi interface for the whole process.
class HttpClient
{
public:
    /// Called with the result on the client's own thread; the callee must pass it on to its own thread.
    using Callback = std::function<void(HttpReply)>;

    /// @param connectionsPerHost Maximum number of simultaneous connections to one server.
    explicit HttpClient(long connectionsPerHost);

    /// Aborts all exchanges in flight without calling their callbacks.
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange. Thread-safe.
    /// @param request Request to send.
    /// @param callback Called exactly once, unless the client is destroyed first.
    void send(HttpRequest request, Callback callback);

    /// Performs one exchange on the calling thread and blocks until it ends.
    /// @param request Request to send.
    /// @return Result of the exchange.
    static HttpReply exchange(const HttpRequest &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
