#pragma once

#include "core/Counters.h"
#include "http/AnnouncedLength.h"
#include "http/CallerBudget.h"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/execution_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace banyanlock
{

class CallerSocket;

/// Connections of all servers on one event loop: applies the decisions of a `CallerBudget` to their sockets.
class CallerConnections : public asio::execution_context::service
{
public:
    /// Type under which Asio finds the service; required by Asio.
    using key_type = CallerConnections; // NOLINT(readability-identifier-naming): required by Asio

    static asio::execution_context::id id; ///< Required by Asio.

    /// @param context Context of the event loop.
    explicit CallerConnections(asio::execution_context &context)
        : asio::execution_context::service(context)
    {
    }

    /// Releases nothing: sockets outlive the service only while their context is destroyed. Required by Asio.
    void shutdown() override
    {
    }

    /// @param context Context of the event loop.
    /// @return The connections of that event loop.
    static CallerConnections &of(asio::execution_context &context)
    {
        return asio::use_service<CallerConnections>(context);
    }

    /// Adds a server.
    /// @param port Port on which it listens; identifies the server.
    /// @param connections Maximum number of its connections.
    /// @param limits Limits of the process; those of the last server apply.
    /// @param counters Counters of closed connections; must outlive the event loop's sockets.
    void addServer(std::uint16_t port, std::size_t connections, CallerLimits limits, Counters &counters);

    /// @return The budget.
    CallerBudget &budget()
    {
        return m_budget;
    }

    /// @return The connection whose request is being parsed and handled, or zero.
    CallerBudget::Connection current() const
    {
        return m_current;
    }

    /// Counts a refusal or a closed connection and logs it, with at most one line a second.
    /// @param limit Limit that was exceeded.
    /// @param bytes Bytes held for the connection.
    void record(CallerLimit limit, std::uint64_t bytes);

    /// Closes connections until the limits hold.
    void closeExcess();

private:
    friend class CallerSocket;

    CallerBudget::Connection add(CallerSocket &socket);
    void remove(CallerBudget::Connection connection);

    CallerBudget m_budget;
    std::unordered_map<CallerBudget::Connection, CallerSocket *> m_sockets;
    CallerBudget::Connection m_current = 0;
    Counters *m_counters = nullptr;
    std::uint64_t m_unlogged = 0;
    std::optional<TimePoint> m_loggedAt;
};

/// TCP socket of a RESTinio connection that accounts for the bytes that arrive on it and can be closed by the budget.
///
/// RESTinio collects a request before it calls the handler, so this is the only place that sees the bytes of unfinished requests.
class CallerSocket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::socket;

    /// Takes over a socket before its first read. Later moves would invalidate the registration.
    /// @param other Socket to move.
    CallerSocket(CallerSocket &&other) = default;

    /// Takes over a socket before its first read, like the constructor.
    /// @param other Socket to move.
    /// @return This socket.
    CallerSocket &operator=(CallerSocket &&other) = default;

    ~CallerSocket()
    {
        if (m_connection != 0) {
            m_connections->remove(m_connection);
        }
    }

    CallerSocket(const CallerSocket &) = delete;
    CallerSocket &operator=(const CallerSocket &) = delete;

    /// Reads as `asio::ip::tcp::socket` does and accounts for the bytes. After the budget has closed the connection, the handler gets
    /// `connection_aborted`.
    /// @param buffer Single buffer to read into.
    /// @param handler Completion handler.
    template <typename Buffer, typename Handler>
    void async_read_some(const Buffer &buffer, Handler &&handler) // NOLINT(readability-identifier-naming): required by Asio
    {
        if (m_connection == 0) {
            m_connections = &CallerConnections::of(get_executor().context());
            m_connection = m_connections->add(*this);
        }
        auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_read_some(
            buffer,
            asio::bind_executor(executor,
                                [this, buffer, handler = std::forward<Handler>(handler)](std::error_code error, std::size_t count) mutable {
                                    if (error) {
                                        std::move(handler)(error, count);
                                        return;
                                    }
                                    if (!acceptBytes({static_cast<const char *>(buffer.data()), count})) {
                                        error = asio::error::connection_aborted;
                                        count = 0;
                                    }
                                    runAsCurrent(std::move(handler), error, count);
                                }));
    }

    /// Writes as `asio::ip::tcp::socket` does and records progress.
    /// @param buffers Buffers to write.
    /// @param handler Completion handler.
    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(readability-identifier-naming): required by Asio
    {
        auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_write_some(
            buffers,
            asio::bind_executor(executor,
                                [this, handler = std::forward<Handler>(handler)](const std::error_code &error, std::size_t count) mutable {
                                    recordProgress();
                                    // RESTinio parses buffered input after a write, so a request may be handled here too.
                                    runAsCurrent(std::move(handler), error, count);
                                }));
    }

private:
    friend class CallerConnections;

    bool acceptBytes(std::string_view bytes);
    void recordProgress();
    void abort();

    template <typename Handler> void runAsCurrent(Handler handler, const std::error_code &error, std::size_t count)
    {
        // The handler may destroy this socket, so only the connections are used after it.
        CallerConnections &connections = *m_connections;
        connections.m_current = m_connection;
        std::move(handler)(error, count);
        connections.m_current = 0;
    }

    CallerConnections *m_connections = nullptr;
    CallerBudget::Connection m_connection = 0; // zero before the first read
    AnnouncedLength m_announced; // of the request that is being received
    bool m_aborted = false;
};

} // namespace banyanlock
