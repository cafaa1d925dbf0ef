#pragma once

#include "core/Endpoint.h"
#include "core/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <list>
#include <memory>

namespace banyanlock
{

/// What a proxy does to the bytes that pass.
enum class ProxyFault : std::uint8_t {
    None, ///< It passes them on.
    Delayed, ///< It passes them on later.
    Silenced, ///< It takes them and passes nothing on; connections of that time stay silent.
    AnswersLost, ///< It passes on what clients send, and no answers; connections of that time stay so.
    AnswersCut, ///< It passes on what clients send, and closes the connection in place of each second answer.
    HeldUp, ///< It passes nothing on until the fault ends, and then everything.
    Refusing, ///< It closes new connections at once.
};

/// A TCP proxy on loopback that harms the connections through it.
class SoakProxy
{
public:
    /// @param context Context to run on.
    /// @param listen Where it listens.
    /// @param target Where it connects to.
    SoakProxy(asio::io_context &context, const Endpoint &listen, const Endpoint &target);

    /// Sets what happens to bytes from now on, also on open connections.
    /// @param fault What to do.
    /// @param delay Delay of `Delayed`.
    void setFault(ProxyFault fault, Duration delay = {});

    /// @return Delay that applies now.
    Duration delay() const
    {
        return m_fault == ProxyFault::Delayed ? m_delay : Duration::zero();
    }

    /// Makes the connections that are open now silent for good; later ones are not.
    void silenceOpen();

    /// Resets all open connections.
    void reset();

private:
    struct Session;

    void accept();
    void pump(const std::shared_ptr<Session> &session, bool fromClient);
    void passOn(const std::shared_ptr<Session> &session, bool fromClient, std::size_t count);
    void passOnLater(const std::shared_ptr<Session> &session, bool fromClient, std::size_t count, Duration delay);
    static void close(const std::shared_ptr<Session> &session);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    ProxyFault m_fault = ProxyFault::None;
    Duration m_delay{};
    bool m_cutsNext = false; // of `AnswersCut`
    std::list<std::weak_ptr<Session>> m_sessions;
};

} // namespace banyanlock
