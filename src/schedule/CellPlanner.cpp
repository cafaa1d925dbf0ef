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

/// Accelerators of one worker, by what a job may do with them.
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
    // A guarantee goes before a wait.
    const AcceleratorMask allowed = sets.own | ~sets.withheld;
    const AcceleratorMask open = (sets.own | ~sets.reserved) & allowed;
    switch (pass) {
    case PlacementPass::OwnOrUnreserved:
        return sets.free & open;
    case PlacementPass::ReclaimOwn:
        return (sets.free & open) | (sets.stoppable & sets.own);
    case PlacementPass::Borrow:
        return sets.free & allowed;
    case PlacementPass::Preempt:
        return (sets.free | sets.stoppable) & open;
    case PlacementPass::Await:
        return sets.all & open;
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
            AcceleratorSets sets;
            sets.all = allAccelerators(worker.info);
            sets.free = sets.all & ~worker.held & ~orphanedAccelerators(worker);
            sets.stoppable = stoppable[index].accelerators;
            sets.own = m_respectReservations ? cell.plan.reservedFor(cell.firstWorker + index, spec.workspace) : 0;
            sets.reserved = m_respectReservations ? cell.plan.reservedOn(cell.firstWorker + index) : 0;
            sets.withheld = cell.withheld.empty() ? 0 : cell.withheld[index];
            const bool stops = pass == PlacementPass::Preempt || pass == PlacementPass::Await;
            view.usable = usableAccelerators(pass, sets);
            view.preferred = view.usable & (stops ? sets.free : sets.own);
            const bool waits = pass == PlacementPass::Await;
            const std::uint32_t processorsGiven = waits ? worker.processorsHeld : stoppable[index].processors;
            const std::uint32_t memoryGiven = waits ? worker.memoryHeld : stoppable[index].memoryMegabytes;
            const std::uint32_t processorsHeld = worker.processorsHeld - std::min(worker.processorsHeld, processorsGiven);
            const std::uint32_t memoryHeld = worker.memoryHeld - std::min(worker.memoryHeld, memoryGiven);
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
        // A late start of a gang that was given up may overlap a running one; it stops already.
        if (gang.phase == GangPhase::Running && overlaps(placement, gang.placement)) {
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
    if (pass == PlacementPass::Await) {
        return PlannedGang{std::move(*placement), {}, false};
    }
    std::vector<std::string> victims = victimsOf(*placement, cell);
    return PlannedGang{std::move(*placement), std::move(victims), false};
}

bool CellPlanner::canRehouse(const PlannedGang &planned, const CellSnapshot &cell) const
{
    std::vector<AcceleratorMask> taken(cell.workers.all().size(), 0);
    const auto take = [&](const GangPlacement &placement) {
        for (const TaskPlacement &task : placement) {
            taken[task.worker] |= task.accelerators;
        }
    };
    take(planned.placement);
    const std::vector<Stoppable> nothing(taken.size());
    for (const std::string &victim : planned.victims) {
        const JobSpec &spec = cell.jobs.find(victim)->spec;
        std::vector<WorkerView> views = makeViews(PlacementPass::Borrow, spec, cell, nothing);
        for (std::size_t index = 0; index < views.size(); ++index) {
            views[index].usable &= ~taken[index];
        }
        const std::optional<GangPlacement> placement = m_placer.place(spec.shape, views);
        if (!placement) {
            return false;
        }
        take(*placement);
    }
    return true;
}

} // namespace banyanlock
