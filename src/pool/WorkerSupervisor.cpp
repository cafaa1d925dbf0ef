#include "pool/WorkerSupervisor.h"

#include "core/Assert.h"
#include "core/Log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::array<const char *, 8> endingNames{"succeeded",     "failed",       "stopped",       "lease_lapsed",
                                                  "partner_ended", "waited_alone", "never_started", "worker_gone"};

// Fencing tokens of one registration: one for each owner, each incarnation of the worker and each unanswered poll.
constexpr std::uint64_t fencesPerRegistration = 4096;

// Enough for the owner to see each reason once between two of its calls.
constexpr std::size_t maxRefusals = 16;

} // namespace

const char *runEndingName(RunEnding ending)
{
    return endingNames[static_cast<std::size_t>(ending)];
}

WorkerSupervisor::WorkerSupervisor(std::uint64_t incarnation, SupervisorTiming timing, Counters &counters)
    : m_incarnation(incarnation)
    , m_timing(timing)
    , m_counters(counters)
{
}

void WorkerSupervisor::resetIncarnationState()
{
    m_runsKnown = false;
    m_silent = false;
    m_connectionRefused = false;
    m_incarnationUncertain = false;
    m_endsTruncated = false;
    m_endNumbersUncertain = false;
    m_leaseExpired = false;
    m_renewalInFlight = false;
    m_pollImmediately = false;
    m_renewalEpoch = 0;
    m_nextRenewal = TimePoint();
    m_clockAtAnswer = Duration();
    m_runs.clear();
    m_ends.clear();
    m_acknowledgedEnd = 0;
    m_lateStarts.clear();
    m_heldEnds.clear();
    m_starts.clear();
    m_confirmed.clear();
    m_stops.clear();
    m_closed.clear();
    raiseFence();
    m_firstFence = m_fence;
    m_provenFence = 0;
}

void WorkerSupervisor::onRegistered(std::uint64_t rowVersion)
{
    m_registered = true;
    m_fence = std::max(m_fence + 1, rowVersion * fencesPerRegistration);
    m_firstFence = m_fence;
    m_pollImmediately = m_renewalInFlight;
    m_nextRenewal = TimePoint();
    Log::info("fence_adopted",
              {{"agent_process", static_cast<std::int64_t>(m_incarnation)}, {"fence", static_cast<std::int64_t>(m_fence)}});
    markChanged();
}

void WorkerSupervisor::raiseFence()
{
    if (m_fence == 0) {
        return;
    }
    if ((m_fence + 1) % fencesPerRegistration != 0) {
        ++m_fence;
    } else {
        m_registered = false; // all tokens of the registration are used
    }
    markChanged();
}

void WorkerSupervisor::raiseFenceUnlessUntouched(const RenewWorker &action, const RenewalAnswer &answer)
{
    const bool untouched = answer.failedBy(RenewalFailure::ConnectionRefused) || answer.failedBy(RenewalFailure::Busy);
    if (action.fence == m_fence && !untouched) {
        raiseFence();
    }
}

