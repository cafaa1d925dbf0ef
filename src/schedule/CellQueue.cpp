#include "schedule/Cell.h"

#include "schedule/JobCodec.h"
#include "schedule/JobRouter.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::size_t maxUnplaceablePerPass = 64; // distinct requirements that could not be placed
constexpr std::size_t maxReroutesPerPass = 4; // each checks all cells
constexpr std::size_t maxWithholdingJobs = 8; // jobs for which accelerators are withheld
constexpr Duration scheduleInterval = fromMilliseconds(200);
constexpr Duration minScheduleInterval = fromMilliseconds(20); // a pass over a long queue takes milliseconds
constexpr Duration pruneInterval = fromMilliseconds(10000);
constexpr Duration rerouteRetryInterval = fromMilliseconds(1000);
constexpr Duration rerouteCooldown = fromMilliseconds(10000);

/// Sort key of a queued job.
struct QueueRank {
    bool notUrgent = true;
    bool notAged = true;
    double weightedUsage = 0;
    std::uint64_t submitted = 0;

    auto operator<=>(const QueueRank &) const = default; // NOLINT(modernize-use-nullptr): false positive on defaulted comparisons
};

} // namespace

bool Cell::isAged(const JobRecord &job, TimePoint now) const
{
    return waitingTime(job, now) >= m_timing.agingThreshold;
}

double Cell::weightedUsage(const std::string &workspace) const
{
    const ContractRecord *record = m_context.configuration.findContract(workspace);
    const std::uint32_t share = record == nullptr ? 1 : std::max(1U, record->contract.share);
    return static_cast<double>(m_context.jobs.runningAccelerators(workspace)) / share;
}

std::vector<const JobRecord *> Cell::queuedJobs(TimePoint now)
{
    std::vector<std::pair<QueueRank, const JobRecord *>> ranked;
    std::map<std::string, TimePoint> queuedSince;
    for (const std::string &id : m_context.jobs.liveJobsIn(m_failureDomain)) {
        const JobRecord *job = m_context.jobs.find(id);
        if (job->state != JobState::Queued || findGang(id) != nullptr) {
            continue;
        }
        const auto known = m_queuedSince.find(id);
        queuedSince[id] = known == m_queuedSince.end() ? now : known->second;
        QueueRank rank;
        rank.submitted = job->submitted;
        if (!m_policy.orderByArrival) {
            rank.notUrgent = job->spec.urgency != Urgency::Urgent;
            rank.notAged = !isAged(*job, now);
            rank.weightedUsage = rank.notAged ? weightedUsage(job->spec.workspace) : 0;
        }
        ranked.emplace_back(rank, job);
    }
    m_queuedSince = std::move(queuedSince);
    std::ranges::stable_sort(ranked, {}, [](const auto &item) {
        return item.first;
    });
    std::vector<const JobRecord *> jobs;
    jobs.reserve(ranked.size());
    for (const auto &[rank, job] : ranked) {
        jobs.push_back(job);
    }
    return jobs;
}

void Cell::schedule(TimePoint now)
{
    if (now - m_lastScheduleAt < (m_queueChanged ? minScheduleInterval : scheduleInterval)) {
        return;
    }
    m_queueChanged = false;
    m_lastScheduleAt = now;
    pruneEndedJobs(now);
    const std::vector<const JobRecord *> jobs = queuedJobs(now);
    const bool out = m_context.configuration.isOut(m_failureDomain);
    m_withheld.assign(m_workers.all().size(), 0);
    recomputeHeldResources();
    QueuePass pass;
    for (const JobRecord *job : jobs) {
        // While the store is unavailable no start can be recorded, and repeated preparation would only load the workers.
        if (pass.unplaceable.size() >= maxUnplaceablePerPass || m_storeUnavailable) {
            return;
        }
        if (!out && tryPlace(*job, pass, now)) {
            continue;
        }
        handleUnplacedJob(*job, pass, now);
        if (m_policy.orderByArrival) {
            return;
        }
    }
}

void Cell::handleUnplacedJob(const JobRecord &job, QueuePass &pass, TimePoint now)
{
    if (pass.withholdingJobs < maxWithholdingJobs && withhold(job, now)) {
        ++pass.withholdingJobs;
    }
    if (pass.reroutes < maxReroutesPerPass && mayReroute(job, now)) {
        ++pass.reroutes;
        tryReroute(job, now);
    }
}

void Cell::pruneEndedJobs(TimePoint now)
{
    if (now - m_lastPruneAt < pruneInterval) {
        return;
    }
    m_lastPruneAt = now;
    const auto isGone = [this](const auto &entry) {
        const JobRecord *record = m_context.jobs.find(entry.first);
        return record == nullptr || hasEnded(record->state);
    };
    std::erase_if(m_lastRuns, isGone);
    std::erase_if(m_nextRerouteAt, isGone);
}

Duration Cell::waitingTime(const JobRecord &job, TimePoint now) const
{
    const auto queuedSince = m_queuedSince.find(job.id);
    return queuedSince == m_queuedSince.end() ? Duration::zero() : now - queuedSince->second;
}

bool Cell::mayReroute(const JobRecord &job, TimePoint now) const
{
    const bool out = m_context.configuration.isOut(m_failureDomain);
    const auto nextReroute = m_nextRerouteAt.find(job.id);
    const bool reroutedRecently = nextReroute != m_nextRerouteAt.end() && now < nextReroute->second;
    return !reroutedRecently && (out || waitingTime(job, now) >= m_timing.rerouteDelay);
}

void Cell::tryReroute(const JobRecord &job, TimePoint now)
{
    m_nextRerouteAt[job.id] = now + rerouteRetryInterval;
    const bool out = m_context.configuration.isOut(m_failureDomain);
    const JobRouter router(m_context.fleet, m_context.configuration, m_context.plan, m_context.jobs);
    std::optional<std::string> target = router.chooseCellWithCapacity(job.spec, m_failureDomain);
    if (!target && out) {
        target = router.chooseCell(job.spec, m_failureDomain);
    }
    if (!target || m_context.configuration.isOut(*target)) {
        return;
    }
    m_nextRerouteAt[job.id] = now + rerouteCooldown;
    JobRecord next = job;
    next.cell = *target;
    next.reason = "moved from " + m_failureDomain;
    m_actions.emplace_back(CommitJob{job.id, makeTransaction(next, "move")});
}

} // namespace banyanlock
