#include "schedule/Cell.h"

#include "core/Assert.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::uint32_t minCompactionAccelerators = 8; // smaller jobs fit without relocations
constexpr Duration reclaimMargin = fromMilliseconds(10000); // added to the checkpoint grace period for stops and transactions

bool noGangMayStop(const Gang &)
{
    return false;
}

} // namespace

void Cell::recomputeHeldResources()
{
    for (WorkerState &worker : m_workers.all()) {
        worker.acceleratorsHeld = 0;
        worker.processorsHeld = 0;
        worker.memoryHeld = 0;
    }
    for (const Gang &gang : m_gangs) {
        addHeldResources(gang);
    }
}

void Cell::addHeldResources(const Gang &gang)
{
    const GangShape &shape = m_context.jobs.find(gang.job)->spec.shape;
    for (const TaskPlacement &task : gang.placement) {
        WorkerState &worker = m_workers.all()[task.worker];
        worker.acceleratorsHeld |= task.accelerators;
        worker.processorsHeld += shape.processors;
        worker.memoryHeld += shape.memoryMegabytes;
    }
}

bool Cell::isWithinLimit(const JobSpec &spec) const
{
    const ContractRecord *record = m_context.configuration.findContract(spec.workspace);
    return record != nullptr
        && m_context.jobs.runningAccelerators(spec.workspace) + totalAccelerators(spec) <= record->contract.limits.accelerators;
}

bool Cell::isOnOwnReservation(const GangPlacement &placement, const std::string &workspace) const
{
    return std::ranges::all_of(placement, [&](const TaskPlacement &task) {
        const AcceleratorMask own = m_context.plan.reservedFor(firstWorkerIndex() + task.worker, workspace);
        return (task.accelerators & ~own) == 0;
    });
}

bool Cell::isReclaimable(const Gang &gang) const
{
    const JobSpec &spec = m_context.jobs.find(gang.job)->spec;
    return spec.canCheckpoint && spec.urgency != Urgency::Urgent && !isOnOwnReservation(gang.placement, spec.workspace);
}

bool Cell::mayPreempt(const Gang &victim, const JobRecord &job) const
{
    if (!isReclaimable(victim)) {
        return false;
    }
    const std::string &workspace = m_context.jobs.find(victim.job)->spec.workspace;
    const bool otherWorkspace = workspace != job.spec.workspace;
    return job.spec.urgency == Urgency::Urgent || (otherWorkspace && weightedUsage(workspace) > weightedUsage(job.spec.workspace));
}

bool Cell::isMovable(const Gang &gang, const JobRecord &job, TimePoint now) const
{
    const JobSpec &spec = m_context.jobs.find(gang.job)->spec;
    const bool ranLongEnough = now - gang.runningSince >= m_timing.minRunBeforeMove;
    return ranLongEnough && 2 * totalAccelerators(spec) <= totalAccelerators(job.spec) && isReclaimable(gang);
}

bool Cell::mayCompact(const JobRecord &job, TimePoint now) const
{
    const bool large = totalAccelerators(job.spec) >= minCompactionAccelerators;
    return m_policy.compact && large && waitingTime(job, now) >= m_timing.compactionDelay;
}

Cell::PlacementRequirements Cell::requirementsOf(const JobRecord &job, TimePoint now) const
{
    const JobSpec &spec = job.spec;
    return {spec.workspace, spec.shape, spec.canCheckpoint, spec.urgency == Urgency::Urgent, mayCompact(job, now), isAged(job, now)};
}

std::optional<PlannedGang> Cell::planCompaction(const JobRecord &job, const CellSnapshot &cell) const
{
    std::optional<PlannedGang> planned = m_planner.plan(PlacementPass::Preempt, job.spec, cell, [&](const Gang &gang) {
        return isMovable(gang, job, cell.now);
    });
    if (!planned || !m_planner.canRelocateVictims(*planned, cell)) {
        return std::nullopt;
    }
    planned->relocatesVictims = true;
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
    const auto isOtherWorkspace = [&](const Gang &gang) {
        return m_context.jobs.find(gang.job)->spec.workspace != spec.workspace;
    };
    const auto preemptible = [&](const Gang &gang) {
        return mayPreempt(gang, job);
    };
    std::optional<PlannedGang> planned = m_planner.plan(PlacementPass::OwnOrUnreserved, spec, cell, noGangMayStop);
    if (!planned) {
        planned = m_planner.plan(PlacementPass::ReclaimOwn, spec, cell, isOtherWorkspace);
    }
    if (!planned) {
        planned = m_planner.plan(PlacementPass::Borrow, spec, cell, noGangMayStop);
    }
    if (!planned && mayCompact(job, now)) {
        planned = planCompaction(job, cell);
    }
    if (!planned && (urgent || isAged(job, now))) {
        planned = m_planner.plan(PlacementPass::Preempt, spec, cell, preemptible);
    }
    return planned;
}

bool Cell::withhold(const JobRecord &job, TimePoint now)
{
    if (waitingTime(job, now) < m_timing.withholdDelay || !isWithinLimit(job.spec)) {
        return false;
    }
    // Chooses the placement that needs the fewest busy accelerators, so that the wait is short and few accelerators are withheld from
    // others.
    const std::optional<PlannedGang> awaited = m_planner.plan(PlacementPass::Await, job.spec, snapshot(now), noGangMayStop);
    if (!awaited) {
        return false;
    }
    for (const TaskPlacement &task : awaited->placement) {
        m_withheld[task.worker] |= task.accelerators;
    }
    return true;
}

bool Cell::tryPlace(const JobRecord &job, QueuePass &pass, TimePoint now)
{
    const PlacementRequirements requirements = requirementsOf(job, now);
    // No accelerators are released during a pass, so a job with the same requirements as an unplaceable job is skipped.
    if (!isWithinLimit(job.spec) || std::ranges::find(pass.unplaceable, requirements) != pass.unplaceable.end()) {
        return false;
    }
    std::optional<PlannedGang> planned = plan(job, now);
    if (!planned) {
        pass.unplaceable.push_back(requirements);
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
        m_context.counters.add(planned.relocatesVictims ? Counter::GangsMoved : Counter::GangsPreempted);
        requeue(*gang, (planned.relocatesVictims ? "moved for job " : "stopped for job ") + job.id,
                m_context.jobs.find(victim)->spec.canCheckpoint, now);
    }
    std::uint32_t &lastRun = m_lastRuns[job.id];
    lastRun = std::max(lastRun, job.run) + 1;
    Gang gang;
    gang.job = job.id;
    gang.run = lastRun;
    gang.startEpoch = m_epoch;
    gang.placement = std::move(planned.placement);
    gang.phase = planned.victims.empty() ? GangPhase::Preparing : GangPhase::Reclaiming;
    gang.deadline = now + (planned.victims.empty() ? m_timing.prepareTimeout : m_timing.checkpointGrace + reclaimMargin);
    m_context.counters.add(Counter::GangsPlaced);
    m_gangIndex.emplace(job.id, m_gangs.size());
    addHeldResources(gang);
    m_gangs.push_back(std::move(gang));
}

} // namespace banyanlock