bool WorkerSupervisor::onSupervise(const SuperviseRequest &request, TimePoint now)
{
    if (request.epoch < m_epoch) {
        m_counters.add(Counter::PoolOrdersFenced);
        Log::warning("owner_fenced",
                     {{"epoch", static_cast<std::int64_t>(request.epoch)}, {"known_epoch", static_cast<std::int64_t>(m_epoch)}});
        return false;
    }
    if (request.epoch > m_epoch) {
        Log::info("owner_adopted",
                  {{"epoch", static_cast<std::int64_t>(request.epoch)}, {"earlier_epoch", static_cast<std::int64_t>(m_epoch)}});
        m_epoch = request.epoch;
        raiseFence(); // the worker refuses what was sent for earlier owners
        m_lastOrderBatch = 0;
        m_nextRenewal = now;
        markChanged();
    }
    if (m_announcements.setNamedServices(request.services)) {
        useBestAnnouncement();
    }
    if (!m_registered && m_worker && request.acknowledgedIncarnation == m_worker->incarnation && request.workerFence > m_fence) {
        m_fence = request.workerFence; // suffices to renew the lease of what an earlier process has started
        m_nextRenewal = now;
    }
    const bool valid = now <= request.validUntil;
    if (request.renews && valid) {
        if (!m_hasOwnerContact || now - m_ownerContact > m_timing.lease / 2) {
            m_nextRenewal = std::min(m_nextRenewal, now);
            m_pollImmediately = m_pollImmediately || m_runsKnown; // not only after the waiting request
        }
        // The owner counts from the time at which it sends a call. The times of a call for an earlier process may be on another clock.
        const bool onThisClock = request.knownIncarnation == m_incarnation;
        m_ownerContact = std::max(m_ownerContact, onThisClock ? std::min(now, request.validUntil - callValidity) : now);
        m_hasOwnerContact = true;
    }
    if (m_worker && request.acknowledgedIncarnation == m_worker->incarnation && request.acknowledgedEnd > m_acknowledgedEnd) {
        m_acknowledgedEnd = request.acknowledgedEnd;
        Log::info("ends_recorded", {{"worker", m_worker->incarnation.worker}, {"up_to", static_cast<std::int64_t>(m_acknowledgedEnd)}});
        std::erase_if(m_ends, [this](const RunEnd &end) {
            return end.number <= m_acknowledgedEnd;
        });
        m_nextRenewal = now;
    }
    const bool forThisProcess = request.knownIncarnation == 0 || request.knownIncarnation == m_incarnation;
    if (valid && forThisProcess && request.batch > m_lastOrderBatch) {
        for (const TaskOrder &order : request.orders) {
            handleOrder(order, now);
        }
        m_lastOrderBatch = request.batch;
        markChanged();
    }
    return true;
}

void WorkerSupervisor::refuseStart(const RunName &run, const std::string &reason)
{
    m_counters.add(Counter::PoolStartsRefused);
    Log::info("start_refused", {{"run", describe(run)}, {"reason", reason}});
    m_closed.insert(run);
    m_refusals.push_back({run, reason});
    if (m_refusals.size() > maxRefusals) {
        m_refusals.pop_front();
    }
    markChanged();
}

bool WorkerSupervisor::isListed(const RunName &run) const
{
    return std::ranges::any_of(m_runs,
                               [&](const RunReport &report) {
                                   return report.run == run;
                               })
        || std::ranges::any_of(m_ends, [&](const RunEnd &end) {
               return end.run == run;
           });
}

void WorkerSupervisor::handleOrder(const TaskOrder &order, TimePoint now)
{
    if (!m_worker || order.incarnation != m_worker->incarnation) {
        // The run can't be on this incarnation of the worker, so the next status proves that it no longer exists.
        Log::info("order_for_other_incarnation", {{"run", describe(order.run)}, {"worker", order.incarnation.worker}});
        return;
    }
    if (order.kind == TaskOrderKind::Stop) {
        beginStop(order.run, order.incarnation, now);
        return;
    }
    if (m_closed.contains(order.run) || m_starts.contains(order.run) || isListed(order.run)) {
        return;
    }
    if (now > order.startBy) {
        refuseStart(order.run, "start-by limit passed");
    } else if (m_worker->draining) {
        refuseStart(order.run, "worker is draining");
    } else if (m_stopping) {
        refuseStart(order.run, "agent is stopping");
    } else if (!m_runsKnown) {
        refuseStart(order.run, "worker has not reported its runs yet");
    } else if (!isAnswering(now)) {
        refuseStart(order.run, "worker does not answer"); // its clock and its lease are not known well enough
    } else if (!isFenced()) {
        refuseStart(order.run, "worker has not confirmed the agent's fencing token yet");
    } else if (m_incarnationUncertain || m_announcements.hasOtherIncarnationOf(m_worker->incarnation)) {
        refuseStart(order.run, "worker may have restarted");
    } else {
        Log::info("task_start_ordered", {{"run", describe(order.run)}, {"epoch", static_cast<std::int64_t>(m_epoch)}});
        m_leaseSentAt = std::max(m_leaseSentAt, order.startBy - m_timing.lease); // the deadline of a start also extends the lease
        sendStart(m_starts[order.run] = {order}, now);
    }
}

