#pragma once

#include "core/TimerService.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Event loop of one process in virtual time. All loops of a world share its time; a frozen one stands still.
class VirtualLoop
{
public:
    /// @param now Time of the world.
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

    /// Calls back after a span.
    /// @param delay Time from now.
    /// @param event What to call.
    /// @return Id to cancel with.
    TimerId after(Duration delay, std::function<void()> event)
    {
        return m_timers.subscribe(m_now + delay, [event = std::move(event)](TimePoint) {
            event();
        });
    }

    /// Runs an event again and again.
    /// @param interval Time between two runs.
    /// @param event What to run.
    void repeat(Duration interval, std::function<void(TimePoint)> event)
    {
        m_timers.subscribe(m_now + interval, [this, interval, event = std::move(event)](TimePoint fired) {
            event(fired);
            repeat(interval, event);
        });
    }

    /// Sets what runs after the events of a moment.
    /// @param flush What to run.
    void setFlush(std::function<void()> flush)
    {
        m_flush = std::move(flush);
    }

    /// Runs what is due.
    void runDue()
    {
        m_timers.advanceTo(m_now);
        if (m_flush) {
            m_flush();
        }
    }

    /// @param frozen Whether the process stands still.
    void setFrozen(bool frozen)
    {
        m_frozen = frozen;
    }

    /// @return Whether the process stands still.
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
