// WorkerSupervisor: renewals, the worker's lists, and its silence.

#include "core/Log.h"
#include "pool/WorkerSupervisor.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

Duration WorkerSupervisor::workerClock(TimePoint now) const
{
    return m_clockAtAnswer + (now - m_listsReceivedAt);
}

void WorkerSupervisor::onLists(const RenewWorker &action, const RenewalAnswer &answer, TimePoint now)
{
    if (m_worker && m_queriedIncarnation == action.incarnation && m_querySentAt == action.sentAt) {
        onIdentityAnswer(action, answer, now);
    }
    if (!m_worker || action.incarnation != m_worker->incarnation) {
        return;
    }
    m_renewalInFlight = false;
    const bool refused = answer.failedBy(RenewalFailure::ConnectionRefused);
    if (refused != m_connectionRefused) {
        m_connectionRefused = refused;
        Log::info(m_connectionRefused ? "worker_refuses" : "worker_listens", {{"worker", m_worker->incarnation.worker}});
        markChanged();
    }
    const std::optional<WorkerLists> &lists = answer.lists;
    const bool otherIncarnation = answer.failedBy(RenewalFailure::OtherWorker)
        || (lists && lists->startedUnixMilliseconds != m_worker->incarnation.startedUnixMilliseconds);
    m_endNumbersUncertain = !lists || otherIncarnation; // a restarting worker drops its connections
    if (m_endNumbersUncertain) {
        onListsLost(action, answer, otherIncarnation, now);
        return;
    }
    m_incarnationUncertain = false;
    const bool outdated = areOutdated(*lists, action.sentAt);
    // The applied lists are later than the call only if the worker's clock shows it.
    if (!outdated || lists->clock < m_clockAtAnswer) {
        recordProof(action);
    }
    if (!outdated) {
        applyLists(*lists, action.sentAt, now);
    }
    m_nextRenewal = hasNoListedEnds() ? now : now + m_timing.retryInterval;
}

void WorkerSupervisor::onListsLost(const RenewWorker &action, const RenewalAnswer &answer, bool otherIncarnation, TimePoint now)
{
    const bool refused = answer.failedBy(RenewalFailure::ConnectionRefused);
    const bool disconnected = answer.failedBy(RenewalFailure::Disconnected);
    const bool wasUncertain = std::exchange(m_incarnationUncertain, m_incarnationUncertain || refused || disconnected || otherIncarnation);
    raiseFenceUnlessUntouched(action, answer); // a worker that has restarted may still execute what was sent to its earlier incarnation
    m_pollImmediately
        = m_pollImmediately || (m_runsKnown && action.wait == Duration::zero()); // the state that this request was to show is still unknown
    m_nextRenewal = disconnected && !wasUncertain ? now : now + m_timing.retryInterval;
}

void WorkerSupervisor::recordProof(const RenewWorker &action)
{
    const bool wasFenced = isFenced();
    m_provenFence = std::max(m_provenFence, action.fence);
    if (action.epoch > m_renewalEpoch || wasFenced != isFenced()) {
        m_renewalEpoch = std::max(m_renewalEpoch, action.epoch);
        markChanged();
    }
}

bool WorkerSupervisor::areOutdated(const WorkerLists &lists, TimePoint sentAt) const
{
    // Answers on different connections may arrive out of order. The worker's clock counts milliseconds, so with the same value only a
    // request sent after the receipt of the applied lists is known to have been executed later.
    return m_runsKnown && (lists.clock < m_clockAtAnswer || (lists.clock == m_clockAtAnswer && sentAt <= m_listsReceivedAt));
}

