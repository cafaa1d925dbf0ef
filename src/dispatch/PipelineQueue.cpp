#include "dispatch/CodeCounters.h"
#include "dispatch/RequestPipeline.h"

#include <algorithm>

namespace banyanlock
{

RequestPipeline::ServiceQueue &RequestPipeline::queueOf(std::string_view service)
{
    auto serviceQueue = std::ranges::find(m_queues, service, &ServiceQueue::service);
    if (serviceQueue == m_queues.end()) {
        m_queues.push_back({std::string(service), {}});
        serviceQueue = m_queues.end() - 1;
    }
    return *serviceQueue;
}

std::string_view RequestPipeline::queueNameOf(const PendingRequest &pending) const
{
    return m_limits.orderByArrival ? std::string_view() : std::string_view(pending.request.workspace);
}

RoutingContext RequestPipeline::contextOf(const PendingRequest &pending, TimePoint now) const
{
    return {m_members,       now,          pending.deadline, pending.request.service, m_limits.failureDomain,
            m_limits.region, m_outDomains, pending.excluded};
}

RequestPipeline::ServiceTimes RequestPipeline::serviceTimes(const RoutingContext &context)
{
    ServiceTimes times;
    for (const Member &member : context.table.members()) {
        if (serves(member, context)) {
            times.averageMicroseconds += member.serviceMicroseconds * member.announced.slots;
            times.upperMicroseconds += member.upperServiceMicroseconds() * member.announced.slots;
            times.slots += member.announced.slots;
        }
    }
    if (times.slots > 0) {
        times.averageMicroseconds /= times.slots;
        times.upperMicroseconds /= times.slots;
    }
    return times;
}

bool RequestPipeline::canMeetDeadline(const PendingRequest &pending, ServiceQueue &serviceQueue, TimePoint now) const
{
    if (serviceQueue.queue.size() == 0) {
        return true;
    }
    const ServiceTimes times = serviceTimes(contextOf(pending, now));
    if (times.slots == 0) {
        return true;
    }
    // The waiting workspaces are served in turn, so that each request of the own workspace waits for one request of every active workspace.
    const std::size_t fairSharePosition
        = (serviceQueue.queue.sizeOf(queueNameOf(pending)) + 1) * std::max<std::size_t>(1, serviceQueue.queue.activeWorkspaces());
    const auto ahead = static_cast<double>(std::min(serviceQueue.queue.size(), fairSharePosition));
    const double expected = ahead * times.averageMicroseconds / times.slots + times.upperMicroseconds;
    return expected <= static_cast<double>((pending.deadline - now).count());
}

bool RequestPipeline::evictFromLongestQueue(ServiceQueue &serviceQueue, const PendingRequest &pending)
{
    // A workspace that fills the bounded queue must not block the others: the longest queue loses its last request.
    const RequestHandle last = *serviceQueue.queue.backOfLongestQueue();
    const std::string_view longestWorkspace = queueNameOf(*find(last));
    if (serviceQueue.queue.sizeOf(longestWorkspace) <= serviceQueue.queue.sizeOf(queueNameOf(pending)) + 1) {
        return false;
    }
    serviceQueue.queue.remove(longestWorkspace, last);
    refuse(last, ResultCode::QueueFull);
    return true;
}

void RequestPipeline::enqueue(RequestHandle handle, TimePoint now)
{
    PendingRequest &pending = *find(handle);
    ServiceQueue &serviceQueue = queueOf(pending.request.service);
    if (serviceQueue.queue.size() >= m_limits.queueLimit && !evictFromLongestQueue(serviceQueue, pending)) {
        refuse(handle, ResultCode::QueueFull);
        return;
    }
    if (!canMeetDeadline(pending, serviceQueue, now)) {
        refuse(handle, ResultCode::DeadlineUnreachable);
        return;
    }
    pending.phase = Phase::Queued;
    serviceQueue.queue.pushBack(queueNameOf(pending), handle);
    dispatchQueue(serviceQueue, now);
}

void RequestPipeline::dispatchAllQueues(TimePoint now)
{
    for (ServiceQueue &serviceQueue : m_queues) {
        dispatchQueue(serviceQueue, now);
    }
}

void RequestPipeline::dispatchQueue(ServiceQueue &serviceQueue, TimePoint now)
{
    while (serviceQueue.queue.size() > 0 && dispatchNext(serviceQueue, now)) { }
}

bool RequestPipeline::dispatchNext(ServiceQueue &serviceQueue, TimePoint now)
{
    const RequestHandle handle = *serviceQueue.queue.front();
    PendingRequest &pending = *find(handle);
    const RoutingContext context = contextOf(pending, now);
    const ServiceTimes times = serviceTimes(context);
    const auto remaining = static_cast<double>((pending.deadline - now).count());
    if (remaining < times.upperMicroseconds) {
        serviceQueue.queue.popFront(m_admission.shareOf(pending.request.workspace));
        refuse(handle, ResultCode::DeadlineUnreachable);
        return true;
    }
    const std::optional<std::size_t> chosen = std::visit(
        [&](auto &policy) {
            return policy.choose(context);
        },
        m_policy);
    if (!chosen) {
        // A refusal reflects a momentary state: once no candidate is left, the excluded members may be tried again.
        pending.excluded.clear();
        return false;
    }
    serviceQueue.queue.popFront(m_admission.shareOf(pending.request.workspace));
    sendAttempt(handle, pending, m_members.members()[*chosen], now);
    return true;
}

} // namespace banyanlock
