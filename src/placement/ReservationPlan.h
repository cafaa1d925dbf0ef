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
    AcceleratorMask accelerators = 0; ///< Reserved accelerators.
};

/// Accelerators reserved for one instance of a guaranteed shape of a workspace.
struct Reservation {
    std::uint32_t workspace = 0; ///< Index of the workspace among the contracts.
    std::uint32_t shape = 0; ///< Index of the guarantee in the contract.
    std::vector<ReservedSlice> slices; ///< One for each worker of the shape.
};

/// Guaranteed shape that could not be reserved in full.
struct Shortfall {
    std::string workspace; ///< Workspace whose guarantee is not covered.
    std::uint32_t shape = 0; ///< Index of the guarantee in its contract.
    std::uint32_t missing = 0; ///< Number of instances of the shape that are not reserved.
};

/// Disjoint reservations for the guarantees of all contracts. Since they are disjoint, all guarantees can be claimed at the same time.
///
/// The plan is a deterministic function of its inputs, so all processes with the same contracts, workers and failure domains compute the
/// same plan.
class ReservationPlan
{
public:
    /// Computes the reservations for the guarantees of all contracts.
    /// @param fleet All workers.
    /// @param contracts All contracts, ordered by workspace.
    /// @param outDomains Failure domains that are out of service.
    ReservationPlan(const Fleet &fleet, std::span<const Contract> contracts, std::span<const std::string> outDomains);

    /// @return All reservations.
    std::span<const Reservation> reservations() const
    {
        return m_reservations;
    }

    /// @return Guarantees that are not fully reserved.
    std::span<const Shortfall> shortfalls() const
    {
        return m_shortfalls;
    }

    /// @param worker Index of a worker in the fleet.
    /// @return Accelerators of the worker that are reserved for any workspace.
    AcceleratorMask reservedOn(std::uint32_t worker) const
    {
        return m_reserved[worker];
    }

    /// @param worker Index of a worker in the fleet.
    /// @param workspace Name of a workspace.
    /// @return Accelerators of the worker that are reserved for this workspace.
    AcceleratorMask reservedFor(std::uint32_t worker, std::string_view workspace) const;

    /// Checks that reservations are disjoint, use only existing accelerators and match the shape and adjacency of the contract.
    /// @param fleet Fleet from which the plan was computed.
    /// @param contracts Contracts from which the plan was computed.
    /// @return Whether the plan is consistent.
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
    std::vector<WorkerShare> m_shares; // of all workers, grouped by worker
    std::vector<std::uint32_t> m_shareOffsets; // index of the first share of each worker in m_shares, followed by the total
};

/// Checks whether all guarantees can be reserved. Contracts that require it are also checked against the loss of each single failure
/// domain.
/// @param fleet All workers.
/// @param contracts All contracts, ordered by workspace.
/// @return Empty if all fit, else a description of the first guarantee that does not.
std::string findGuaranteeShortfall(const Fleet &fleet, std::span<const Contract> contracts);

} // namespace banyanlock
