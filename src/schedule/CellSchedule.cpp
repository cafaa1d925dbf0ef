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

constexpr std::size_t mostFailuresPerPass = 64; // kinds of jobs that find no place
constexpr std::size_t mostMoveTries = 4; // each looks at all cells
constexpr std::size_t mostWaits = 8; // jobs of a cell for which accelerators are withheld
constexpr std::uint32_t leastCompactAccelerators = 8; // smaller jobs find room without moves
constexpr Duration scheduleInterval = fromMilliseconds(200);
constexpr Duration shortestScheduleInterval = fromMilliseconds(20); // looking at a long queue costs milliseconds
constexpr Duration forgetInterval = fromMilliseconds(10000);
constexpr Duration moveTryInterval = fromMilliseconds(1000);
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

bool noGang(const Gang &)
{
    return false;
}

} // namespace

void Cell::countHeld()
{
    for (WorkerState &worker : m_workers.all()) {
        worker.held = 0;
        worker.processorsHeld = 0;
        worker.memoryHeld = 0;
    }
    for (const Gang &gang : m_gangs) {
        hold(gang);
    }
}

void Cell::hold(const Gang &gang)
{
    const GangShape &shape = m_context.jobs.find(gang.job)->spec.shape;
    for (const TaskPlacement &task : gang.placement) {
        WorkerState &worker = m_workers.all()[task.worker];
        worker.held |= task.accelerators;
        worker.processorsHeld += shape.processors;
        worker.memoryHeld += shape.memoryMegabytes;
    }
}

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
    if (pass.moveTries < mostMoveTries && mayMove(job, now)) {
        ++pass.moveTries;
        tryMove(job, now);
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
    std::erase_if(m_moveAgainAt, isGone);
}

bool Cell::withhold(const JobRecord &job, TimePoint now)
{
    if (waitOf(job, now) < m_times.withholdAfter || !withinLimit(job.spec)) {
        return false;
    }
    // The accelerators where least is missing, so that the wait is short and the others go on elsewhere.
    const std::optional<PlannedGang> awaited = m_planner.plan(PlacementPass::Await, job.spec, snapshot(now), noGang);
    if (!awaited) {
        return false;
    }
    for (const TaskPlacement &task : awaited->placement) {
        m_withheld[task.worker] |= task.accelerators;
    }
    return true;
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

Duration Cell::waitOf(const JobRecord &job, TimePoint now) const
{
    const auto seen = m_firstSeen.find(job.id);
    return seen == m_firstSeen.end() ? Duration::zero() : now - seen->second;
}

bool Cell::isMovable(const Gang &gang, const JobRecord &job, TimePoint now) const
{
    const JobSpec &spec = m_context.jobs.find(gang.job)->spec;
    const bool reclaimable = spec.canCheckpoint && spec.urgency != Urgency::Urgent;
    const bool settled = now - gang.runningSince >= m_times.compactInterval;
    return reclaimable && settled && 2 * totalAccelerators(spec) <= totalAccelerators(job.spec)
        && !isOnOwnReservation(gang.placement, spec.workspace);
}

bool Cell::mayCompact(const JobRecord &job, TimePoint now) const
{
    const bool large = totalAccelerators(job.spec) >= leastCompactAccelerators;
    return m_policy.compact && large && waitOf(job, now) >= m_times.compactAfter;
}

Cell::PlacementNeed Cell::needOf(const JobRecord &job, TimePoint now) const
{
    const JobSpec &spec = job.spec;
    return {spec.workspace, spec.shape, spec.canCheckpoint, spec.urgency == Urgency::Urgent, mayCompact(job, now), isAged(job, now)};
}

std::optional<PlannedGang> Cell::planCompaction(const JobRecord &job, const CellSnapshot &cell) const
{
    std::optional<PlannedGang> planned = m_planner.plan(PlacementPass::Preempt, job.spec, cell, [&](const Gang &gang) {
        return isMovable(gang, job, cell.now);
    });
    if (!planned || !m_planner.canRehouse(*planned, cell)) {
        return std::nullopt;
    }
    planned->moves = true;
    return planned;
}

std::optional<PlannedGang> Cell::plan(const JobRecord &job, TimePoint now) const
{
    CellSnapshot cell = snapshot(now);
    const JobSpec &spec = job.spec;
    const bool urgent = spec.urgency == Urgency::Urgent && !m_policy.orderByArrival;
    if (urgent) {
        cell.withheld = {};
    }
    const auto foreign = [&](const Gang &gang) {
        return m_context.jobs.find(gang.job)->spec.workspace != spec.workspace;
    };
    const auto preemptible = [&](const Gang &gang) {
        return mayPreempt(gang, job);
    };
    std::optional<PlannedGang> planned = m_planner.plan(PlacementPass::OwnOrUnreserved, spec, cell, noGang);
    if (!planned) {
        planned = m_planner.plan(PlacementPass::ReclaimOwn, spec, cell, foreign);
    }
    if (!planned) {
        planned = m_planner.plan(PlacementPass::Borrow, spec, cell, noGang);
    }
    if (!planned && mayCompact(job, now)) {
        planned = planCompaction(job, cell);
    }
    if (!planned && (urgent || isAged(job, now))) {
        planned = m_planner.plan(PlacementPass::Preempt, spec, cell, preemptible);
    }
    return planned;
}

bool Cell::tryPlace(const JobRecord &job, QueuePass &pass, TimePoint now)
{
    const PlacementNeed need = needOf(job, now);
    // Nothing comes free within a pass, so a job that needs the same as one that failed is not worth a try.
    if (!withinLimit(job.spec) || std::ranges::find(pass.failed, need) != pass.failed.end()) {
        return false;
    }
    std::optional<PlannedGang> planned = plan(job, now);
    if (!planned) {
        pass.failed.push_back(need);
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
        m_context.counters.add(planned.moves ? Counter::GangsMoved : Counter::GangsPreempted);
        requeue(*gang, (planned.moves ? "moved for job " : "stopped for job ") + job.id, m_context.jobs.find(victim)->spec.canCheckpoint,
                now);
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
    hold(gang);
    m_gangs.push_back(std::move(gang));
}

bool Cell::mayMove(const JobRecord &job, TimePoint now) const
{
    const bool out = m_context.configuration.isOut(m_failureDomain);
    const auto again = m_moveAgainAt.find(job.id);
    const bool triedLately = again != m_moveAgainAt.end() && now < again->second;
    return !triedLately && (out || waitOf(job, now) >= m_times.moveAfter);
}

void Cell::tryMove(const JobRecord &job, TimePoint now)
{
    m_moveAgainAt[job.id] = now + moveTryInterval;
    const bool out = m_context.configuration.isOut(m_failureDomain);
    const JobRouter router(m_context.fleet, m_context.configuration, m_context.plan, m_context.jobs);
    std::optional<std::string> target = router.chooseWithRoom(job.spec, m_failureDomain);
    if (!target && out) {
        target = router.choose(job.spec, m_failureDomain);
    }
    if (!target || m_context.configuration.isOut(*target)) {
        return;
    }
    m_moveAgainAt[job.id] = now + moveInterval;
    JobRecord next = job;
    next.cell = *target;
    next.reason = "moved from " + m_failureDomain;
    m_actions.emplace_back(CommitJob{job.id, makeTransaction(next, "move")});
}

} // namespace banyanlock
