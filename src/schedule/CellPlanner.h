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

/// How a job's accelerators are found.
enum class PlacementPass : std::uint8_t {
    OwnOrUnreserved, ///< Free ones that are its own reservation or nobody's.
    ReclaimOwn, ///< As above, and its own reservation's that others have borrowed.
    Borrow, ///< Any free ones.
    Preempt, ///< Free ones, and those of work that may be stopped for this job.
    Await, ///< Any that it may ever take, whatever runs there now.
};

/// A placement with the gangs that must stop for it.
struct PlannedGang {
    GangPlacement placement; ///< Places of the tasks.
    std::vector<std::string> victims; ///< Jobs whose gangs must stop first.
    bool relocatesVictims = false; ///< These gangs have places elsewhere in the cell.
};

/// What the planner looks at.
struct CellSnapshot {
    const CellWorkers &workers; ///< Workers of the cell.
    const std::vector<Gang> &gangs; ///< Gangs of the cell.
    const JobTable &jobs; ///< All jobs.
    const ReservationPlan &plan; ///< Reservations of the guarantees.
    std::uint32_t firstWorkerIndex = 0; ///< Index in the fleet of the cell's first worker.
    TimePoint now{}; ///< Current time.
    std::span<const AcceleratorMask> withheld; ///< Accelerators of each worker that wait for another job; empty when none do.
};

/// Finds placements for jobs in one cell, with respect for everyone's reservations.
class CellPlanner
{
public:
    /// Decides whether a gang may be stopped for a job.
    using MayStop = std::function<bool(const Gang &)>;

    /// @param order How to choose among placements that fit.
    /// @param respectReservations Baseline when false: reservations are not looked at.
    CellPlanner(PlacementOrder order, bool respectReservations)
        : m_placer(order)
        , m_respectReservations(respectReservations)
    {
    }

    /// Tries one pass.
    /// @param pass How accelerators are found.
    /// @param spec The job.
    /// @param cell State of the cell.
    /// @param mayStop Which gangs a `Preempt` pass may stop.
    /// @return A placement, or nothing.
    std::optional<PlannedGang> plan(PlacementPass pass, const JobSpec &spec, const CellSnapshot &cell, const MayStop &mayStop) const;

    /// Decides whether the gangs that must stop for a placement find places elsewhere in the cell.
    /// @param planned The placement.
    /// @param cell State of the cell.
    /// @return Whether all of them do, at once.
    bool canRelocateVictims(const PlannedGang &planned, const CellSnapshot &cell) const;

private:
    /// What gangs that may be stopped hold on one worker.
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
