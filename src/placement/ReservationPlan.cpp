#include "placement/ReservationPlan.h"

#include "core/Assert.h"
#include "placement/GangPlacer.h"

#include <algorithm>
#include <bit>
#include <optional>

namespace banyanlock
{
namespace
{

/// Guaranteed shape of a contract, of which `count` instances are packed.
struct PackItem {
    std::uint32_t workspace = 0;
    std::uint32_t shape = 0;
    const GuaranteedShape *guaranteed = nullptr;
    bool survivesDomainLoss = false;
};

/// Orders shapes that must survive the loss of a failure domain first, then those that are hardest to place: the largest, then
/// those with the narrowest adjacency.
bool packsBefore(const PackItem &left, const PackItem &right)
{
    if (left.survivesDomainLoss != right.survivesDomainLoss) {
        return left.survivesDomainLoss;
    }
    const std::uint32_t leftSize = left.guaranteed->workers * left.guaranteed->acceleratorsPerWorker;
    const std::uint32_t rightSize = right.guaranteed->workers * right.guaranteed->acceleratorsPerWorker;
    if (leftSize != rightSize) {
        return leftSize > rightSize;
    }
    return left.guaranteed->adjacency > right.guaranteed->adjacency;
}

std::vector<PackItem> packingOrder(std::span<const Contract> contracts)
{
    std::vector<PackItem> items;
    for (std::uint32_t workspace = 0; workspace < contracts.size(); ++workspace) {
        const Contract &contract = contracts[workspace];
        for (std::uint32_t shape = 0; shape < contract.guarantees.size(); ++shape) {
            items.push_back({workspace, shape, &contract.guarantees[shape], contract.surviveFailureDomainLoss});
        }
    }
    std::ranges::stable_sort(items, packsBefore);
    return items;
}

/// Workers and free accelerators of one failure domain during packing.
struct DomainCapacity {
    std::uint32_t firstWorkerIndex = 0;
    std::vector<WorkerView> views;
    std::uint32_t freeAccelerators = 0;
};

std::vector<DomainCapacity> makeDomainCapacities(const Fleet &fleet, std::span<const std::string> outDomains)
{
    std::vector<DomainCapacity> domains;
    const auto workers = fleet.workers();
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        const WorkerInfo &worker = workers[index];
        if (std::ranges::find(outDomains, worker.failureDomain) != outDomains.end()) {
            continue;
        }
        const bool sameDomain = index > 0 && !domains.empty() && workers[index - 1].failureDomain == worker.failureDomain;
        if (!sameDomain) {
            domains.push_back({index, {}, 0});
        }
        std::vector<WorkerView> &views = domains.back().views;
        const bool sameRack = !views.empty() && workers[index - 1].rack == worker.rack;
        const std::uint32_t rack = views.empty() ? 0 : views.back().rack + (sameRack ? 0 : 1);
        // At most one slice of a guaranteed shape is placed on a worker, so each worker offers one processor and each slice needs one.
        views.push_back({rack, allAccelerators(worker), 0, worker.accelerators, 1, 0});
        domains.back().freeAccelerators += worker.accelerators;
    }
    return domains;
}

/// Places one instance of a shape in the failure domain with the most free accelerators that fits it, which spreads guarantees over failure
/// domains.
std::optional<std::vector<ReservedSlice>> packShape(const GuaranteedShape &shape, std::vector<DomainCapacity> &domains)
{
    const GangShape gang{shape.workers, shape.acceleratorsPerWorker, 1, 0, shape.adjacency};
    std::vector<std::uint32_t> order(domains.size());
    for (std::uint32_t index = 0; index < order.size(); ++index) {
        order[index] = index;
    }
    std::ranges::stable_sort(order, [&](std::uint32_t left, std::uint32_t right) {
        return domains[left].freeAccelerators > domains[right].freeAccelerators;
    });
    for (const std::uint32_t index : order) {
        DomainCapacity &domain = domains[index];
        const std::optional<GangPlacement> placement = GangPlacer().place(gang, domain.views);
        if (!placement) {
            continue;
        }
        std::vector<ReservedSlice> slices;
        for (const TaskPlacement &task : *placement) {
            domain.views[task.worker].usable &= ~task.accelerators;
            domain.freeAccelerators -= static_cast<std::uint32_t>(std::popcount(task.accelerators));
            slices.push_back({domain.firstWorkerIndex + task.worker, task.accelerators});
        }
        return slices;
    }
    return std::nullopt;
}

bool hasShape(const Reservation &reservation, const GuaranteedShape &shape, const Fleet &fleet)
{
    if (reservation.slices.size() != shape.workers) {
        return false;
    }
    const WorkerInfo &first = fleet.workers()[reservation.slices.front().worker];
    return std::ranges::all_of(reservation.slices, [&](const ReservedSlice &slice) {
        const WorkerInfo &worker = fleet.workers()[slice.worker];
        const bool rightSize = static_cast<std::uint32_t>(std::popcount(slice.accelerators)) == shape.acceleratorsPerWorker;
        const bool rightPlace
            = worker.failureDomain == first.failureDomain && (shape.adjacency != Adjacency::Rack || worker.rack == first.rack);
        return rightSize && rightPlace;
    });
}

} // namespace

