#pragma once

#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <utility>

namespace banyanlock
{

/// HTTP client of one server, with callbacks on the event loop. After an exchange without a complete response the next one opens a new
/// connection, since idle ones may be dead without having been closed.
class LoopHttp
{
public:
    /// @param loop Event loop on which callbacks run.
    /// @param http Client that performs the exchanges.
    LoopHttp(EventLoop &loop, HttpClient &http)
        : m_loop(loop)
        , m_http(http)
    {
    }

    /// Starts an exchange.
    /// @param request Request to send.
    /// @param callback Called once with the result.
    void send(HttpRequest request, std::function<void(HttpReply)> callback)
    {
        request.freshConnection = m_forceFreshConnection;
        m_http.send(std::move(request), [this, callback = std::move(callback)](HttpReply reply) mutable {
            m_loop.post([this, callback = std::move(callback), reply = std::move(reply)]() mutable {
                m_forceFreshConnection = reply.delivery != HttpDelivery::Complete;
                callback(std::move(reply));
            });
        });
    }

private:
    EventLoop &m_loop;
    HttpClient &m_http;
    bool m_forceFreshConnection = false;
};

} // namespace banyanlock
