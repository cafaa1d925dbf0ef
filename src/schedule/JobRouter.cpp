#include "schedule/JobRouter.h"

#include "placement/GangPlacer.h"

#include <bit>
#include <vector>

namespace banyanlock
{

namespace
{

constexpr std::int64_t burstHeadroomAccelerators = 16; // kept free in a cell that is filled with small jobs, to absorb bursts

/// Single-task jobs go to the fullest cell that still has enough capacity, so that other cells keep whole racks free. Gangs of several
/// tasks go to the cell with the most free capacity.
bool isBetterCapacity(const JobSpec &spec, std::int64_t freeCapacity, std::int64_t best)
{
    const auto needed = static_cast<std::int64_t>(totalAccelerators(spec)) + burstHeadroomAccelerators;
    const bool small = spec.shape.tasks == 1;
    if (!small || (freeCapacity < needed && best < needed)) {
        return freeCapacity > best;
    }
    return freeCapacity >= needed && (best < needed || freeCapacity < best);
}

} // namespace

bool JobRouter::fitsWhenEmpty(const JobSpec &spec, std::string_view cell) const
{
    std::vector<WorkerView> views;
    const auto workers = m_fleet.workersOf(cell);
    std::uint32_t rack = 0;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const WorkerInfo &worker = workers[index];
        rack += index > 0 && workers[index - 1].rack != worker.rack ? 1 : 0;
        views.push_back({rack, allAccelerators(worker), 0, worker.accelerators, worker.processors, worker.memoryMegabytes});
    }
    return GangPlacer(PlacementOrder::FirstFit).place(spec.shape, views).has_value();
}

std::int64_t JobRouter::freeCapacity(const JobSpec &spec, std::string_view cell) const
{
    std::int64_t total = 0;
    const auto workers = m_fleet.workersOf(cell);
    const auto first = static_cast<std::uint32_t>(workers.data() - m_fleet.workers().data());
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        // Reservations of the job's own workspace count twice, since the job is guaranteed to get them.
        total += workers[index].accelerators;
        total += std::popcount(m_plan.reservedFor(first + index, spec.workspace));
    }
    return total - m_jobs.demandedAccelerators(cell);
}

std::optional<std::string> JobRouter::chooseCell(const JobSpec &spec, std::string_view avoided) const
{
    std::optional<std::string> best;
    bool bestIsOut = true;
    std::int64_t bestCapacity = 0;
    for (const std::string &cell : m_fleet.failureDomains()) {
        if (cell == avoided || !fitsWhenEmpty(spec, cell)) {
            continue;
        }
        const bool out = m_configuration.isOut(cell);
        const std::int64_t cellCapacity = freeCapacity(spec, cell);
        const bool better = !best || (bestIsOut && !out) || (bestIsOut == out && isBetterCapacity(spec, cellCapacity, bestCapacity));
        if (better) {
            best = cell;
            bestIsOut = out;
            bestCapacity = cellCapacity;
        }
    }
    return best;
}

std::optional<std::string> JobRouter::chooseCellWithCapacity(const JobSpec &spec, std::string_view current) const
{
    const std::optional<std::string> cell = chooseCell(spec, current);
    const bool suitable = cell && !m_configuration.isOut(*cell) && freeCapacity(spec, *cell) >= totalAccelerators(spec);
    return suitable ? cell : std::nullopt;
}

} // namespace banyanlock
