#include "schedule/Cell.h"

#include "core/Assert.h"
#include "schedule/JobCodec.h"
#include "schedule/JobRouter.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::size_t mostTriesPerStep = 64;
constexpr Duration moveInterval = fromMilliseconds(10000);
constexpr Duration reclaimSlack = fromMilliseconds(10000); // beyond the checkpoint's grace, for stops and transactions

/// Place of a job in the order of the queue.
struct QueueRank {
    bool notUrgent = true;
    bool notAged = true;
    double weightedUse = 0;
    std::uint64_t submitted = 0;

    auto operator<=>(const QueueRank &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

} // namespace

void Cell::countHeld()
{
    for (WorkerState &worker : m_workers.all()) {
        worker.held = 0;
        worker.processorsHeld = 0;
        worker.memoryHeld = 0;
    }
    for (const Gang &gang : m_gangs) {
        const JobSpec &spec = m_context.jobs.find(gang.job)->spec;
        for (const TaskPlacement &task : gang.placement) {
            WorkerState &worker = m_workers.all()[task.worker];
            worker.held |= task.accelerators;
            worker.processorsHeld += spec.shape.processors;
            worker.memoryHeld += spec.shape.memoryMegabytes;
        }
    }
}

bool Cell::isAged(const JobRecord &job, TimePoint now) const
{
    const auto seen = m_firstSeen.find(job.id);
    return seen != m_firstSeen.end() && now - seen->second >= m_times.agingLimit;
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
    const std::vector<const JobRecord *> jobs = queuedJobs(now);
    const bool out = m_context.configuration.isOut(m_failureDomain);
    bool heldBack = false;
    std::size_t failedTries = 0;
    for (const JobRecord *job : jobs) {
        // Without the store no start can be recorded, and preparing again and again would only load the workers.
        if (failedTries >= mostTriesPerStep || m_storeFailed) {
            return;
        }
        if (!out && tryPlace(*job, heldBack, now)) {
            continue;
        }
        ++failedTries;
        // A job that has waited long keeps the others from taking what comes free.
        heldBack = heldBack || (m_policy.orderByArrival || (isAged(*job, now) && withinLimit(job->spec)));
        tryMove(*job, now);
    }
}

bool Cell::withinLimit(const JobSpec &spec) const
{
    const ContractRecord *record = m_context.configuration.findContract(spec.workspace);
    return record != nullptr
        && m_context.jobs.runningAccelerators(spec.workspace) + totalAccelerators(spec) <= record->contract.limits.accelerators;
}

bool Cell::isOnOwnReservation(const GangPlacement &placement, const std::string &workspace) const
{
    return std::ranges::all_of(placement, [&](const TaskPlacement &task) {
        const AcceleratorMask own = m_context.plan.reservedFor(firstWorker() + task.worker, workspace);
        return (task.accelerators & ~own) == 0;
    });
}

bool Cell::mayPreempt(const Gang &victim, const JobRecord &job) const
{
    const JobRecord &record = *m_context.jobs.find(victim.job);
    const bool reclaimable = record.spec.canCheckpoint && record.spec.urgency != Urgency::Urgent;
    if (!reclaimable || isOnOwnReservation(victim.placement, record.spec.workspace)) {
        return false;
    }
    const bool otherWorkspace = record.spec.workspace != job.spec.workspace;
    return job.spec.urgency == Urgency::Urgent || (otherWorkspace && weightedUse(record.spec.workspace) > weightedUse(job.spec.workspace));
}

std::optional<PlannedGang> Cell::plan(const JobRecord &job, bool heldBack, TimePoint now) const
{
    const CellSnapshot cell = snapshot(now);
    const JobSpec &spec = job.spec;
    const auto none = [](const Gang &) {
        return false;
    };
    const auto foreign = [&](const Gang &gang) {
        return m_context.jobs.find(gang.job)->spec.workspace != spec.workspace;
    };
    const auto preemptible = [&](const Gang &gang) {
        return mayPreempt(gang, job);
    };
    const bool urgent = spec.urgency == Urgency::Urgent && !m_policy.orderByArrival;
    std::optional<PlannedGang> planned = m_planner.plan(PlacementPass::OwnOrUnreserved, spec, cell, none);
    if (!planned) {
        planned = m_planner.plan(PlacementPass::ReclaimOwn, spec, cell, foreign);
    }
    if (planned && heldBack && !urgent && !isOnOwnReservation(planned->placement, spec.workspace)) {
        return std::nullopt;
    }
    if (!planned && (!heldBack || urgent)) {
        planned = m_planner.plan(PlacementPass::Borrow, spec, cell, none);
    }
    if (!planned && (urgent || (!heldBack && isAged(job, now)))) {
        planned = m_planner.plan(PlacementPass::Preempt, spec, cell, preemptible);
    }
    return planned;
}

bool Cell::tryPlace(const JobRecord &job, bool heldBack, TimePoint now)
{
    if (!withinLimit(job.spec)) {
        return false;
    }
    countHeld();
    std::optional<PlannedGang> planned = plan(job, heldBack, now);
    if (!planned) {
        return false;
    }
    addGang(job, std::move(*planned), now);
    return true;
}

void Cell::addGang(const JobRecord &job, PlannedGang planned, TimePoint now)
{
    for (const std::string &victim : planned.victims) {
        Gang *gang = findGang(victim);
        BANYANLOCK_ASSERT(gang != nullptr && gang->phase == GangPhase::Running);
        m_context.counters.add(Counter::GangsPreempted);
        requeue(*gang, "stopped for job " + job.id, m_context.jobs.find(victim)->spec.canCheckpoint, now);
    }
    std::uint32_t &lastRun = m_lastRuns[job.id];
    lastRun = std::max(lastRun, job.run) + 1;
    Gang gang;
    gang.job = job.id;
    gang.run = lastRun;
    gang.startEpoch = m_epoch;
    gang.placement = std::move(planned.placement);
    gang.phase = planned.victims.empty() ? GangPhase::Preparing : GangPhase::Reclaiming;
    gang.deadline = now + (planned.victims.empty() ? m_times.prepareLimit : m_times.checkpointGrace + reclaimSlack);
    m_context.counters.add(Counter::GangsPlaced);
    m_gangIndex.emplace(job.id, m_gangs.size());
    m_gangs.push_back(std::move(gang));
}

void Cell::tryMove(const JobRecord &job, TimePoint now)
{
    const bool out = m_context.configuration.isOut(m_failureDomain);
    const bool waitedLong = now - m_firstSeen[job.id] >= m_times.moveAfter;
    const auto moved = m_movedAt.find(job.id);
    const bool movedLately = moved != m_movedAt.end() && now - moved->second < moveInterval;
    if (movedLately || (!out && !waitedLong)) {
        return;
    }
    const JobRouter router(m_context.fleet, m_context.configuration, m_context.plan, m_context.jobs);
    std::optional<std::string> target = router.chooseWithRoom(job.spec, m_failureDomain);
    if (!target && out) {
        target = router.choose(job.spec, m_failureDomain);
    }
    if (!target || m_context.configuration.isOut(*target)) {
        return;
    }
    m_movedAt[job.id] = now;
    JobRecord next = job;
    next.cell = *target;
    next.reason = "moved from " + m_failureDomain;
    m_actions.emplace_back(CommitJob{job.id, makeTransaction(next, "move")});
}

} // namespace banyanlock
