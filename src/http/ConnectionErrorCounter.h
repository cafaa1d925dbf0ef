#pragma once

#include "core/Counters.h"

namespace banyanlock
{

/// Logger of a RESTinio server that counts errors, which close connections, and writes no log.
class ConnectionErrorCounter
{
public:
    /// @param counters Counters to which errors are added.
    explicit ConnectionErrorCounter(Counters &counters)
        : m_counters(counters)
    {
    }

    /// Ignores a message.
    template <typename Message> void trace(const Message &) const noexcept
    {
    }

    /// Ignores a message.
    template <typename Message> void info(const Message &) const noexcept
    {
    }

    /// Ignores a message.
    template <typename Message> void warn(const Message &) const noexcept
    {
    }

    /// Counts an error: malformed or oversized input, or a connection failure.
    template <typename Message> void error(const Message &) const noexcept
    {
        m_counters.add(Counter::ConnectionErrors);
    }

private:
    Counters &m_counters;
};

} // namespace banyanlock
