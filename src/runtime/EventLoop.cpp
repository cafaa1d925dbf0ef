#include "runtime/EventLoop.h"

#include <algorithm>
#include <asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace banyanlock
{

EventLoop::EventLoop()
    : m_wakeTimer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_hangups(m_context, SIGHUP)
{
    waitForHangup();
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
    armWakeTimer();
}

void EventLoop::armWakeTimer()
{
    const std::optional<TimePoint> deadline = m_timers.nextDeadline();
    if (!deadline) {
        return;
    }
    if (m_armedDeadline == deadline) {
        return;
    }
    // The clock of the asio timer stops while the instance is suspended, so a wait may end late by the length of the suspension. Deadlines
    // that passed in the meantime still fire, since each event advances the timer service first.
    m_armedDeadline = deadline;
    m_wakeTimer.expires_after(std::max(Duration::zero(), *deadline - now()));
    m_wakeTimer.async_wait([this](const std::error_code &error) {
        if (!error) {
            m_armedDeadline.reset();
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

void EventLoop::onReload(std::function<void()> reload)
{
    m_reload = std::move(reload);
}

void EventLoop::waitForHangup()
{
    m_hangups.async_wait([this](const std::error_code &error, int) {
        if (error) {
            return;
        }
        waitForHangup();
        if (m_reload) {
            runEvent(m_reload);
        }
    });
}

void EventLoop::run()
{
    const auto guard = asio::make_work_guard(m_context);
    m_context.restart();
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
