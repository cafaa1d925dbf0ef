#include "http/CallerSocket.h"

#include "core/Log.h"

#include <algorithm>
#include <string>

namespace banyanlock
{
namespace
{

constexpr Duration logInterval = fromMilliseconds(1000);

constexpr Counter counterOf(CallerLimit limit)
{
    switch (limit) {
    case CallerLimit::RequestBytes:
        return Counter::CallersOverRequestBytes;
    case CallerLimit::Connections:
        return Counter::CallersOverConnections;
    default:
        return Counter::CallersOverHeldBytes;
    }
}

} // namespace

asio::execution_context::id CallerConnections::id;

void CallerConnections::addServer(std::uint16_t port, std::size_t connections, CallerLimits limits, Counters &counters)
{
    m_budget.setLimits(limits);
    m_budget.setConnectionLimit(port, connections);
    m_counters = &counters;
}

void CallerConnections::record(CallerLimit limit, std::uint64_t bytes)
{
    m_counters->add(counterOf(limit));
    ++m_unlogged;
    const TimePoint now = MonotonicClock::now();
    if (m_loggedAt && now - *m_loggedAt < logInterval) {
        return;
    }
    Log::warning("caller_over_limit",
                 {{"limit", std::string(callerLimitName(limit))},
                  {"bytes", static_cast<std::int64_t>(bytes)},
                  {"held_bytes", static_cast<std::int64_t>(m_budget.heldBytes())},
                  {"since_last_line", static_cast<std::int64_t>(m_unlogged)}});
    m_loggedAt = now;
    m_unlogged = 0;
}

CallerBudget::Connection CallerConnections::add(CallerSocket &socket)
{
    std::error_code error;
    const std::uint16_t port = socket.local_endpoint(error).port();
    const CallerBudget::Connection connection = m_budget.open(port, MonotonicClock::now());
    m_sockets.emplace(connection, &socket);
    closeExcess();
    return connection;
}

void CallerConnections::remove(CallerBudget::Connection connection)
{
    m_budget.close(connection);
    m_sockets.erase(connection);
}

void CallerConnections::closeExcess()
{
    for (const CallerBudget::Closing &closing : m_budget.takeClosings(MonotonicClock::now())) {
        record(closing.limit, closing.bytes);
        m_sockets.at(closing.connection)->abort();
    }
}

bool CallerSocket::acceptBytes(std::string_view bytes)
{
    if (!m_aborted) {
        CallerBudget &budget = m_connections->m_budget;
        if (!budget.isReceiving(m_connection)) {
            m_announced = AnnouncedLength();
        }
        const auto lines = static_cast<std::uint64_t>(std::ranges::count(bytes, '\n'));
        budget.receive(m_connection, bytes.size(), lines, MonotonicClock::now());
        m_announced.feed(bytes);
        if (m_announced.value() > 0) {
            budget.announce(m_connection, m_announced.value());
        }
        m_connections->closeExcess();
    }
    return !m_aborted;
}

void CallerSocket::recordProgress()
{
    if (m_connections) {
        m_connections->m_budget.progress(m_connection, MonotonicClock::now());
    }
}

void CallerSocket::abort()
{
    m_aborted = true;
    // A shutdown ends pending reads and writes with an error, on which RESTinio closes the connection; without lingering the kernel then
    // drops what is unsent. Closing the socket here would leave RESTinio's connection without an end.
    std::error_code ignored;
    set_option(asio::socket_base::linger(true, 0), ignored);
    shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

} // namespace banyanlock
