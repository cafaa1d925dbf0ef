#include "http/CallerBudget.h"

#include "core/Assert.h"

#include <array>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(CallerLimit::Count)> limitNames{"request_bytes", "held_bytes",
                                                                                                "connections"};

} // namespace

std::string_view callerLimitName(CallerLimit limit)
{
    return limitNames[static_cast<std::size_t>(limit)];
}

CallerBudget::Entry *CallerBudget::find(Connection connection)
{
    const auto found = m_entries.find(connection);
    return found == m_entries.end() || found->second.closing ? nullptr : &found->second;
}

void CallerBudget::charge(std::uint64_t bytes)
{
    m_held += bytes;
    m_heldLarge += bytes > smallBytes ? bytes : 0;
}

void CallerBudget::release(std::uint64_t bytes)
{
    m_held -= bytes;
    m_heldLarge -= bytes > smallBytes ? bytes : 0;
}

void CallerBudget::markClosing(Entry &entry)
{
    release(bytesOf(entry));
    entry.closing = true;
    --m_servers[entry.server].connections;
}

CallerBudget::Connection CallerBudget::open(Server server, TimePoint now)
{
    const Connection connection = ++m_last;
    Entry entry;
    entry.server = server;
    entry.lastProgress = now;
    m_entries.emplace(connection, entry);
    ++m_servers[server].connections;
    return connection;
}

void CallerBudget::close(Connection connection)
{
    if (Entry *entry = find(connection)) {
        markClosing(*entry);
    }
    m_entries.erase(connection);
}

void CallerBudget::receive(Connection connection, std::uint64_t bytes, std::uint64_t lines, TimePoint now)
{
    Entry *entry = find(connection);
    if (!entry) {
        return;
    }
    release(bytesOf(*entry));
    entry->lastProgress = now;
    entry->wireBytes += bytes;
    entry->received += bytes + lines * lineBytes;
    charge(bytesOf(*entry));
    if (entry->wireBytes > m_limits.requestBytes) {
        m_closings.push_back({connection, CallerLimit::RequestBytes, bytesOf(*entry)});
        markClosing(*entry);
    }
}

void CallerBudget::announce(Connection connection, std::uint64_t bytes)
{
    if (Entry *entry = find(connection)) {
        release(bytesOf(*entry));
        entry->announced = std::min(bytes, m_limits.requestBytes);
        charge(bytesOf(*entry));
    }
}

bool CallerBudget::beginRequest(Connection connection, std::uint64_t bytes)
{
    Entry *entry = find(connection);
    if (!entry) {
        return false;
    }
    release(bytesOf(*entry));
    entry->wireBytes = 0;
    entry->received = 0;
    entry->announced = 0;
    charge(bytesOf(*entry));
    const bool fits = m_held + bytes <= m_limits.heldBytes && (bytes <= smallBytes || m_heldLarge + bytes <= largeLimit());
    if (fits) {
        entry->inProgress = true;
        charge(bytes);
    }
    return fits;
}

void CallerBudget::endRequest(std::uint64_t bytes)
{
    release(bytes);
}

void CallerBudget::beginAnswer(Connection connection, std::uint64_t bytes, TimePoint now)
{
    if (Entry *entry = find(connection)) {
        release(bytesOf(*entry));
        entry->inProgress = false;
        entry->unsent = bytes;
        entry->lastProgress = now;
        charge(bytesOf(*entry));
    }
}

void CallerBudget::progress(Connection connection, TimePoint now)
{
    if (Entry *entry = find(connection)) {
        entry->lastProgress = now;
    }
}

void CallerBudget::endAnswer(Connection connection)
{
    if (Entry *entry = find(connection)) {
        release(bytesOf(*entry));
        entry->unsent = 0;
        charge(bytesOf(*entry));
    }
}

template <typename Predicate> std::optional<CallerBudget::Connection> CallerBudget::worst(TimePoint now, Predicate isCandidate) const
{
    std::optional<Connection> result;
    std::pair<double, double> worstRank;
    for (const auto &[connection, entry] : m_entries) {
        if (entry.closing || entry.inProgress || !isCandidate(entry)) {
            continue;
        }
        constexpr double millisecondsPerDoubling = 1000; // a connection that has stalled for 1 s ranks like one of twice the size
        const auto stalled = static_cast<double>(toMilliseconds(now - entry.lastProgress));
        const std::pair rank(static_cast<double>(bytesOf(entry)) * (1 + stalled / millisecondsPerDoubling), stalled);
        if (!result || rank > worstRank) {
            worstRank = rank;
            result = connection;
        }
    }
    return result;
}

std::vector<CallerBudget::Closing> CallerBudget::takeClosings(TimePoint now)
{
    const auto closeWorst = [&](CallerLimit limit, auto isCandidate) {
        const std::optional<Connection> connection = worst(now, isCandidate);
        if (connection) {
            Entry &entry = m_entries.at(*connection);
            m_closings.push_back({*connection, limit, bytesOf(entry)});
            markClosing(entry);
        }
        return connection.has_value();
    };
    while (m_heldLarge > largeLimit() && closeWorst(CallerLimit::HeldBytes, [](const Entry &entry) {
               return bytesOf(entry) > smallBytes;
           })) { }
    while (m_held > m_limits.heldBytes && closeWorst(CallerLimit::HeldBytes, [](const Entry &entry) {
               return bytesOf(entry) > 0;
           })) { }
    for (const auto &[server, state] : m_servers) {
        const auto isIdle = [server = server](const Entry &entry) {
            return entry.server == server && bytesOf(entry) == 0;
        };
        const auto isOfServer = [server = server](const Entry &entry) {
            return entry.server == server;
        };
        while (state.connections > state.limit
               && (closeWorst(CallerLimit::Connections, isIdle) || closeWorst(CallerLimit::Connections, isOfServer))) { }
    }
    return std::exchange(m_closings, {});
}

} // namespace banyanlock