ReservationPlan::ReservationPlan(const Fleet &fleet, std::span<const Contract> contracts, std::span<const std::string> outDomains)
    : m_reserved(fleet.workers().size(), 0)
{
    for (const Contract &contract : contracts) {
        m_workspaces.push_back(contract.workspace);
    }
    std::vector<DomainCapacity> domains = makeDomainCapacities(fleet, outDomains);
    for (const PackItem &item : packingOrder(contracts)) {
        for (std::uint32_t packed = 0; packed < item.guaranteed->count; ++packed) {
            std::optional<std::vector<ReservedSlice>> slices = packShape(*item.guaranteed, domains);
            if (!slices) {
                m_shortfalls.push_back({m_workspaces[item.workspace], item.shape, item.guaranteed->count - packed});
                break;
            }
            for (const ReservedSlice &slice : *slices) {
                BANYANLOCK_ASSERT((m_reserved[slice.worker] & slice.accelerators) == 0);
                m_reserved[slice.worker] |= slice.accelerators;
            }
            m_reservations.push_back({item.workspace, item.shape, std::move(*slices)});
        }
    }
    buildWorkerIndex();
    BANYANLOCK_ASSERT(isConsistent(fleet, contracts));
}

void ReservationPlan::buildWorkerIndex()
{
    m_shareOffsets.assign(m_reserved.size() + 1, 0);
    for (const Reservation &reservation : m_reservations) {
        for (const ReservedSlice &slice : reservation.slices) {
            ++m_shareOffsets[slice.worker + 1];
        }
    }
    for (std::size_t worker = 1; worker < m_shareOffsets.size(); ++worker) {
        m_shareOffsets[worker] += m_shareOffsets[worker - 1];
    }
    m_shares.resize(m_shareOffsets.back());
    std::vector<std::uint32_t> next(m_shareOffsets);
    for (const Reservation &reservation : m_reservations) {
        for (const ReservedSlice &slice : reservation.slices) {
            m_shares[next[slice.worker]++] = {reservation.workspace, slice.accelerators};
        }
    }
}

AcceleratorMask ReservationPlan::reservedFor(std::uint32_t worker, std::string_view workspace) const
{
    AcceleratorMask mask = 0;
    for (std::uint32_t index = m_shareOffsets[worker]; index < m_shareOffsets[worker + 1]; ++index) {
        const WorkerShare &share = m_shares[index];
        mask |= m_workspaces[share.workspace] == workspace ? share.accelerators : 0;
    }
    return mask;
}

bool ReservationPlan::isConsistent(const Fleet &fleet, std::span<const Contract> contracts) const
{
    std::vector<AcceleratorMask> taken(fleet.workers().size(), 0);
    for (const Reservation &reservation : m_reservations) {
        if (!hasShape(reservation, contracts[reservation.workspace].guarantees[reservation.shape], fleet)) {
            return false;
        }
        for (const ReservedSlice &slice : reservation.slices) {
            const bool inside = (slice.accelerators & ~allAccelerators(fleet.workers()[slice.worker])) == 0;
            if (!inside || (taken[slice.worker] & slice.accelerators) != 0) {
                return false;
            }
            taken[slice.worker] |= slice.accelerators;
        }
    }
    return true;
}

std::string findGuaranteeShortfall(const Fleet &fleet, std::span<const Contract> contracts)
{
    const auto describe = [](const ReservationPlan &plan, const std::string &where) {
        const Shortfall &first = plan.shortfalls().front();
        return "guarantees[" + std::to_string(first.shape) + "] of workspace " + first.workspace + ": " + std::to_string(first.missing)
            + " of the guaranteed shape do not fit" + where;
    };
    const ReservationPlan fullPlan(fleet, contracts, {});
    if (!fullPlan.shortfalls().empty()) {
        return describe(fullPlan, "");
    }
    std::vector<Contract> surviving;
    std::ranges::copy_if(contracts, std::back_inserter(surviving), &Contract::surviveFailureDomainLoss);
    if (surviving.empty()) {
        return {};
    }
    for (const std::string &lostDomain : fleet.failureDomains()) {
        const ReservationPlan reducedPlan(fleet, surviving, {&lostDomain, 1});
        if (!reducedPlan.shortfalls().empty()) {
            return describe(reducedPlan, " with failure domain " + lostDomain + " lost");
        }
    }
    return {};
}

} // namespace banyanlock
