#pragma once

#include "ScheduleWorld.h"
#include "support/Freezable.h"

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace banyanlock
{

/// Simulated entry process.
struct ScheduleWorld::EntryProcess : Freezable {
    int index = 0;
    std::uint64_t incarnation = 0;
    TimerService timers;
    std::unique_ptr<Configuration> configuration;
    std::unique_ptr<ReservationPlan> plan;
    JobTable jobs;
    std::vector<std::unique_ptr<Cell>> cells;
    std::uint64_t version = 0;
    TimePoint lastPoll{};
    TimePoint readsStaleUntil{};
    TimePoint storePartitionedUntil{};
    ScanResult staleScan;
};

/// Simulated worker process.
struct ScheduleWorld::WorkerProcess : Freezable {
    int index = 0;
    std::unique_ptr<WorkerModel> model;
    Duration clockOffset{};
    TimePoint partitionedUntil{};
    std::set<TaskKey> seenTasks;
    std::uint64_t highestEpoch = 0;
};

} // namespace banyanlock
