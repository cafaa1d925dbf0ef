#pragma once

#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <functional>
#include <utility>

namespace banyanlock
{

/// Sends to one server with callbacks on the event loop. After an exchange without a whole answer the next one makes a new connection,
/// since open ones may have gone silent.
class LoopHttp
{
public:
    /// @param loop Loop on which callbacks run.
    /// @param http HTTP client.
    LoopHttp(EventLoop &loop, HttpClient &http)
        : m_loop(loop)
        , m_http(http)
    {
    }

    /// Starts an exchange.
    /// @param request What to send.
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
