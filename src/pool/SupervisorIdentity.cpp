// WorkerSupervisor: which incarnation of the worker is at its address.

#include "core/Log.h"
#include "pool/WorkerSupervisor.h"

namespace banyanlock
{

bool WorkerSupervisor::onAnnouncement(const WorkerAnnouncement &announcement)
{
    if (!m_announcements.add(announcement, m_worker ? &*m_worker : nullptr)) {
        Log::info("stale_announcement_dropped",
                  {{"worker", announcement.incarnation.worker},
                   {"born", announcement.incarnation.startedUnixMilliseconds},
                   {"sequence", static_cast<std::int64_t>(announcement.sequence)}});
        return false;
    }
    if (!m_worker) {
        m_worker.emplace().incarnation = announcement.incarnation; // not confirmed, but the owner must learn whose fencing token to return
    }
    const bool isUpdate = useBestAnnouncement();
    if (announcement.incarnation == m_worker->incarnation && announcement.service != m_worker->service) {
        m_counters.add(Counter::PoolAnnouncementsOfOtherService);
        Log::info("announcement_not_used",
                  {{"worker", announcement.incarnation.worker},
                   {"reason", std::string("other service")},
                   {"service", announcement.service},
                   {"service_in_use", m_worker->service}});
    }
    return isUpdate;
}

bool WorkerSupervisor::useBestAnnouncement()
{
    const WorkerAnnouncement *best = m_worker ? m_announcements.choose(m_worker->incarnation, m_worker->service) : nullptr;
    if (best == nullptr) {
        return false;
    }
    WorkerAnnouncement previous = *m_worker;
    previous.sequence = best->sequence;
    previous.minTimeUntilExit = best->minTimeUntilExit;
    const bool isUpdate = previous != *best;
    m_worker = *best;
    if (isUpdate) {
        markChanged();
        Log::info("worker_announced",
                  {{"worker", m_worker->incarnation.worker},
                   {"born", m_worker->incarnation.startedUnixMilliseconds},
                   {"service", m_worker->service},
                   {"draining", std::string(m_worker->draining ? "yes" : "no")}});
    }
    return isUpdate;
}

void WorkerSupervisor::onWorkerLeft(const std::string &worker)
{
    m_announcements.setDraining(worker);
    if (m_worker && m_worker->incarnation.worker == worker) {
        Log::info("worker_left", {{"worker", worker}});
        useBestAnnouncement();
    }
}

std::optional<WorkerIncarnation> WorkerSupervisor::incarnationToQuery() const
{
    const bool mayCall = m_worker && m_epoch != 0 && m_fence != 0;
    return mayCall ? m_announcements.nextUnconfirmed(m_worker->incarnation) : std::nullopt;
}

TimePoint WorkerSupervisor::nextIdentityQuery() const
{
    return m_queriedIncarnation ? m_querySentAt + m_timing.answerMargin : m_nextQuery;
}

void WorkerSupervisor::sendIdentityQuery(TimePoint now)
{
    if (now < nextIdentityQuery()) {
        return;
    }
    const std::optional<WorkerIncarnation> incarnation = incarnationToQuery();
    if (!incarnation) {
        return;
    }
    RenewWorker query; // without a lease and without acknowledgements, so it changes nothing if it reaches the wrong incarnation
    query.epoch = m_epoch;
    query.fence = m_fence;
    query.incarnation = *incarnation;
    query.sentAt = now;
    m_queriedIncarnation = query.incarnation;
    m_querySentAt = now;
    m_actions.emplace_back(query);
}

void WorkerSupervisor::onIdentityAnswer(const RenewWorker &action, const RenewalAnswer &answer, TimePoint now)
{
    m_queriedIncarnation.reset();
    m_nextQuery = now + m_timing.fastRetryInterval;
    if (answer.lists && answer.lists->startedUnixMilliseconds == action.incarnation.startedUnixMilliseconds) {
        if (m_announcements.choose(action.incarnation, {}) != nullptr) {
            changeIncarnation(action.incarnation);
        }
        return;
    }
    if (answer.lists || answer.failedBy(RenewalFailure::OtherWorker)) {
        m_announcements.remove(action.incarnation);
        m_counters.add(Counter::PoolAnnouncementsUnconfirmed);
        Log::info("announcement_not_used",
                  {{"worker", action.incarnation.worker},
                   {"born", action.incarnation.startedUnixMilliseconds},
                   {"reason", std::string("worker denies the incarnation")},
                   {"worker_in_use", m_worker->incarnation.worker}});
        return;
    }
    m_announcements.noteUnanswered(action.incarnation);
    m_nextQuery = now + m_timing.retryInterval;
    raiseFenceUnlessUntouched(action, answer); // the worker may have refused a token that is too low
}

void WorkerSupervisor::changeIncarnation(const WorkerIncarnation &incarnation)
{
    const WorkerIncarnation earlier = m_worker->incarnation;
    Log::info("worker_life_changed",
              {{"worker", incarnation.worker},
               {"born", incarnation.startedUnixMilliseconds},
               {"earlier_worker", earlier.worker},
               {"earlier_born", earlier.startedUnixMilliseconds}});
    m_announcements.remove(earlier); // only one worker is at the address
    resetIncarnationState();
    m_worker.emplace().incarnation = incarnation;
    useBestAnnouncement();
    markChanged();
}

} // namespace banyanlock
