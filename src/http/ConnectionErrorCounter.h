#pragma once

#include "core/Counters.h"

namespace banyanlock
{

/// RESTinio's logger of a server: counts the errors that close connections, and writes nothing.
class ConnectionErrorCounter
{
public:
    /// @param counters Where errors are counted.
    explicit ConnectionErrorCounter(Counters &counters)
        : m_counters(counters)
    {
    }

    /// Drops a message.
    template <typename Message> void trace(const Message &) const noexcept
    {
    }

    /// Drops a message.
    template <typename Message> void info(const Message &) const noexcept
    {
    }

    /// Drops a message.
    template <typename Message> void warn(const Message &) const noexcept
    {
    }

    /// Counts an error: malformed or oversize input, or a broken connection.
    template <typename Message> void error(const Message &) const noexcept
    {
        m_counters.add(Counter::ConnectionErrors);
    }

private:
    Counters &m_counters;
};

} // namespace banyanlock