void WorkerSupervisor::applyLists(const WorkerLists &lists, TimePoint sentAt, TimePoint now)
{
    m_clockAtAnswer = lists.clock;
    m_listsReceivedAt = now;
    const bool wasTruncated = std::exchange(m_endsTruncated, lists.ends.size() >= m_timing.maxListedEnds);
    if (wasTruncated != m_endsTruncated) {
        Log::info(m_endsTruncated ? "ends_truncated" : "ends_complete",
                  {{"worker", m_worker->incarnation.worker},
                   {"listed", static_cast<std::int64_t>(lists.ends.size())},
                   {"acknowledged", static_cast<std::int64_t>(m_acknowledgedEnd)}});
    }
    // A confirmed start that the lists lack is over; if they are truncated, its end is listed later.
    const bool omitsConfirmed = std::erase_if(m_confirmed,
                                              [&](const auto &entry) {
                                                  return entry.second < sentAt;
                                              })
        != 0;
    holdEnds(lists.ends);
    std::vector<RunEnd> ends;
    for (const RunEnd &end : lists.ends) {
        if (end.number > m_acknowledgedEnd) {
            ends.push_back(end);
        }
    }
    const auto sameRun = [](const RunReport &left, const RunReport &right) {
        return left.run == right.run && left.checkpoint == right.checkpoint;
    };
    const auto sameEnd = [](const RunEnd &left, const RunEnd &right) {
        return left.number == right.number;
    };
    const bool isUpdate = !m_runsKnown || m_silent || omitsConfirmed || wasTruncated != m_endsTruncated
        || !std::ranges::equal(ends, m_ends, sameEnd) || !std::ranges::equal(lists.runs, m_runs, sameRun);
    for (const RunEnd &end : ends) {
        m_starts.erase(end.run);
        m_confirmed.erase(end.run);
        m_stops.erase(end.run);
    }
    for (const RunReport &report : lists.runs) {
        reportUnordered(report.run);
        m_confirmed.erase(report.run);
        if (m_closed.contains(report.run) && !m_stops.contains(report.run)) {
            beginStop(report.run, m_worker->incarnation, now);
        }
    }
    m_runs = lists.runs;
    m_ends = std::move(ends);
    m_silent = false;
    m_leaseExpired = false;
    if (!m_runsKnown) {
        m_leaseSentAt = now; // an earlier process of the agent may have renewed the lease until now
        Log::info("worker_lists_learned",
                  {{"worker", m_worker->incarnation.worker},
                   {"runs", static_cast<std::int64_t>(m_runs.size())},
                   {"ends", static_cast<std::int64_t>(m_ends.size())}});
    }
    m_runsKnown = true;
    closeExpiredStarts(sentAt);
    if (isUpdate) {
        markChanged();
    }
}

void WorkerSupervisor::holdEnds(const std::vector<RunEnd> &ends)
{
    // A copy of a start that is executed by the next incarnation would repeat work whose end counts. An end that was never acknowledged
    // does not count there.
    for (const RunEnd &end : ends) {
        const auto late = m_lateStarts.find(end.run);
        if (late != m_lateStarts.end() && m_heldEnds.try_emplace(end.number, late->second).second) {
            Log::info("end_held", {{"run", describe(end.run)}, {"number", static_cast<std::int64_t>(end.number)}});
        }
    }
}

std::uint64_t WorkerSupervisor::endToAcknowledge(TimePoint now)
{
    const auto isPast = [now](const auto &entry) {
        return now > entry.second;
    };
    std::erase_if(m_lateStarts, isPast);
    std::erase_if(m_heldEnds, isPast);
    if (m_endNumbersUncertain) {
        return 0;
    }
    // Truncated lists go on only after an acknowledgement, and the ends behind them matter more.
    return m_heldEnds.empty() || m_endsTruncated ? m_acknowledgedEnd : std::min(m_acknowledgedEnd, m_heldEnds.begin()->first - 1);
}

void WorkerSupervisor::reportUnordered(const RunName &run)
{
    if (isListed(run) || m_starts.contains(run) || m_confirmed.contains(run)) {
        return;
    }
    // Expected in the first lists that a process sees; later it means that an order to an earlier incarnation was executed by this one.
    m_counters.add(m_runsKnown ? Counter::PoolRunsUnordered : Counter::PoolRunsAdopted);
    Log::info(m_runsKnown ? "run_unordered" : "run_adopted",
              {{"run", describe(run)},
               {"worker", m_worker->incarnation.worker},
               {"born", m_worker->incarnation.startedUnixMilliseconds},
               {"agent_process", static_cast<std::int64_t>(m_incarnation)}});
}

void WorkerSupervisor::closeExpiredStarts(TimePoint listedAt)
{
    // An unanswered start can no longer take effect if lists requested after its start deadline don't contain it. The deadline is checked
    // against the worker's clock, which may run slow or stand still while the machine is suspended.
    constexpr Duration clockSlack = fromMilliseconds(300);
    if (m_endsTruncated) {
        return; // the run may have ended
    }
    std::vector<RunName> expired;
    for (const auto &[run, pending] : m_starts) {
        const bool isPast = listedAt > pending.order.startBy + clockSlack && m_clockAtAnswer > pending.workerDeadline;
        if (!pending.outstanding && isPast && !isListed(run)) {
            expired.push_back(run);
        }
    }
    for (const RunName &run : expired) {
        m_starts.erase(run);
        m_stops.erase(run);
        refuseStart(run, "no answer before the start-by limit");
    }
}