void WorkerSupervisor::sendStart(PendingOrder &pending, TimePoint now)
{
    const TaskOrder &order = pending.order;
    pending.outstanding = true;
    ++pending.attempts;
    const Duration startBy = workerClock(now) + (order.startBy - now);
    pending.workerDeadline = std::max(pending.workerDeadline, startBy);
    Log::info("task_start_sent",
              {{"run", describe(order.run)},
               {"worker", order.incarnation.worker},
               {"born", order.incarnation.startedUnixMilliseconds},
               {"agent_process", static_cast<std::int64_t>(m_incarnation)},
               {"epoch", static_cast<std::int64_t>(m_epoch)},
               {"fence", static_cast<std::int64_t>(m_fence)},
               {"worker_clock_deadline_ms", toMilliseconds(startBy)},
               {"lists_age_ms", toMilliseconds(now - m_listsReceivedAt)},
               {"attempt", static_cast<std::int64_t>(pending.attempts)}});
    m_actions.emplace_back(StartTask{order.run, order.incarnation, m_epoch, m_fence, order.payload, order.checkpoint, startBy});
}

bool WorkerSupervisor::canRetryStart(const PendingOrder &pending, const StartTask &action, TimePoint now) const
{
    return pending.attempts < m_timing.maxOrderAttempts && action.epoch == m_epoch && now < pending.order.startBy && !m_worker->draining
        && !m_incarnationUncertain && !m_stopping && !m_closed.contains(action.run);
}

void WorkerSupervisor::beginStop(const RunName &run, const WorkerIncarnation &incarnation, TimePoint now)
{
    m_closed.insert(run);
    if (m_stops.contains(run)) {
        return;
    }
    if (!isListed(run) && !m_starts.contains(run) && !m_confirmed.contains(run) && m_runsKnown) {
        return;
    }
    TaskOrder order;
    order.kind = TaskOrderKind::Stop;
    order.run = run;
    order.incarnation = incarnation;
    m_stops[run] = {order, false, now, 0};
}

void WorkerSupervisor::onStarted(const StartTask &action, OrderOutcome outcome, const std::string &reason, TimePoint now)
{
    if (!m_worker || action.incarnation != m_worker->incarnation) {
        return;
    }
    if (outcome == OrderOutcome::Unknown) {
        m_lateStarts[action.run] = now + m_timing.lateCallLimit;
    }
    const auto found = m_starts.find(action.run);
    if (found == m_starts.end()) {
        return;
    }
    PendingOrder &pending = found->second;
    switch (outcome) {
    case OrderOutcome::Done:
        m_starts.erase(found);
        if (!isListed(action.run)) {
            m_confirmed[action.run] = now;
        }
        Log::info("task_started", {{"run", describe(action.run)}});
        if (m_closed.contains(action.run)) {
            beginStop(action.run, action.incarnation, now);
        }
        markChanged();
        return;
    case OrderOutcome::OtherIncarnation:
    case OrderOutcome::Refused:
        if (outcome == OrderOutcome::OtherIncarnation || pending.attempts == 1) {
            m_starts.erase(found);
            m_stops.erase(action.run);
            refuseStart(action.run, reason);
            return;
        }
        break; // an earlier copy may have been executed, or may be executed later
    case OrderOutcome::Unknown:
        if (canRetryStart(pending, action, now)) {
            // Starts are idempotent: the worker reports a start that it has already executed as done.
            m_counters.add(Counter::PoolStartsRepeated);
            Log::info("task_start_repeated", {{"run", describe(action.run)}, {"tries", static_cast<std::int64_t>(pending.attempts)}});
            sendStart(pending, now);
            return;
        }
        break;
    }
    // The start may have been executed, or may be executed later: a stop bars the run permanently.
    pending.outstanding = false;
    Log::warning("task_start_unsettled",
                 {{"run", describe(action.run)}, {"tries", static_cast<std::int64_t>(pending.attempts)}, {"reason", reason}});
    beginStop(action.run, action.incarnation, now);
    markChanged();
}

void WorkerSupervisor::onStopped(const StopTask &action, OrderOutcome outcome, TimePoint now)
{
    if (!m_worker || action.incarnation != m_worker->incarnation) {
        return;
    }
    const auto found = m_stops.find(action.run);
    if (found == m_stops.end()) {
        return;
    }
    found->second.outstanding = false;
    if (outcome == OrderOutcome::Unknown || outcome == OrderOutcome::Refused) {
        found->second.nextTry
            = now + (found->second.attempts < m_timing.maxOrderAttempts ? m_timing.fastRetryInterval : m_timing.retryInterval);
        return;
    }
    // The worker never starts a run after a stop for it; if the run had started, the worker reports its end.
    const auto start = m_starts.find(action.run);
    if (start != m_starts.end() && !start->second.outstanding) {
        m_starts.erase(start);
        m_confirmed[action.run] = now; // until lists newer than the stop show its end or don't contain it
    }
    found->second.nextTry = now + m_timing.pollWait;
    if (m_confirmed.contains(action.run)) {
        m_pollImmediately = true;
        m_nextRenewal = now;
    }
    markChanged();
}

