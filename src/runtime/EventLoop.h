#pragma once

#include "core/TimerService.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace banyanlock
{

/// Event loop of a daemon's main thread: runs events one at a time and advances the timer service before each.
///
/// Expired timers run before the event, so that a process that was suspended handles its own passed deadlines before it acts on queued
/// messages.
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

    /// @return The timer service, on which components subscribe to deadlines.
    TimerService &timers()
    {
        return m_timers;
    }

    /// @return The I/O context for sockets that are used on this thread.
    asio::io_context &context()
    {
        return m_context;
    }

    /// Sets the function that runs after every event and executes the actions collected during it.
    /// @param flush Function to run.
    void setFlush(std::function<void()> flush)
    {
        m_flush = std::move(flush);
    }

    /// Queues an event. Thread-safe.
    /// @param event Function to run.
    void post(std::function<void()> event);

    /// Runs an event immediately. Must be called on the loop's own thread.
    /// @param event Function to run.
    void runEvent(const std::function<void()> &event);

    /// Sets the handler of the first SIGTERM or SIGINT. A second signal ends the process immediately.
    /// @param shutdown Function that starts a graceful shutdown.
    void onShutdown(std::function<void()> shutdown);

    /// Sets the handler of SIGHUP. Without a handler the signal is ignored.
    /// @param reload Function that reloads the settings.
    void onReload(std::function<void()> reload);

    /// Runs events until `stop` is called.
    void run();

    /// Makes `run` return.
    void stop()
    {
        m_context.stop();
    }

    /// Runs an event periodically; the first run is after one interval.
    /// @param interval Time between two runs.
    /// @param event Function to run; receives the current time.
    void repeat(Duration interval, std::function<void(TimePoint)> event);

private:
    void armWakeTimer();
    void waitForSignal();
    void waitForHangup();

    asio::io_context m_context{1};
    TimerService m_timers;
    asio::steady_timer m_wakeTimer;
    std::optional<TimePoint> m_armedDeadline; // deadline for which m_wakeTimer is set
    asio::signal_set m_signals;
    asio::signal_set m_hangups;
    std::function<void()> m_flush;
    std::function<void()> m_shutdown;
    std::function<void()> m_reload;
    bool m_shuttingDown = false;
};

} // namespace banyanlock
