#include "schedule/CellPlanner.h"

#include "core/Guard.h"

#include <algorithm>
#include <bit>

namespace banyanlock
{
namespace
{

/// Accelerators that a worker reports for tasks of none of the cell's gangs.
AcceleratorMask orphanedAccelerators(const WorkerState &worker)
{
    AcceleratorMask mask = 0;
    for (const TaskReport &task : worker.tasks) {
        mask |= holdsResources(task.state) ? task.accelerators : 0;
    }
    return mask & ~worker.held;
}

AcceleratorMask usableAccelerators(PlacementPass pass, AcceleratorMask free, AcceleratorMask stoppable, AcceleratorMask own,
                                   AcceleratorMask reserved)
{
    const AcceleratorMask open = own | ~reserved;
    switch (pass) {
    case PlacementPass::OwnOrUnreserved:
        return free & open;
    case PlacementPass::ReclaimOwn:
        return (free & open) | (stoppable & own);
    case PlacementPass::Borrow:
        return free;
    case PlacementPass::Preempt:
        return (free | stoppable) & open;
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

std::vector<CellPlanner::Stoppable> CellPlanner::findStoppable(const CellSnapshot &cell, const MayStop &mayStop)
{
    std::vector<Stoppable> found(cell.workers.all().size());
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
                                               std::span<const Stoppable> stoppable) const
{
    std::vector<WorkerView> views;
    views.reserve(cell.workers.all().size());
    for (std::uint32_t index = 0; index < cell.workers.all().size(); ++index) {
        const WorkerState &worker = cell.workers.all()[index];
        WorkerView view;
        view.rack = worker.rack;
        view.accelerators = worker.info.accelerators;
        if (cell.workers.isUsable(worker, cell.now)) {
            const AcceleratorMask free = allAccelerators(worker.info) & ~worker.held & ~orphanedAccelerators(worker);
            const AcceleratorMask own = m_respectReservations ? cell.plan.reservedFor(cell.firstWorker + index, spec.workspace) : 0;
            const AcceleratorMask reserved = m_respectReservations ? cell.plan.reservedOn(cell.firstWorker + index) : 0;
            view.usable = usableAccelerators(pass, free, stoppable[index].accelerators, own, reserved);
            view.preferred = view.usable & (pass == PlacementPass::Preempt ? free : own);
            const std::uint32_t processorsHeld = worker.processorsHeld - std::min(worker.processorsHeld, stoppable[index].processors);
            const std::uint32_t memoryHeld = worker.memoryHeld - std::min(worker.memoryHeld, stoppable[index].memoryMegabytes);
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
        if (gang.phase != GangPhase::Reclaiming && overlaps(placement, gang.placement)) {
            victims.push_back(gang.job);
        }
    }
    return victims;
}

std::optional<PlannedGang> CellPlanner::plan(PlacementPass pass, const JobSpec &spec, const CellSnapshot &cell,
                                             const MayStop &mayStop) const
{
    const bool stops = pass == PlacementPass::ReclaimOwn || pass == PlacementPass::Preempt;
    const std::vector<Stoppable> stoppable = stops ? findStoppable(cell, mayStop) : std::vector<Stoppable>(cell.workers.all().size());
    if (pass == PlacementPass::Borrow && !spec.canCheckpoint && m_respectReservations && isEnabled(Guard::ReclaimableBorrow)) {
        return std::nullopt;
    }
    const std::vector<WorkerView> views = makeViews(pass, spec, cell, stoppable);
    std::optional<GangPlacement> placement = m_placer.place(spec.shape, views);
    if (!placement) {
        return std::nullopt;
    }
    std::vector<std::string> victims = victimsOf(*placement, cell);
    return PlannedGang{std::move(*placement), std::move(victims)};
}

} // namespace banyanlock
