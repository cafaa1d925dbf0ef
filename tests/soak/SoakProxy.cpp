#include "SoakProxy.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

using Tcp = asio::ip::tcp;

Tcp::endpoint endpointOf(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

} // namespace

/// One client's connection and the one to the target.
struct SoakProxy::Session {
    explicit Session(asio::io_context &context)
        : client(context)
        , server(context)
        , timers{asio::steady_timer(context), asio::steady_timer(context)}
    {
    }

    Tcp::socket client;
    Tcp::socket server;
    std::array<asio::steady_timer, 2> timers; // by direction
    std::array<std::array<char, 16384>, 2> buffers{};
    bool muteToServer = false;
    bool muteToClient = false;
};

SoakProxy::SoakProxy(asio::io_context &context, const Endpoint &listen, const Endpoint &target)
    : m_context(context)
    , m_acceptor(context, endpointOf(listen))
    , m_target(endpointOf(target))
{
    accept();
}

void SoakProxy::setFault(ProxyFault fault, Duration delay)
{
    m_fault = fault;
    m_delay = delay;
    for (const std::weak_ptr<Session> &weak : m_sessions) {
        if (const std::shared_ptr<Session> session = weak.lock()) {
            session->muteToServer = session->muteToServer || fault == ProxyFault::Silenced;
            session->muteToClient = session->muteToClient || fault == ProxyFault::Silenced || fault == ProxyFault::AnswersLost;
        }
    }
}

void SoakProxy::silenceOpen()
{
    for (const std::weak_ptr<Session> &weak : m_sessions) {
        if (const std::shared_ptr<Session> session = weak.lock()) {
            session->muteToServer = true;
            session->muteToClient = true;
        }
    }
}

void SoakProxy::reset()
{
    for (const std::weak_ptr<Session> &weak : m_sessions) {
        if (const std::shared_ptr<Session> session = weak.lock()) {
            asio::error_code ignored;
            session->client.set_option(asio::socket_base::linger(true, 0), ignored);
            session->server.set_option(asio::socket_base::linger(true, 0), ignored);
            close(session);
        }
    }
    m_sessions.clear();
}

void SoakProxy::accept()
{
    auto session = std::make_shared<Session>(m_context);
    m_acceptor.async_accept(session->client, [this, session](const asio::error_code &error) {
        if (error) {
            return;
        }
        std::erase_if(m_sessions, [](const std::weak_ptr<Session> &weak) {
            return weak.expired();
        });
        if (m_fault == ProxyFault::Refusing) {
            close(session);
        } else {
            m_sessions.push_back(session);
            session->muteToServer = m_fault == ProxyFault::Silenced;
            session->muteToClient = session->muteToServer || m_fault == ProxyFault::AnswersLost;
            session->server.async_connect(m_target, [this, session](const asio::error_code &failure) {
                if (failure) {
                    close(session);
                    return;
                }
                pump(session, true);
                pump(session, false);
            });
        }
        accept();
    });
}

void SoakProxy::pump(const std::shared_ptr<Session> &session, bool fromClient)
{
    Tcp::socket &source = fromClient ? session->client : session->server;
    source.async_read_some(
        asio::buffer(session->buffers[fromClient ? 1 : 0]), [this, session, fromClient](const asio::error_code &error, std::size_t count) {
            const bool cut = !error && !fromClient && m_fault == ProxyFault::AnswersCut && std::exchange(m_cutsNext, !m_cutsNext);
            if (error || cut) {
                close(session);
            } else if (fromClient ? session->muteToServer : session->muteToClient) {
                pump(session, fromClient);
            } else if (m_fault == ProxyFault::Delayed) {
                passOnLater(session, fromClient, count, m_delay);
            } else {
                passOn(session, fromClient, count);
            }
        });
}

void SoakProxy::passOnLater(const std::shared_ptr<Session> &session, bool fromClient, std::size_t count, Duration delay)
{
    asio::steady_timer &timer = session->timers[fromClient ? 1 : 0];
    timer.expires_after(delay);
    timer.async_wait([this, session, fromClient, count](const asio::error_code &stopped) {
        if (!stopped) {
            passOn(session, fromClient, count);
        }
    });
}

void SoakProxy::passOn(const std::shared_ptr<Session> &session, bool fromClient, std::size_t count)
{
    if (m_fault == ProxyFault::HeldUp) {
        constexpr Duration pollInterval = fromMilliseconds(20);
        passOnLater(session, fromClient, count, pollInterval);
        return;
    }
    Tcp::socket &target = fromClient ? session->server : session->client;
    asio::async_write(target, asio::buffer(session->buffers[fromClient ? 1 : 0].data(), count),
                      [this, session, fromClient](const asio::error_code &error, std::size_t) {
                          if (error) {
                              close(session);
                          } else {
                              pump(session, fromClient);
                          }
                      });
}

void SoakProxy::close(const std::shared_ptr<Session> &session)
{
    asio::error_code ignored;
    session->client.close(ignored);
    session->server.close(ignored);
}

} // namespace banyanlock
