#include "dispatch/CodeCounters.h"
#include "dispatch/RequestPipeline.h"

#include <algorithm>

namespace banyanlock
{

RequestPipeline::ServiceQueue &RequestPipeline::queueOf(std::string_view service)
{
    auto line = std::ranges::find(m_queues, service, &ServiceQueue::service);
    if (line == m_queues.end()) {
        m_queues.push_back({std::string(service), {}});
        line = m_queues.end() - 1;
    }
    return *line;
}

std::string_view RequestPipeline::queueNameOf(const Pending &pending) const
{
    return m_limits.orderByArrival ? std::string_view() : std::string_view(pending.request.workspace);
}

RoutingContext RequestPipeline::contextOf(const Pending &pending, TimePoint now) const
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
            times.longMicroseconds += member.longServiceMicroseconds() * member.announced.slots;
            times.slots += member.announced.slots;
        }
    }
    if (times.slots > 0) {
        times.averageMicroseconds /= times.slots;
        times.longMicroseconds /= times.slots;
    }
    return times;
}

bool RequestPipeline::canMeetDeadline(const Pending &pending, ServiceQueue &line, TimePoint now) const
{
    if (line.queue.size() == 0) {
        return true;
    }
    const ServiceTimes times = serviceTimes(contextOf(pending, now));
    if (times.slots == 0) {
        return true;
    }
    // Turns are shared between the workspaces that wait, so the own line counts once for each of them.
    const std::size_t ownTurns = (line.queue.sizeOf(queueNameOf(pending)) + 1) * std::max<std::size_t>(1, line.queue.activeWorkspaces());
    const auto ahead = static_cast<double>(std::min(line.queue.size(), ownTurns));
    const double expected = ahead * times.averageMicroseconds / times.slots + times.longMicroseconds;
    return expected <= static_cast<double>((pending.deadline - now).count());
}

bool RequestPipeline::makeRoom(ServiceQueue &line, const Pending &pending)
{
    // The queue's bound must not let a workspace that fills it keep the others out.
    const RequestHandle last = *line.queue.backOfLongest();
    const std::string_view longest = queueNameOf(*find(last));
    if (line.queue.sizeOf(longest) <= line.queue.sizeOf(queueNameOf(pending)) + 1) {
        return false;
    }
    line.queue.remove(longest, last);
    refuse(last, ResultCode::QueueFull);
    return true;
}

void RequestPipeline::enqueue(RequestHandle handle, TimePoint now)
{
    Pending &pending = *find(handle);
    ServiceQueue &line = queueOf(pending.request.service);
    if (line.queue.size() >= m_limits.queueLimit && !makeRoom(line, pending)) {
        refuse(handle, ResultCode::QueueFull);
        return;
    }
    if (!canMeetDeadline(pending, line, now)) {
        refuse(handle, ResultCode::DeadlineUnreachable);
        return;
    }
    pending.phase = Phase::Queued;
    line.queue.pushBack(queueNameOf(pending), handle);
    pump(line, now);
}

void RequestPipeline::pumpAll(TimePoint now)
{
    for (ServiceQueue &line : m_queues) {
        pump(line, now);
    }
}

void RequestPipeline::pump(ServiceQueue &line, TimePoint now)
{
    while (line.queue.size() > 0 && sendNext(line, now)) { }
}

bool RequestPipeline::sendNext(ServiceQueue &line, TimePoint now)
{
    const RequestHandle handle = *line.queue.front();
    Pending &pending = *find(handle);
    const RoutingContext context = contextOf(pending, now);
    const ServiceTimes times = serviceTimes(context);
    const auto remaining = static_cast<double>((pending.deadline - now).count());
    if (remaining < times.longMicroseconds) {
        line.queue.popFront(m_admission.shareOf(pending.request.workspace));
        refuse(handle, ResultCode::DeadlineUnreachable);
        return true;
    }
    const std::optional<std::size_t> chosen = std::visit(
        [&](auto &policy) {
            return policy.choose(context);
        },
        m_policy);
    if (!chosen) {
        // Refusals are news of the moment: once all members have been tried, they may be tried again later.
        pending.excluded.clear();
        return false;
    }
    line.queue.popFront(m_admission.shareOf(pending.request.workspace));
    sendAttempt(handle, pending, m_members.members()[*chosen], now);
    return true;
}

} // namespace banyanlock
