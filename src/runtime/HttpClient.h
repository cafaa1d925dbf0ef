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
    /// Called with the result, on the client's own thread; callers move it to theirs.
    using Callback = std::function<void(HttpReply)>;

    /// @param connectionsPerHost Most connections to one server at a time.
    explicit HttpClient(long connectionsPerHost);

    /// Ends all exchanges without calling back.
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange. Safe from every thread.
    /// @param request What to send.
    /// @param callback Called exactly once, unless the client is destroyed before.
    void send(HttpRequest request, Callback callback);

    /// Performs one exchange on the calling thread.
    /// @param request What to send.
    /// @return Its result.
    static HttpReply exchange(const HttpRequest &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
