#pragma once

#include "core/TimerService.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace banyanlock
{

/// The main thread of a daemon: runs events one at a time, with the timer service advanced before each.
///
/// Timers go first so that a process that was stopped for a while sees its own deadlines pass before it acts on messages that waited.
class EventLoop
{
public:
    EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// @return The current time.
    static TimePoint now()
    {
        return MonotonicClock::now();
    }

    /// @return The timer service that parts subscribe to.
    TimerService &timers()
    {
        return m_timers;
    }

    /// @return The context for sockets that live on this thread.
    asio::io_context &context()
    {
        return m_context;
    }

    /// Sets what runs after every event, to carry out the actions that decisions collected.
    /// @param flush What to run.
    void setFlush(std::function<void()> flush)
    {
        m_flush = std::move(flush);
    }

    /// Queues an event. Safe from every thread.
    /// @param event What to run.
    void post(std::function<void()> event);

    /// Runs an event at once; only on the loop's own thread.
    /// @param event What to run.
    void runEvent(const std::function<void()> &event);

    /// Sets what the first SIGTERM or SIGINT calls; a second one ends the process at once.
    /// @param shutdown Starts a graceful shutdown.
    void onShutdown(std::function<void()> shutdown);

    /// Sets what each SIGHUP calls. Without it the signal is passed over.
    /// @param reload Reads the settings anew.
    void onReload(std::function<void()> reload);

    /// Runs events until `stop`.
    void run();

    /// Ends `run`.
    void stop()
    {
        m_context.stop();
    }

    /// Runs an event again and again.
    /// @param interval Time between two runs.
    /// @param event What to run, with the current time.
    void repeat(Duration interval, std::function<void(TimePoint)> event);

private:
    void armWakeTimer();
    void waitForSignal();
    void waitForHangup();

    asio::io_context m_context{1};
    TimerService m_timers;
    asio::steady_timer m_wakeTimer;
    std::optional<TimePoint> m_armedDeadline; // deadline that the timer is set for
    asio::signal_set m_signals;
    asio::signal_set m_hangups;
    std::function<void()> m_flush;
    std::function<void()> m_shutdown;
    std::function<void()> m_reload;
    bool m_shuttingDown = false;
};

} // namespace banyanlock
