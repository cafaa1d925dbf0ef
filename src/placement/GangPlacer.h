#pragma once

#include "placement/GangShape.h"
#include "placement/TaskPlacement.h"
#include "placement/WorkerView.h"

#include <optional>
#include <span>
#include <string_view>

namespace banyanlock
{

/// How a placement is chosen among those that fit.
enum class PlacementOrder : std::uint8_t {
    BestFit, ///< The workers and racks where the least is left over.
    FirstFit, ///< Baseline: the first workers that fit.
};

/// Finds workers for a gang within its adjacency.
class GangPlacer
{
public:
    /// @param order How to choose among placements that fit.
    explicit GangPlacer(PlacementOrder order = PlacementOrder::BestFit)
        : m_order(order)
    {
    }

    /// Finds a placement.
    /// @param shape What the gang needs.
    /// @param workers Workers of the cell, racks together.
    /// @return A placement of all tasks, or nothing.
    std::optional<GangPlacement> place(const GangShape &shape, std::span<const WorkerView> workers) const;

private:
    PlacementOrder m_order;
};

} // namespace banyanlock
