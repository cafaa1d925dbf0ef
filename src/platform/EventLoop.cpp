#include "platform/EventLoop.h"

#include <asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace banyanlock
{

EventLoop::EventLoop()
    : m_wake(m_context)
    , m_signals(m_context, SIGTERM, SIGINT)
{
}

void EventLoop::post(std::function<void()> event)
{
    asio::post(m_context, [this, event = std::move(event)] {
        runEvent(event);
    });
}

void EventLoop::runEvent(const std::function<void()> &event)
{
    m_timers.advanceTo(now());
    event();
    if (m_flush) {
        m_flush();
    }
    armWake();
}

void EventLoop::armWake()
{
    const std::optional<TimePoint> deadline = m_timers.nextDeadline();
    if (!deadline) {
        return;
    }
    const std::chrono::steady_clock::time_point wakeAt(deadline->time_since_epoch());
    if (m_wake.expiry() == wakeAt) {
        return;
    }
    m_wake.expires_at(wakeAt);
    m_wake.async_wait([this](const std::error_code &error) {
        if (!error) {
            runEvent([] {
            });
        }
    });
}

void EventLoop::onShutdown(std::function<void()> shutdown)
{
    m_shutdown = std::move(shutdown);
    waitForSignal();
}

void EventLoop::waitForSignal()
{
    m_signals.async_wait([this](const std::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (m_shuttingDown) {
            std::_Exit(128 + signal);
        }
        m_shuttingDown = true;
        waitForSignal();
        runEvent(m_shutdown);
    });
}

void EventLoop::run()
{
    const auto guard = asio::make_work_guard(m_context);
    runEvent([] {
    });
    m_context.run();
}

void EventLoop::repeat(Duration interval, std::function<void(TimePoint)> event)
{
    m_timers.subscribe(now() + interval, [this, interval, event = std::move(event)](TimePoint fired) {
        event(fired);
        repeat(interval, event);
    });
}

} // namespace banyanlock