void WorkerSupervisor::sendStops(TimePoint now)
{
    std::vector<RunName> finished;
    for (auto &[run, pending] : m_stops) {
        if (pending.outstanding || now < pending.nextTry) {
            continue;
        }
        const auto start = m_starts.find(run);
        if (start == m_starts.end() && !m_confirmed.contains(run) && !isListed(run)) {
            finished.push_back(run);
            continue;
        }
        pending.outstanding = true;
        ++pending.attempts;
        Log::info("task_stop_sent",
                  {{"run", describe(run)},
                   {"worker", pending.order.incarnation.worker},
                   {"born", pending.order.incarnation.startedUnixMilliseconds},
                   {"fence", static_cast<std::int64_t>(m_fence)},
                   {"attempt", static_cast<std::int64_t>(pending.attempts)}});
        m_actions.emplace_back(StopTask{run, pending.order.incarnation, m_fence});
    }
    for (const RunName &run : finished) {
        m_stops.erase(run);
    }
}

void WorkerSupervisor::step(TimePoint now)
{
    checkSilence(now);
    stopUnrenewedRuns(now);
    sendStops(now);
    sendRenewal(now);
    sendIdentityQuery(now);
}

TimePoint WorkerSupervisor::nextStep(TimePoint now) const
{
    TimePoint next = now + m_timing.pollWait + m_timing.answerMargin;
    if (m_worker && m_epoch != 0 && m_fence != 0) {
        next = std::min(next, std::max(m_nextRenewal, now + fromMilliseconds(1)));
        if (m_renewalInFlight && m_renewalEpoch < m_epoch) {
            next = std::min(next, std::max(m_renewalSentAt + m_timing.retryInterval, now + fromMilliseconds(1)));
        }
    }
    if (incarnationToQuery()) {
        next = std::min(next, std::max(nextIdentityQuery(), now + fromMilliseconds(1)));
    }
    if (m_runsKnown && m_hasOwnerContact && !m_runs.empty()) {
        next = std::min(next, hasOldRenewal(now) ? now + m_timing.staleCheckInterval : m_ownerContact + m_timing.lease / 2);
    }
    for (const auto &[run, pending] : m_stops) {
        if (!pending.outstanding) {
            next = std::min(next, std::max(pending.nextTry, now + fromMilliseconds(1)));
        }
    }
    return next;
}

void WorkerSupervisor::announceShutdown()
{
    m_stopping = true;
    markChanged();
}

WorkerStatus WorkerSupervisor::status(TimePoint now, std::int64_t unixMilliseconds) const
{
    WorkerStatus status;
    status.agentIncarnation = m_incarnation;
    status.number = m_statusNumber;
    status.clock = now;
    status.unixMilliseconds = unixMilliseconds;
    status.highestEpoch = m_epoch;
    status.lastOrderBatch = m_lastOrderBatch;
    status.runsKnown = m_runsKnown;
    status.runsKnownEpoch = m_runsKnown && isFenced() ? m_renewalEpoch : 0;
    status.unfenced = !isFenced();
    status.workerFence = m_fence;
    status.endsTruncated = m_endsTruncated;
    status.answering = m_runsKnown && !m_silent;
    status.leaseExpired = m_leaseExpired;
    status.connectionRefused = m_connectionRefused;
    status.agentStopping = m_stopping;
    status.worker = m_worker.value_or(WorkerAnnouncement());
    status.listsAge = m_runsKnown ? now - m_listsReceivedAt : Duration::zero();
    status.runs = m_runs;
    status.ends = m_ends;
    for (const auto &[run, pending] : m_starts) {
        if (!isListed(run)) {
            status.runs.push_back({run, true, {}});
        }
    }
    for (const auto &[run, startedAt] : m_confirmed) {
        if (!isListed(run) && !m_starts.contains(run)) {
            // The worker's confirmation of a start suffices; a run that is closed by a stop may never have started.
            status.runs.push_back({run, m_closed.contains(run), {}});
        }
    }
    status.refusals.assign(m_refusals.begin(), m_refusals.end());
    return status;
}

std::vector<SupervisorAction> WorkerSupervisor::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace banyanlock
