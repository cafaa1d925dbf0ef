// PoolScheduler: calls of the owner to the agents.

#include "pool/PoolScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

Duration PoolScheduler::pollWait() const
{
    return std::clamp(m_timing.pollWaitPerWorker * static_cast<std::int64_t>(m_workers.size()), m_timing.minPollWait, m_timing.maxPollWait);
}

bool PoolScheduler::isSilent(const PoolWorker &worker, TimePoint now) const
{
    return now - worker.statusReceivedAt > pollWait() + m_timing.silenceTimeout;
}

void PoolScheduler::sendCalls(TimePoint now)
{
    for (auto &[agent, worker] : m_workers) {
        const bool hasAcknowledgement = worker.known && worker.recordedEnd > 0 && !worker.status.ends.empty()
            && worker.recordedEnd >= worker.status.ends.front().number;
        if (!worker.pollInFlight && now >= worker.nextPoll) {
            sendCall(worker, true, now);
        } else if (!worker.orders.empty() || hasAcknowledgement) {
            sendCall(worker, false, now);
        }
    }
}

const std::vector<std::string> &PoolScheduler::namedServices()
{
    if (m_servicesRowVersion != m_operators.configurationRowVersion) {
        m_servicesRowVersion = m_operators.configurationRowVersion;
        std::set<std::string> names;
        for (const PoolQueue &queue : m_operators.configuration.queues) {
            names.insert(queue.service);
        }
        m_services.assign(names.begin(), names.end());
    }
    return m_services;
}

void PoolScheduler::sendCall(PoolWorker &worker, bool waits, TimePoint now)
{
    CallAgent call;
    call.agent = worker.agent;
    call.call = m_nextCall++;
    SuperviseRequest &request = call.request;
    request.epoch = m_epoch;
    request.services = namedServices();
    if (worker.known) {
        request.validUntil = worker.agentClock(now) + callValidity;
        // Whether an unanswered renewal took effect is unknown, so further ones would put off the end of a lost worker's runs.
        request.renews = m_renewalsAllowed && worker.status.runsKnown && !worker.callUnanswered && !isSilent(worker, now);
        request.knownIncarnation = worker.status.agentIncarnation;
        request.knownStatus = worker.status.number;
        request.acknowledgedIncarnation = worker.status.worker.incarnation;
        request.acknowledgedEnd = worker.recordedEnd;
        request.workerFence = worker.fencedIncarnation == worker.status.worker.incarnation ? worker.workerFence : 0;
        request.wait = waits && !worker.callUnanswered ? pollWait() : Duration();
        if (!worker.orders.empty()) {
            request.orders = std::exchange(worker.orders, {});
            request.batch = ++worker.batch; // calls without orders have no batch number: they may overtake the call that carries the batch
        }
        // Acknowledged ends need not be acknowledged again.
        std::erase_if(worker.status.ends, [&](const RunEnd &end) {
            return end.number <= worker.recordedEnd;
        });
    }
    if (request.renews) {
        worker.lastRenewalSent = std::max(worker.lastRenewalSent, now);
    }
    if (waits) {
        worker.pollInFlight = true;
        worker.pollCall = call.call;
    }
    call.timeout = request.wait + m_timing.answerTimeout;
    m_calls.push_back(std::move(call));
}

} // namespace banyanlock
