#pragma once

#include "core/Counters.h"

#include <cstdint>
#include <restinio/connection_state_listener.hpp>
#include <unordered_set>

namespace banyanlock
{

/// Counts a server's connections, and those that are closed before a whole request has come: half-open, slow or malformed ones.
class ConnectionEvents
{
public:
    /// @param counters Where connections are counted.
    explicit ConnectionEvents(Counters &counters)
        : m_counters(counters)
    {
    }

    /// Takes in that a connection has handed over a whole request.
    /// @param connection Its id.
    void onRequest(std::uint64_t connection)
    {
        m_withoutRequest.erase(connection);
    }

    /// Takes in a change of a connection's state; RESTinio calls it by this name.
    /// @param notice What changed.
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
