#include "schedule/CellPlanner.h"

#include "core/Guard.h"

#include <algorithm>
#include <bit>

namespace banyanlock
{
namespace
{

/// Accelerators that a worker reports as held by tasks that belong to no gang of the cell.
AcceleratorMask orphanedAccelerators(const WorkerState &worker)
{
    AcceleratorMask mask = 0;
    for (const TaskReport &task : worker.tasks) {
        mask |= holdsResources(task.state) ? task.accelerators : 0;
    }
    return mask & ~worker.acceleratorsHeld;
}

/// Accelerators of one worker, grouped by how a job may use them.
struct AcceleratorSets {
    AcceleratorMask all = 0;
    AcceleratorMask free = 0;
    AcceleratorMask stoppable = 0;
    AcceleratorMask own = 0;
    AcceleratorMask reserved = 0;
    AcceleratorMask withheld = 0;
};

AcceleratorMask usableAccelerators(PlacementPass pass, const AcceleratorSets &sets)
{
    // A guarantee takes precedence over accelerators withheld for a waiting job.
    const AcceleratorMask notWithheldOrOwn = sets.own | ~sets.withheld;
    const AcceleratorMask unreservedOrOwn = (sets.own | ~sets.reserved) & notWithheldOrOwn;
    switch (pass) {
    case PlacementPass::OwnOrUnreserved:
        return sets.free & unreservedOrOwn;
    case PlacementPass::ReclaimOwn:
        return (sets.free & unreservedOrOwn) | (sets.stoppable & sets.own);
    case PlacementPass::Borrow:
        return sets.free & notWithheldOrOwn;
    case PlacementPass::Preempt:
        return (sets.free | sets.stoppable) & unreservedOrOwn;
    case PlacementPass::Await:
        return sets.all & unreservedOrOwn;
    }
    return 0;
}

bool overlaps(const GangPlacement &left, const GangPlacement &right)
{
    return std::ranges::any_of(left, [&](const TaskPlacement &mine) {
        return std::ranges::any_of(right, [&](const TaskPlacement &other) {
            return mine.worker == other.worker && (mine.accelerators & other.accelerators) != 0;
        });
    });
}

} // namespace

std::vector<CellPlanner::StoppableResources> CellPlanner::findStoppableResources(const CellSnapshot &cell, const MayStop &mayStop)
{
    std::vector<StoppableResources> found(cell.workers.all().size());
    for (const Gang &gang : cell.gangs) {
        if (gang.phase != GangPhase::Running || !mayStop(gang)) {
            continue;
        }
        const JobRecord *record = cell.jobs.find(gang.job);
        for (const TaskPlacement &task : gang.placement) {
            found[task.worker].accelerators |= task.accelerators;
            found[task.worker].processors += record == nullptr ? 0 : record->spec.shape.processors;
            found[task.worker].memoryMegabytes += record == nullptr ? 0 : record->spec.shape.memoryMegabytes;
        }
    }
    return found;
}

std::vector<WorkerView> CellPlanner::makeViews(PlacementPass pass, const JobSpec &spec, const CellSnapshot &cell,
                                               std::span<const StoppableResources> stoppable) const
{
    std::vector<WorkerView> views;
    views.reserve(cell.workers.all().size());
    for (std::uint32_t index = 0; index < cell.workers.all().size(); ++index) {
        const WorkerState &worker = cell.workers.all()[index];
        WorkerView view;
        view.rack = worker.rack;
        view.accelerators = worker.info.accelerators;
        if (cell.workers.isUsable(worker, cell.now)) {
            AcceleratorSets sets;
            sets.all = allAccelerators(worker.info);
            sets.free = sets.all & ~worker.acceleratorsHeld & ~orphanedAccelerators(worker);
            sets.stoppable = stoppable[index].accelerators;
            sets.own = m_respectReservations ? cell.plan.reservedFor(cell.firstWorkerIndex + index, spec.workspace) : 0;
            sets.reserved = m_respectReservations ? cell.plan.reservedOn(cell.firstWorkerIndex + index) : 0;
            sets.withheld = cell.withheld.empty() ? 0 : cell.withheld[index];
            const bool stopsGangs = pass == PlacementPass::Preempt || pass == PlacementPass::Await;
            view.usable = usableAccelerators(pass, sets);
            view.preferred = view.usable & (stopsGangs ? sets.free : sets.own);
            const bool awaits = pass == PlacementPass::Await;
            const std::uint32_t releasableProcessors = awaits ? worker.processorsHeld : stoppable[index].processors;
            const std::uint32_t releasableMemory = awaits ? worker.memoryHeld : stoppable[index].memoryMegabytes;
            const std::uint32_t processorsHeld = worker.processorsHeld - std::min(worker.processorsHeld, releasableProcessors);
            const std::uint32_t memoryHeld = worker.memoryHeld - std::min(worker.memoryHeld, releasableMemory);
            view.processors = worker.info.processors - std::min(worker.info.processors, processorsHeld);
            view.memoryMegabytes = worker.info.memoryMegabytes - std::min(worker.info.memoryMegabytes, memoryHeld);
        }
        views.push_back(view);
    }
    return views;
}

std::vector<std::string> CellPlanner::victimsOf(const GangPlacement &placement, const CellSnapshot &cell)
{
    std::vector<std::string> victims;
    for (const Gang &gang : cell.gangs) {
        // Only running gangs are victims: a late start of an abandoned gang may overlap a running gang, but is already stopping.
        if (gang.phase == GangPhase::Running && overlaps(placement, gang.placement)) {
            victims.push_back(gang.job);
        }
    }
    return victims;
}

std::optional<PlannedGang> CellPlanner::plan(PlacementPass pass, const JobSpec &spec, const CellSnapshot &cell,
                                             const MayStop &mayStop) const
{
    const bool stopsGangs = pass == PlacementPass::ReclaimOwn || pass == PlacementPass::Preempt;
    const std::vector<StoppableResources> stoppable
        = stopsGangs ? findStoppableResources(cell, mayStop) : std::vector<StoppableResources>(cell.workers.all().size());
    if (pass == PlacementPass::Borrow && !spec.canCheckpoint && m_respectReservations && isEnabled(Guard::ReclaimableBorrow)) {
        return std::nullopt;
    }
    const std::vector<WorkerView> views = makeViews(pass, spec, cell, stoppable);
    std::optional<GangPlacement> placement = m_placer.place(spec.shape, views);
    if (!placement) {
        return std::nullopt;
    }
    if (pass == PlacementPass::Await) {
        return PlannedGang{std::move(*placement), {}, false};
    }
    std::vector<std::string> victims = victimsOf(*placement, cell);
    return PlannedGang{std::move(*placement), std::move(victims), false};
}

bool CellPlanner::canRelocateVictims(const PlannedGang &planned, const CellSnapshot &cell) const
{
    std::vector<AcceleratorMask> taken(cell.workers.all().size(), 0);
    const auto markTaken = [&](const GangPlacement &placement) {
        for (const TaskPlacement &task : placement) {
            taken[task.worker] |= task.accelerators;
        }
    };
    markTaken(planned.placement);
    const std::vector<StoppableResources> noneStoppable(taken.size());
    for (const std::string &victim : planned.victims) {
        const JobSpec &spec = cell.jobs.find(victim)->spec;
        std::vector<WorkerView> views = makeViews(PlacementPass::Borrow, spec, cell, noneStoppable);
        for (std::size_t index = 0; index < views.size(); ++index) {
            views[index].usable &= ~taken[index];
        }
        const std::optional<GangPlacement> placement = m_placer.place(spec.shape, views);
        if (!placement) {
            return false;
        }
        markTaken(*placement);
    }
    return true;
}

} // namespace banyanlock