bool WorkerSupervisor::isAnswering(TimePoint now) const
{
    return now - m_listsReceivedAt <= m_timing.silenceTimeout;
}

void WorkerSupervisor::checkSilence(TimePoint now)
{
    if (!m_runsKnown || isAnswering(now)) {
        return;
    }
    if (!m_silent) {
        m_silent = true;
        markChanged();
        Log::warning("worker_silent", {{"worker", m_worker->incarnation.worker}, {"silent_ms", toMilliseconds(now - m_listsReceivedAt)}});
    }
    if (now > m_leaseSentAt + m_timing.lease + m_timing.leaseSlack) {
        // The worker stops all its tasks when its lease expires.
        m_runsKnown = false;
        m_leaseExpired = true;
        m_runs.clear();
        m_starts.clear();
        m_confirmed.clear();
        m_stops.clear();
        markChanged();
        Log::warning("worker_lapsed", {{"worker", m_worker->incarnation.worker}, {"silent_ms", toMilliseconds(now - m_listsReceivedAt)}});
    }
}

bool WorkerSupervisor::hasOldRenewal(TimePoint now) const
{
    return now - m_ownerContact >= m_timing.lease / 2;
}

void WorkerSupervisor::stopUnrenewedRuns(TimePoint now)
{
    if (!m_runsKnown || !m_hasOwnerContact || now - m_ownerContact <= m_timing.lease) {
        return;
    }
    const auto stopUnrenewed = [&](const RunName &run) {
        if (m_stops.contains(run)) {
            return;
        }
        m_counters.add(Counter::PoolRunsUnrenewed);
        Log::warning("run_not_renewed", {{"run", describe(run)}, {"renewed_ms_ago", toMilliseconds(now - m_ownerContact)}});
        beginStop(run, m_worker->incarnation, now);
    };
    for (const RunReport &report : m_runs) {
        stopUnrenewed(report.run);
    }
    for (const auto &[run, pending] : m_starts) {
        stopUnrenewed(run);
    }
    for (const auto &[run, confirmedAt] : m_confirmed) {
        stopUnrenewed(run);
    }
}

void WorkerSupervisor::onSuspended(Duration span)
{
    Log::warning("instance_suspended", {{"span_ms", toMilliseconds(span)}});
    m_leaseSentAt += span;
}

void WorkerSupervisor::sendRenewal(TimePoint now)
{
    if (!m_worker || m_epoch == 0 || m_fence == 0 || now < m_nextRenewal) {
        return;
    }
    if (m_renewalInFlight && !m_pollImmediately && m_renewalEpoch >= m_epoch
        && now - m_renewalSentAt < m_timing.pollWait + m_timing.answerMargin) {
        return;
    }
    if (m_renewalInFlight && !m_pollImmediately && now - m_renewalSentAt < m_timing.retryInterval) {
        return;
    }
    RenewWorker renewal;
    renewal.epoch = m_epoch;
    renewal.fence = m_fence;
    renewal.acknowledgedEnd = endToAcknowledge(now);
    renewal.incarnation = m_worker->incarnation;
    const Duration sinceContact = now - m_ownerContact;
    if (m_runsKnown && isAnswering(now) && m_hasOwnerContact && sinceContact < m_timing.lease) {
        renewal.leaseEnd = workerClock(now) + m_timing.lease - sinceContact;
        m_leaseSentAt = now;
    }
    const bool waits = m_runsKnown && !m_pollImmediately && hasNoListedEnds() && m_renewalEpoch >= m_epoch && (isFenced() || !m_registered);
    m_pollImmediately = false;
    renewal.wait = waits ? m_timing.pollWait : Duration();
    renewal.sentAt = now;
    m_renewalInFlight = true;
    m_renewalSentAt = now;
    m_nextRenewal = now + m_timing.pollWait + m_timing.answerMargin;
    m_actions.emplace_back(renewal);
}

} // namespace banyanlock
