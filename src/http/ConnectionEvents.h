#pragma once

#include "core/Counters.h"

#include <cstdint>
#include <restinio/connection_state_listener.hpp>
#include <unordered_set>

namespace banyanlock
{

/// Counts a server's accepted connections, and those closed before a complete request arrived because they were half-open, slow or
/// malformed.
class ConnectionEvents
{
public:
    /// @param counters Counters to which connections are added.
    explicit ConnectionEvents(Counters &counters)
        : m_counters(counters)
    {
    }

    /// Records that a complete request arrived on a connection.
    /// @param connection Id of the connection.
    void onRequest(std::uint64_t connection)
    {
        m_withoutRequest.erase(connection);
    }

    /// Handles a change of a connection's state. RESTinio requires this name.
    /// @param notice Connection and its new state.
    void state_changed(const restinio::connection_state::notice_t &notice) // NOLINT(readability-identifier-naming)
    {
        const restinio::connection_state::cause_t cause = notice.cause();
        if (std::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
            m_counters.add(Counter::ConnectionsAccepted);
            m_withoutRequest.insert(notice.connection_id());
        } else if (m_withoutRequest.erase(notice.connection_id()) > 0) {
            m_counters.add(Counter::ConnectionsWithoutRequest);
        }
    }

private:
    Counters &m_counters;
    std::unordered_set<std::uint64_t> m_withoutRequest;
};

} // namespace banyanlock
