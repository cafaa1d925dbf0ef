#include "schedule/Cell.h"

#include "schedule/JobCodec.h"
#include "schedule/JobRouter.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::size_t mostFailuresPerPass = 64; // kinds of jobs that find no place
constexpr std::size_t mostCellTries = 4; // each looks at all cells
constexpr std::size_t mostWaits = 8; // jobs of a cell for which accelerators are withheld
constexpr Duration scheduleInterval = fromMilliseconds(200);
constexpr Duration shortestScheduleInterval = fromMilliseconds(20); // looking at a long queue costs milliseconds
constexpr Duration forgetInterval = fromMilliseconds(10000);
constexpr Duration cellTryInterval = fromMilliseconds(1000);
constexpr Duration cellChangeInterval = fromMilliseconds(10000);

/// Place of a job in the order of the queue.
struct QueueRank {
    bool notUrgent = true;
    bool notAged = true;
    double weightedUse = 0;
    std::uint64_t submitted = 0;

    auto operator<=>(const QueueRank &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

} // namespace

bool Cell::isAged(const JobRecord &job, TimePoint now) const
{
    return waitOf(job, now) >= m_times.agingLimit;
}

double Cell::weightedUse(const std::string &workspace) const
{
    const ContractRecord *record = m_context.configuration.findContract(workspace);
    const std::uint32_t share = record == nullptr ? 1 : std::max(1U, record->contract.share);
    return static_cast<double>(m_context.jobs.runningAccelerators(workspace)) / share;
}

std::vector<const JobRecord *> Cell::queuedJobs(TimePoint now)
{
    std::vector<std::pair<QueueRank, const JobRecord *>> ranked;
    std::map<std::string, TimePoint> seen;
    for (const std::string &id : m_context.jobs.liveIn(m_failureDomain)) {
        const JobRecord *job = m_context.jobs.find(id);
        if (job->state != JobState::Queued || findGang(id) != nullptr) {
            continue;
        }
        const auto known = m_firstSeen.find(id);
        seen[id] = known == m_firstSeen.end() ? now : known->second;
        QueueRank rank;
        rank.submitted = job->submitted;
        if (!m_policy.orderByArrival) {
            rank.notUrgent = job->spec.urgency != Urgency::Urgent;
            rank.notAged = !isAged(*job, now);
            rank.weightedUse = rank.notAged ? weightedUse(job->spec.workspace) : 0;
        }
        ranked.emplace_back(rank, job);
    }
    m_firstSeen = std::move(seen);
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
    if (now - m_lastSchedule < (m_queueChanged ? shortestScheduleInterval : scheduleInterval)) {
        return;
    }
    m_queueChanged = false;
    m_lastSchedule = now;
    forgetEnded(now);
    const std::vector<const JobRecord *> jobs = queuedJobs(now);
    const bool out = m_context.configuration.isOut(m_failureDomain);
    m_withheld.assign(m_workers.all().size(), 0);
    countHeld();
    QueuePass pass;
    for (const JobRecord *job : jobs) {
        // Without the store no start can be recorded, and preparing again and again would only load the workers.
        if (pass.failed.size() >= mostFailuresPerPass || m_storeFailed) {
            return;
        }
        if (!out && tryPlace(*job, pass, now)) {
            continue;
        }
        leaveWaiting(*job, pass, now);
        if (m_policy.orderByArrival) {
            return;
        }
    }
}

void Cell::leaveWaiting(const JobRecord &job, QueuePass &pass, TimePoint now)
{
    if (pass.waits < mostWaits && withhold(job, now)) {
        ++pass.waits;
    }
    if (pass.cellTries < mostCellTries && mayTryOtherCell(job, now)) {
        ++pass.cellTries;
        tryOtherCell(job, now);
    }
}

void Cell::forgetEnded(TimePoint now)
{
    if (now - m_lastForgetting < forgetInterval) {
        return;
    }
    m_lastForgetting = now;
    const auto isGone = [this](const auto &entry) {
        const JobRecord *record = m_context.jobs.find(entry.first);
        return record == nullptr || hasEnded(record->state);
    };
    std::erase_if(m_lastRuns, isGone);
    std::erase_if(m_cellTryAfter, isGone);
}

Duration Cell::waitOf(const JobRecord &job, TimePoint now) const
{
    const auto seen = m_firstSeen.find(job.id);
    return seen == m_firstSeen.end() ? Duration::zero() : now - seen->second;
}

bool Cell::mayTryOtherCell(const JobRecord &job, TimePoint now) const
{
    const bool out = m_context.configuration.isOut(m_failureDomain);
    const auto again = m_cellTryAfter.find(job.id);
    const bool triedLately = again != m_cellTryAfter.end() && now < again->second;
    return !triedLately && (out || waitOf(job, now) >= m_times.moveAfter);
}

void Cell::tryOtherCell(const JobRecord &job, TimePoint now)
{
    m_cellTryAfter[job.id] = now + cellTryInterval;
    const bool out = m_context.configuration.isOut(m_failureDomain);
    const JobRouter router(m_context.fleet, m_context.configuration, m_context.plan, m_context.jobs);
    std::optional<std::string> target = router.chooseWithRoom(job.spec, m_failureDomain);
    if (!target && out) {
        target = router.choose(job.spec, m_failureDomain);
    }
    if (!target || m_context.configuration.isOut(*target)) {
        return;
    }
    m_cellTryAfter[job.id] = now + cellChangeInterval;
    JobRecord next = job;
    next.cell = *target;
    next.reason = "moved from " + m_failureDomain;
    m_actions.emplace_back(CommitJob{job.id, makeTransaction(next, "move")});
}

} // namespace banyanlock
