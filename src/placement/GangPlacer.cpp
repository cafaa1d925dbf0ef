#include "placement/GangPlacer.h"

#include "core/Assert.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <vector>

namespace banyanlock
{
namespace
{

constexpr double preferredBonus = 1e6; // outweighs any other cost
constexpr double rackWeight = 64; // outweighs the accelerators left over on one worker

std::uint32_t countOf(AcceleratorMask mask)
{
    return static_cast<std::uint32_t>(std::popcount(mask));
}

/// Returns the index after the last worker of the rack that starts at `first`.
std::size_t rackEnd(std::span<const WorkerView> workers, std::size_t first)
{
    std::size_t end = first;
    while (end < workers.size() && workers[end].rack == workers[first].rack) {
        ++end;
    }
    return end;
}

/// Returns how many tasks of the shape fit on a worker.
std::uint32_t taskCapacity(const GangShape &shape, const WorkerView &worker)
{
    std::uint32_t capacity = shape.tasks;
    if (shape.accelerators > 0) {
        capacity = std::min(capacity, countOf(worker.usable) / shape.accelerators);
    }
    if (shape.processors > 0) {
        capacity = std::min(capacity, worker.processors / shape.processors);
    }
    if (shape.memoryMegabytes > 0) {
        capacity = std::min(capacity, worker.memoryMegabytes / shape.memoryMegabytes);
    }
    return capacity;
}

struct Candidate {
    std::uint32_t worker = 0;
    std::uint32_t capacity = 0;
    double cost = 0;
};

struct GroupPlacement {
    std::vector<Candidate> chosen;
    double cost = 0;
};

/// Returns for each worker the number of usable accelerators in its rack.
std::vector<std::uint32_t> usableByRack(std::span<const WorkerView> workers)
{
    std::vector<std::uint32_t> usable(workers.size(), 0);
    for (std::size_t first = 0; first < workers.size();) {
        const std::size_t end = rackEnd(workers, first);
        std::uint32_t total = 0;
        for (const WorkerView &worker : workers.subspan(first, end - first)) {
            total += countOf(worker.usable);
        }
        std::fill(usable.begin() + static_cast<std::ptrdiff_t>(first), usable.begin() + static_cast<std::ptrdiff_t>(end), total);
        first = end;
    }
    return usable;
}

double workerCost(const GangShape &shape, const WorkerView &worker, std::uint32_t tasks)
{
    const std::uint32_t taken = tasks * shape.accelerators;
    const std::uint32_t preferred = std::min(taken, countOf(worker.preferred));
    const auto leftover = static_cast<double>(countOf(worker.usable) - taken);
    return leftover - preferred * preferredBonus;
}

/// Chooses workers within one adjacency group; `first` is the index of its first worker.
std::optional<GroupPlacement> placeInGroup(const GangShape &shape, std::span<const WorkerView> group, std::uint32_t first,
                                           std::span<const std::uint32_t> rackUsable, PlacementOrder order)
{
    std::vector<Candidate> candidates;
    std::uint32_t total = 0;
    for (std::uint32_t index = 0; index < group.size(); ++index) {
        const std::uint32_t capacity = taskCapacity(shape, group[index]);
        if (capacity > 0) {
            // Prefers the fullest rack, so that other racks stay free for gangs that need a whole one.
            const double cost = workerCost(shape, group[index], capacity) + rackWeight * rackUsable[first + index];
            candidates.push_back({first + index, capacity, cost});
            total += capacity;
        }
    }
    if (total < shape.tasks) {
        return std::nullopt;
    }
    if (order == PlacementOrder::BestFit) {
        std::ranges::stable_sort(candidates, {}, &Candidate::cost);
    }
    GroupPlacement placement;
    std::uint32_t missing = shape.tasks;
    for (Candidate &candidate : candidates) {
        if (missing == 0) {
            break;
        }
        candidate.capacity = std::min(candidate.capacity, missing);
        missing -= candidate.capacity;
        placement.cost
            += workerCost(shape, group[candidate.worker - first], candidate.capacity) + rackWeight * rackUsable[candidate.worker];
        placement.chosen.push_back(candidate);
    }
    return placement;
}

AcceleratorMask takeAccelerators(const WorkerView &worker, AcceleratorMask taken, std::uint32_t count)
{
    const AcceleratorMask free = worker.usable & ~taken;
    const AcceleratorMask preferred = free & worker.preferred;
    const std::uint32_t fromPreferred = std::min(count, countOf(preferred));
    AcceleratorMask mask = lowestAccelerators(preferred, fromPreferred);
    mask |= lowestAccelerators(free & ~mask & ~preferred, count - fromPreferred);
    BANYANLOCK_ASSERT(countOf(mask) == count);
    return mask;
}

GangPlacement assignAccelerators(const GangShape &shape, std::span<const WorkerView> workers, const GroupPlacement &group)
{
    GangPlacement placement;
    placement.reserve(shape.tasks);
    for (const Candidate &candidate : group.chosen) {
        AcceleratorMask taken = 0;
        for (std::uint32_t task = 0; task < candidate.capacity; ++task) {
            const AcceleratorMask mask = takeAccelerators(workers[candidate.worker], taken, shape.accelerators);
            taken |= mask;
            placement.push_back({candidate.worker, mask});
        }
    }
    BANYANLOCK_ASSERT(placement.size() == shape.tasks);
    return placement;
}

/// Returns the index after the last worker of the adjacency group that starts at `first`.
std::size_t groupEnd(std::span<const WorkerView> workers, std::size_t first, Adjacency adjacency)
{
    if (adjacency == Adjacency::FailureDomain) {
        return workers.size();
    }
    if (adjacency == Adjacency::Worker) {
        return first + 1;
    }
    return rackEnd(workers, first);
}

} // namespace

std::optional<GangPlacement> GangPlacer::place(const GangShape &shape, std::span<const WorkerView> workers) const
{
    const std::vector<std::uint32_t> rackUsable = usableByRack(workers);
    std::optional<GroupPlacement> best;
    for (std::size_t first = 0; first < workers.size();) {
        const std::size_t end = groupEnd(workers, first, shape.adjacency);
        const auto group = workers.subspan(first, end - first);
        std::optional<GroupPlacement> placement = placeInGroup(shape, group, static_cast<std::uint32_t>(first), rackUsable, m_order);
        first = end;
        if (placement && (!best || placement->cost < best->cost)) {
            best = std::move(placement);
            if (m_order == PlacementOrder::FirstFit) {
                break;
            }
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return assignAccelerators(shape, workers, *best);
}

} // namespace banyanlock
