#pragma once

#include "contract/Contract.h"
#include "placement/Fleet.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Part of a reservation on one worker.
struct ReservedSlice {
    std::uint32_t worker = 0; ///< Index of the worker in the fleet.
    AcceleratorMask accelerators = 0; ///< Accelerators that are reserved.
};

/// Concrete accelerators set aside for one guaranteed shape of one workspace.
struct Reservation {
    std::uint32_t workspace = 0; ///< Index of the workspace in the plan.
    std::uint32_t shape = 0; ///< Index of the shape in the contract.
    std::vector<ReservedSlice> slices; ///< One for each worker of the shape.
};

/// A guaranteed shape for which there is no room.
struct Shortfall {
    std::string workspace; ///< Workspace that goes short.
    std::uint32_t shape = 0; ///< Index of the shape in its contract.
    std::uint32_t missing = 0; ///< How many of the shape are missing.
};

/// Disjoint reservations for the guarantees of all contracts: the standing proof that each can be reclaimed.
///
/// The plan follows from its inputs alone, so every process that sees the same contracts, workers and failure domains makes the same plan.
class ReservationPlan
{
public:
    /// Packs the guarantees of all contracts.
    /// @param fleet All workers.
    /// @param contracts All contracts, ordered by workspace.
    /// @param outDomains Failure domains that can't be used.
    ReservationPlan(const Fleet &fleet, std::span<const Contract> contracts, std::span<const std::string> outDomains);

    /// @return All reservations.
    std::span<const Reservation> reservations() const
    {
        return m_reservations;
    }

    /// @return Guarantees without room.
    std::span<const Shortfall> shortfalls() const
    {
        return m_shortfalls;
    }

    /// @param worker Index of a worker in the fleet.
    /// @return Accelerators that are reserved for any workspace.
    AcceleratorMask reservedOn(std::uint32_t worker) const
    {
        return m_reserved[worker];
    }

    /// @param worker Index of a worker in the fleet.
    /// @param workspace Name of a workspace.
    /// @return Accelerators that are reserved for this workspace.
    AcceleratorMask reservedFor(std::uint32_t worker, std::string_view workspace) const;

    /// Checks that reservations are disjoint, within their workers, of the contract's shape and adjacency.
    /// @param fleet The fleet that the plan was made for.
    /// @param contracts The contracts that the plan was made for.
    /// @return Whether all of it holds.
    bool isConsistent(const Fleet &fleet, std::span<const Contract> contracts) const;

private:
    /// Part of a worker that is reserved for one workspace.
    struct WorkerShare {
        std::uint32_t workspace = 0;
        AcceleratorMask accelerators = 0;
    };

    void buildWorkerIndex();

    std::vector<std::string> m_workspaces;
    std::vector<Reservation> m_reservations;
    std::vector<Shortfall> m_shortfalls;
    std::vector<AcceleratorMask> m_reserved;
    std::vector<WorkerShare> m_shares; // of all workers, one worker's after another's
    std::vector<std::uint32_t> m_shareOffsets; // place of each worker's in m_shares, and the end
};

/// Checks whether all guarantees have room, also with any one failure domain gone for the contracts that ask for it.
/// @param fleet All workers.
/// @param contracts All contracts, ordered by workspace.
/// @return Empty when they fit, else which guarantee is missing where.
std::string findGuaranteeShortfall(const Fleet &fleet, std::span<const Contract> contracts);

} // namespace banyanlock
