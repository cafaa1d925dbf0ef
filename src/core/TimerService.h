#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace banyanlock
{

/// Identifies one subscription of the timer service. A default-constructed id identifies none.
struct TimerId {
    /// Slot of the subscription.
    std::uint32_t slot = 0;
    /// Generation of the slot; zero identifies no subscription.
    std::uint32_t generation = 0;
};

/// Calls subscribers when their deadline has passed.
///
/// The service reads no clock: its owner advances it, from the system's clock in a daemon and from virtual time in tests. Subscriptions
/// with the same deadline fire in the order in which they were made, so that runs are deterministic.
class TimerService
{
public:
    /// Called when a deadline has passed, with the current time.
    using Callback = std::function<void(TimePoint)>;

    /// Subscribes to a point in time.
    /// @param deadline Time of the call; a past deadline fires at the next advance.
    /// @param callback Function that is called once.
    /// @return Id for cancel().
    TimerId subscribe(TimePoint deadline, Callback callback);

    /// Cancels a subscription; does nothing if it has fired or was cancelled.
    /// @param id Subscription to cancel.
    void cancel(TimerId id);

    /// Fires all subscriptions that are due, including those that callbacks add.
    /// @param now Current time; must not be earlier than in the previous call.
    void advanceTo(TimePoint now);

    /// @return The earliest deadline, or an empty value if there is no subscription.
    std::optional<TimePoint> nextDeadline();

    /// @return Number of active subscriptions.
    std::size_t size() const
    {
        return m_slots.size() - m_freeSlots.size();
    }

private:
    struct Slot {
        Callback callback;
        std::uint32_t generation = 1;
        bool active = false;
    };
    struct HeapItem {
        TimePoint deadline;
        std::uint64_t order;
        TimerId id;
    };

    static bool laterThan(const HeapItem &left, const HeapItem &right);
    bool isActive(TimerId id) const;
    void releaseSlot(std::uint32_t slot);
    void removeCancelledTop();
    HeapItem popTop();

    std::vector<Slot> m_slots;
    std::vector<std::uint32_t> m_freeSlots;
    std::vector<HeapItem> m_heap;
    std::uint64_t m_nextOrder = 0;
};

} // namespace banyanlock
