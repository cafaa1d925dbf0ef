#include "pool/PlanCapacity.h"

#include "core/Assert.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

std::int64_t usableAccelerators(const Resources &free)
{
    return std::max<std::int64_t>(free.accelerators, 0);
}

Resources clampToZero(Resources resources)
{
    resources.processors = std::max<std::int64_t>(resources.processors, 0);
    resources.memory = std::max<std::int64_t>(resources.memory, 0);
    resources.accelerators = std::max<std::int64_t>(resources.accelerators, 0);
    return resources;
}

} // namespace

PlanCapacity::PlanCapacity(std::span<const PlanWorker> workers)
    : m_workers(workers)
    , m_rackOf(workers.size(), 0)
{
    m_free.reserve(workers.size());
    m_stopping.reserve(workers.size());
    m_usable.reserve(workers.size());
    for (std::uint32_t index = 0; index < workers.size(); ++index) {
        const PlanWorker &worker = workers[index];
        m_free.push_back(worker.free);
        m_stopping.push_back(worker.stopping);
        if (!worker.usable) {
            continue;
        }
        m_usable.push_back(index);
        const auto [rack, isNew] = m_rackNames.try_emplace(worker.rack, static_cast<std::uint32_t>(m_racks.size()));
        if (isNew) {
            m_racks.emplace_back();
            m_rackAccelerators.push_back(0);
        }
        m_racks[rack->second].push_back(index);
        m_rackOf[index] = rack->second;
        m_rackAccelerators[rack->second] += usableAccelerators(worker.free);
        ServicePool &pool = m_services[worker.service];
        pool.accelerators += usableAccelerators(worker.free);
        pool.ranked[static_cast<std::size_t>(classOf(worker))].insert(keyOf(index));
    }
}

std::span<const std::uint32_t> PlanCapacity::workersOfRack(std::string_view name) const
{
    const auto rack = m_rackNames.find(name);
    return rack == m_rackNames.end() ? std::span<const std::uint32_t>() : m_racks[rack->second];
}

bool PlanCapacity::serviceMayHold(std::string_view service, const Resources &demand, std::uint32_t tasks) const
{
    const auto pool = m_services.find(service);
    return pool != m_services.end() && pool->second.accelerators >= demand.accelerators * tasks;
}

void PlanCapacity::setFree(std::uint32_t index, const Resources &free)
{
    const PlanWorker &worker = m_workers[index];
    BANYANLOCK_ASSERT(worker.usable);
    ServicePool &pool = m_services.find(worker.service)->second;
    std::set<FitKey> &ranked = pool.ranked[static_cast<std::size_t>(classOf(worker))];
    auto node = ranked.extract(keyOf(index));
    const std::int64_t change = usableAccelerators(free) - usableAccelerators(m_free[index]);
    pool.accelerators += change;
    m_rackAccelerators[m_rackOf[index]] += change;
    m_free[index] = free;
    node.value() = keyOf(index);
    ranked.insert(std::move(node));
}

void PlanCapacity::take(std::uint32_t index, const Resources &demand)
{
    Resources free = m_free[index];
    setFree(index, free -= demand);
}

void PlanCapacity::giveBack(std::uint32_t index, const Resources &demand)
{
    setFree(index, m_free[index] + demand);
}

void PlanCapacity::addStopping(std::uint32_t index, const Resources &demand)
{
    m_stopping[index] += demand;
}

void PlanCapacity::reserve(std::uint32_t index, const Resources &demand)
{
    Resources total = m_free[index] + m_stopping[index];
    total -= demand;
    Resources free = m_free[index];
    free = clampToZero(free -= demand);
    m_stopping[index] = total;
    m_stopping[index] -= free;
    setFree(index, free);
}

} // namespace banyanlock
