#pragma once

#include "pool/PlanTypes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Resources of the workers while a plan is made, indexed so that finding a worker does not scan the pool.
class PlanCapacity
{
public:
    /// @param workers All workers of the pool; they must outlive this object.
    explicit PlanCapacity(std::span<const PlanWorker> workers);

    /// @return Number of workers.
    std::size_t size() const
    {
        return m_workers.size();
    }

    /// @param index Index of a worker.
    /// @return The worker; its resources are those before planning.
    const PlanWorker &worker(std::uint32_t index) const
    {
        return m_workers[index];
    }

    /// @param index Index of a worker.
    /// @return Resources that are still free.
    const Resources &free(std::uint32_t index) const
    {
        return m_free[index];
    }

    /// @param index Index of a worker.
    /// @return Resources that become free soon and are not reserved for a unit.
    const Resources &stopping(std::uint32_t index) const
    {
        return m_stopping[index];
    }

    /// @return Indexes of the usable workers of each rack; racks in the order of their first worker.
    const std::vector<std::vector<std::uint32_t>> &racks() const
    {
        return m_racks;
    }

    /// @param name Name of a rack.
    /// @return Indexes of its usable workers.
    std::span<const std::uint32_t> workersOfRack(std::string_view name) const;

    /// @return Indexes of all usable workers.
    std::span<const std::uint32_t> usableWorkers() const
    {
        return m_usable;
    }

    /// @param rack Index of a rack.
    /// @param demand Demand of each task.
    /// @param tasks Number of tasks.
    /// @return False if the rack can't hold the tasks because its free accelerators do not suffice.
    bool rackMayHold(std::size_t rack, const Resources &demand, std::uint32_t tasks) const
    {
        return m_rackAccelerators[rack] >= demand.accelerators * tasks;
    }

    /// @param service A service.
    /// @param demand Demand of each task.
    /// @param tasks Number of tasks.
    /// @return False if the service's workers can't hold the tasks because their free accelerators do not suffice.
    bool serviceMayHold(std::string_view service, const Resources &demand, std::uint32_t tasks) const;

    /// Finds the worker that a task leaves with the fewest free accelerators, then the fewest free processors. Suspect workers come last.
    /// @param service Service of the task.
    /// @param demand Demand of the task.
    /// @param urgent Whether kept and fast workers are tried before slow ones; else slow ones first, so that the others remain free.
    /// @param isAcceptable Whether the task may run on a worker, by index.
    /// @return Index of the worker, or nothing if the task fits nowhere.
    template <typename Predicate>
    std::optional<std::uint32_t> findBestFit(std::string_view service, const Resources &demand, bool urgent, Predicate isAcceptable) const
    {
        const auto pool = m_services.find(service);
        if (pool == m_services.end()) {
            return std::nullopt;
        }
        using enum WorkerClass;
        static constexpr std::array urgentOrder{Kept, Fast, Slow, Suspect};
        static constexpr std::array otherOrder{Slow, Fast, Kept, Suspect};
        for (const WorkerClass workerClass : urgent ? urgentOrder : otherOrder) {
            const std::set<FitKey> &ranked = pool->second.ranked[static_cast<std::size_t>(workerClass)];
            for (auto entry = ranked.lower_bound({demand.accelerators, demand.processors, 0}); entry != ranked.end(); ++entry) {
                if (m_free[entry->worker].fits(demand) && isAcceptable(entry->worker)) {
                    return entry->worker;
                }
            }
        }
        return std::nullopt;
    }

    /// Takes resources for a task.
    /// @param index Index of a usable worker.
    /// @param demand Demand of the task.
    void take(std::uint32_t index, const Resources &demand);

    /// Reverts `take`.
    /// @param index Index of a usable worker.
    /// @param demand Demand of the task.
    void giveBack(std::uint32_t index, const Resources &demand);

    /// Adds the resources of a task that will be stopped.
    /// @param index Index of a worker.
    /// @param demand Demand of the task.
    void addStopping(std::uint32_t index, const Resources &demand);

    /// Reserves free and stopping resources for a task that starts when they suffice.
    /// @param index Index of a usable worker.
    /// @param demand Demand of the task.
    void reserve(std::uint32_t index, const Resources &demand);

private:
    /// Order in which workers are tried.
    struct FitKey {
        std::int64_t accelerators = 0;
        std::int64_t processors = 0;
        std::uint32_t worker = 0;

        auto operator<=>(const FitKey &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
    };

    /// Workers of a class are alike but for their free resources.
    enum class WorkerClass : std::uint8_t {
        Kept,
        Fast,
        Slow,
        Suspect,
        Count,
    };

    static WorkerClass classOf(const PlanWorker &worker)
    {
        using enum WorkerClass;
        return worker.suspect ? Suspect : worker.kept ? Kept : worker.slow ? Slow : Fast;
    }

    struct ServicePool {
        std::array<std::set<FitKey>, static_cast<std::size_t>(WorkerClass::Count)> ranked; // by class
        std::int64_t accelerators = 0; // free ones, without those of workers that are short of them
    };

    FitKey keyOf(std::uint32_t index) const
    {
        return {m_free[index].accelerators, m_free[index].processors, index};
    }

    void setFree(std::uint32_t index, const Resources &free);

    std::span<const PlanWorker> m_workers;
    std::vector<Resources> m_free; // by worker
    std::vector<Resources> m_stopping; // by worker
    std::vector<std::uint32_t> m_usable;
    std::vector<std::vector<std::uint32_t>> m_racks;
    std::vector<std::int64_t> m_rackAccelerators; // by rack: free ones, without those of workers that are short of them
    std::vector<std::uint32_t> m_rackOf; // by worker, if usable
    std::unordered_map<std::string_view, std::uint32_t> m_rackNames;
    std::unordered_map<std::string_view, ServicePool> m_services;
};

} // namespace banyanlock
