#pragma once

#include "core/Random.h"
#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace banyanlock
{

/// How a virtual network treats messages.
struct NetworkFaults {
    double loss = 0; ///< Chance that a message is lost.
    double duplication = 0; ///< Chance that a message comes twice.
    Duration longestDelay = fromMilliseconds(3); ///< Longest ordinary delay.
    double stragglers = 0; ///< Chance that a message takes up to a second.
};

/// Events in virtual time, with a network whose faults come from one seed.
class VirtualNetwork
{
public:
    /// Runs at its time.
    using Event = std::function<void()>;

    /// @param random Source of all chances.
    explicit VirtualNetwork(Random &random)
        : m_random(random)
    {
    }

    /// @return Current virtual time.
    TimePoint now() const
    {
        return m_now;
    }

    /// Runs an event later.
    /// @param delay How much later.
    /// @param event The event.
    void after(Duration delay, Event event)
    {
        m_events.push({m_now + delay, m_order++, std::move(event)});
    }

    /// Sends a message: it may be late, lost or doubled.
    /// @param faults How the network treats it.
    /// @param deliver Its delivery.
    void send(const NetworkFaults &faults, const Event &deliver)
    {
        if (m_random.chance(faults.loss)) {
            return;
        }
        after(delay(faults), deliver);
        if (m_random.chance(faults.duplication)) {
            after(delay(faults), deliver);
        }
    }

    /// Runs events until a point in time.
    /// @param end Where to stop.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            Item item = m_events.top();
            m_events.pop();
            m_now = item.at;
            item.event();
        }
        m_now = end;
    }

private:
    struct Item {
        TimePoint at;
        std::uint64_t order;
        Event event;

        bool operator<(const Item &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    Duration delay(const NetworkFaults &faults)
    {
        const Duration longest = m_random.chance(faults.stragglers) ? fromMilliseconds(1000) : faults.longestDelay;
        return Duration(m_random.below(static_cast<std::uint32_t>(longest.count()) + 1));
    }

    Random &m_random;
    std::priority_queue<Item> m_events;
    TimePoint m_now{fromMilliseconds(1000000)};
    std::uint64_t m_order = 0;
};

} // namespace banyanlock
