#pragma once

#include "placement/GangShape.h"
#include "placement/TaskPlacement.h"
#include "placement/WorkerView.h"

#include <optional>
#include <span>
#include <string_view>

namespace banyanlock
{

/// Strategy for choosing among the placements that fit.
enum class PlacementOrder : std::uint8_t {
    BestFit, ///< Prefers workers and racks with the fewest accelerators left over.
    FirstFit, ///< Baseline: takes the first workers that fit.
};

/// Finds workers for a gang that satisfy its adjacency constraint.
class GangPlacer
{
public:
    /// @param order How to choose among the placements that fit.
    explicit GangPlacer(PlacementOrder order = PlacementOrder::BestFit)
        : m_order(order)
    {
    }

    /// Finds a placement.
    /// @param shape Resources that the gang needs.
    /// @param workers Workers of the cell, grouped by rack.
    /// @return Placement of all tasks, or nothing if the gang does not fit.
    std::optional<GangPlacement> place(const GangShape &shape, std::span<const WorkerView> workers) const;

private:
    PlacementOrder m_order;
};

} // namespace banyanlock
