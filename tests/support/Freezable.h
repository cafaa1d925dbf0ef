#pragma once

#include "core/Time.h"
#include "support/VirtualNetwork.h"

#include <functional>
#include <utility>
#include <vector>

namespace banyanlock
{

/// A process that can be stopped for a while; what comes in the meantime waits.
class Freezable
{
public:
    /// Stops the process.
    /// @param until When it goes on.
    void freeze(TimePoint until)
    {
        m_frozenUntil = until;
    }

    /// @param now Current time.
    /// @return Whether the process is stopped.
    bool isFrozen(TimePoint now) const
    {
        return now < m_frozenUntil;
    }

    /// Keeps an event if the process is stopped.
    /// @param now Current time.
    /// @param event The event.
    /// @return Whether it was kept.
    template <typename Event> bool keepIfFrozen(TimePoint now, const Event &event)
    {
        if (isFrozen(now)) {
            m_waiting.push_back(event);
            return true;
        }
        return false;
    }

    /// Runs the events that waited.
    void thaw()
    {
        for (const auto &event : std::exchange(m_waiting, {})) {
            event();
        }
    }

private:
    TimePoint m_frozenUntil{};
    std::vector<std::function<void()>> m_waiting;
};

/// Stops a process for a while.
/// @param network Where time passes.
/// @param length How long.
/// @param find Gives the process, or null once another has its place.
template <typename Find> void freezeFor(VirtualNetwork &network, Duration length, Find find)
{
    find()->freeze(network.now() + length);
    network.after(length, [find] {
        if (Freezable *process = find()) {
            process->thaw();
        }
    });
}

} // namespace banyanlock
