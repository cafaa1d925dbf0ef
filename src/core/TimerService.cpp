#include "core/TimerService.h"

#include "core/Assert.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

bool TimerService::laterThan(const HeapItem &left, const HeapItem &right)
{
    if (left.deadline != right.deadline) {
        return left.deadline > right.deadline;
    }
    return left.order > right.order;
}

TimerId TimerService::subscribe(TimePoint deadline, Callback callback)
{
    if (m_freeSlots.empty()) {
        m_freeSlots.push_back(static_cast<std::uint32_t>(m_slots.size()));
        m_slots.emplace_back();
    }
    const std::uint32_t slot = m_freeSlots.back();
    m_freeSlots.pop_back();
    m_slots[slot].callback = std::move(callback);
    m_slots[slot].active = true;
    const TimerId id{slot, m_slots[slot].generation};
    m_heap.push_back({deadline, m_nextOrder++, id});
    std::push_heap(m_heap.begin(), m_heap.end(), laterThan);
    return id;
}

bool TimerService::isActive(TimerId id) const
{
    return id.generation != 0 && m_slots[id.slot].active && m_slots[id.slot].generation == id.generation;
}

void TimerService::releaseSlot(std::uint32_t slot)
{
    m_slots[slot].callback = nullptr;
    m_slots[slot].active = false;
    ++m_slots[slot].generation;
    m_freeSlots.push_back(slot);
}

void TimerService::cancel(TimerId id)
{
    if (isActive(id)) {
        releaseSlot(id.slot);
    }
}

TimerService::HeapItem TimerService::popTop()
{
    std::pop_heap(m_heap.begin(), m_heap.end(), laterThan);
    const HeapItem item = m_heap.back();
    m_heap.pop_back();
    return item;
}

void TimerService::removeCancelledTop()
{
    while (!m_heap.empty() && !isActive(m_heap.front().id)) {
        popTop();
    }
}

void TimerService::advanceTo(TimePoint now)
{
    removeCancelledTop();
    while (!m_heap.empty() && m_heap.front().deadline <= now) {
        const HeapItem item = popTop();
        Callback callback = std::move(m_slots[item.id.slot].callback);
        releaseSlot(item.id.slot);
        callback(now);
        removeCancelledTop();
    }
    BANYANLOCK_ASSERT(m_heap.size() >= size());
}

std::optional<TimePoint> TimerService::nextDeadline()
{
    removeCancelledTop();
    if (m_heap.empty()) {
        return std::nullopt;
    }
    return m_heap.front().deadline;
}

} // namespace banyanlock
