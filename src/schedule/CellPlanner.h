#pragma once

#include "placement/GangPlacer.h"
#include "placement/ReservationPlan.h"
#include "schedule/CellWorkers.h"
#include "schedule/Gang.h"
#include "schedule/JobTable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace banyanlock
{

/// Which accelerators a placement attempt may use.
enum class PlacementPass : std::uint8_t {
    OwnOrUnreserved, ///< Free accelerators that are reserved for the workspace of the job or not reserved.
    ReclaimOwn, ///< As above, plus accelerators of its own reservations that other workspaces have borrowed.
    Borrow, ///< Any free accelerators.
    Preempt, ///< Free accelerators and those of gangs that may be stopped for the job.
    Await, ///< All accelerators that the job may use, including those in use now.
};

/// Placement with the gangs that must stop for it.
struct PlannedGang {
    GangPlacement placement; ///< Placement of the tasks.
    std::vector<std::string> victims; ///< Ids of the jobs whose gangs must stop first.
    bool relocatesVictims = false; ///< The victims can be placed elsewhere in the cell.
};

/// State of a cell as input of the planner.
struct CellSnapshot {
    const CellWorkers &workers; ///< Workers of the cell.
    const std::vector<Gang> &gangs; ///< Gangs of the cell.
    const JobTable &jobs; ///< All known jobs.
    const ReservationPlan &plan; ///< Reservations for the guarantees.
    std::uint32_t firstWorkerIndex = 0; ///< Index of the first worker of the cell in the fleet.
    TimePoint now{}; ///< Current time.
    std::span<const AcceleratorMask> withheld; ///< Accelerators of each worker kept free for waiting jobs; empty if none.
};

/// Finds placements for jobs in one cell while respecting the reservations of all workspaces.
class CellPlanner
{
public:
    /// Decides whether a gang may be stopped for a job.
    using MayStop = std::function<bool(const Gang &)>;

    /// @param order How to choose among the placements that fit.
    /// @param respectReservations Whether reservations are respected; false is a baseline.
    CellPlanner(PlacementOrder order, bool respectReservations)
        : m_placer(order)
        , m_respectReservations(respectReservations)
    {
    }

    /// Attempts a placement.
    /// @param pass Which accelerators may be used.
    /// @param spec The job.
    /// @param cell State of the cell.
    /// @param mayStop Selects the gangs that a `ReclaimOwn` or `Preempt` pass may stop.
    /// @return Placement, or nothing if the job does not fit.
    std::optional<PlannedGang> plan(PlacementPass pass, const JobSpec &spec, const CellSnapshot &cell, const MayStop &mayStop) const;

    /// Decides whether the victims of a placement can be placed elsewhere in the cell.
    /// @param planned Placement with its victims.
    /// @param cell State of the cell.
    /// @return Whether all victims fit at the same time.
    bool canRelocateVictims(const PlannedGang &planned, const CellSnapshot &cell) const;

private:
    /// Resources that stoppable gangs hold on one worker.
    struct StoppableResources {
        AcceleratorMask accelerators = 0;
        std::uint32_t processors = 0;
        std::uint32_t memoryMegabytes = 0;
    };

    std::vector<WorkerView> makeViews(PlacementPass pass, const JobSpec &spec, const CellSnapshot &cell,
                                      std::span<const StoppableResources> stoppable) const;
    static std::vector<StoppableResources> findStoppableResources(const CellSnapshot &cell, const MayStop &mayStop);
    static std::vector<std::string> victimsOf(const GangPlacement &placement, const CellSnapshot &cell);

    GangPlacer m_placer;
    bool m_respectReservations;
};

} // namespace banyanlock
