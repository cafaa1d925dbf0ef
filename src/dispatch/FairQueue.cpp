#include "dispatch/FairQueue.h"

#include "core/Assert.h"

#include <algorithm>

namespace banyanlock
{

FairQueue::WorkspaceQueue &FairQueue::queueOf(std::string_view workspace)
{
    auto queue = std::ranges::find(m_queues, workspace, &WorkspaceQueue::workspace);
    if (queue == m_queues.end()) {
        m_queues.push_back({std::string(workspace), {}, m_systemVirtualTime});
        queue = m_queues.end() - 1;
    }
    if (queue->requests.empty()) {
        // An idle workspace accumulates no credit: its virtual time catches up with the system's.
        queue->virtualTime = std::max(queue->virtualTime, m_systemVirtualTime);
    }
    return *queue;
}

void FairQueue::pushBack(std::string_view workspace, RequestHandle request)
{
    queueOf(workspace).requests.push_back(request);
    ++m_size;
}

void FairQueue::pushFront(std::string_view workspace, RequestHandle request)
{
    queueOf(workspace).requests.push_front(request);
    ++m_size;
}

const FairQueue::WorkspaceQueue *FairQueue::nextQueue() const
{
    const WorkspaceQueue *next = nullptr;
    for (const WorkspaceQueue &queue : m_queues) {
        if (!queue.requests.empty() && (next == nullptr || queue.virtualTime < next->virtualTime)) {
            next = &queue;
        }
    }
    return next;
}

std::optional<RequestHandle> FairQueue::front() const
{
    const WorkspaceQueue *queue = nextQueue();
    return queue == nullptr ? std::nullopt : std::optional(queue->requests.front());
}

std::optional<RequestHandle> FairQueue::backOfLongestQueue() const
{
    const auto longest = std::ranges::max_element(m_queues, {}, [](const WorkspaceQueue &queue) {
        return queue.requests.size();
    });
    const bool found = longest != m_queues.end() && !longest->requests.empty();
    return found ? std::optional(longest->requests.back()) : std::nullopt;
}

void FairQueue::popFront(std::uint32_t weight)
{
    const WorkspaceQueue *next = nextQueue();
    BANYANLOCK_ASSERT(next != nullptr);
    WorkspaceQueue &queue = m_queues[static_cast<std::size_t>(next - m_queues.data())];
    m_systemVirtualTime = std::max(m_systemVirtualTime, queue.virtualTime);
    queue.virtualTime += 1.0 / std::max(1U, weight);
    queue.requests.pop_front();
    --m_size;
}

bool FairQueue::remove(std::string_view workspace, RequestHandle request)
{
    const auto queue = std::ranges::find(m_queues, workspace, &WorkspaceQueue::workspace);
    if (queue == m_queues.end() || std::erase(queue->requests, request) == 0) {
        return false;
    }
    --m_size;
    return true;
}

std::size_t FairQueue::sizeOf(std::string_view workspace) const
{
    const auto queue = std::ranges::find(m_queues, workspace, &WorkspaceQueue::workspace);
    return queue == m_queues.end() ? 0 : queue->requests.size();
}

std::size_t FairQueue::activeWorkspaces() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_queues, [](const WorkspaceQueue &queue) {
        return !queue.requests.empty();
    }));
}

} // namespace banyanlock
