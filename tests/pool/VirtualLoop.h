#pragma once

#include "core/TimerService.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Event loop of one process in virtual time. All loops of a simulation share one clock; a frozen loop runs no events.
class VirtualLoop
{
public:
    /// @param now Clock of the simulation; the loop keeps the reference.
    explicit VirtualLoop(const TimePoint &now)
        : m_now(now)
    {
    }

    /// @return The current time.
    TimePoint now() const
    {
        return m_now;
    }

    /// @return The timer service.
    TimerService &timers()
    {
        return m_timers;
    }

    /// Schedules a callback.
    /// @param delay Time from now.
    /// @param event Callback.
    /// @return Id with which the timer can be cancelled.
    TimerId after(Duration delay, std::function<void()> event)
    {
        return m_timers.subscribe(m_now + delay, [event = std::move(event)](TimePoint) {
            event();
        });
    }

    /// Schedules a callback at a fixed interval.
    /// @param interval Time between two calls.
    /// @param event Callback, which receives the time at which its timer was due.
    void repeat(Duration interval, std::function<void(TimePoint)> event)
    {
        m_timers.subscribe(m_now + interval, [this, interval, event = std::move(event)](TimePoint fired) {
            event(fired);
            repeat(interval, event);
        });
    }

    /// Sets the callback that runs after all timers of one point in time.
    /// @param flush Callback.
    void setFlush(std::function<void()> flush)
    {
        m_flush = std::move(flush);
    }

    /// Runs all due timers, then the flush callback.
    void runDue()
    {
        m_timers.advanceTo(m_now);
        if (m_flush) {
            m_flush();
        }
    }

    /// @param frozen Whether the process is suspended.
    void setFrozen(bool frozen)
    {
        m_frozen = frozen;
    }

    /// @return Whether the process is suspended.
    bool isFrozen() const
    {
        return m_frozen;
    }

private:
    const TimePoint &m_now;
    TimerService m_timers;
    std::function<void()> m_flush;
    bool m_frozen = false;
};

} // namespace banyanlock
