#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanlock
{

/// Neighbours of one kind that a run had on its worker.
struct Neighbour {
    std::uint32_t kind = 0; ///< Number of the kind.
    double exposure = 0.0; ///< Time-weighted number of neighbours of the kind.
};

/// Records which tasks run together on each worker.
class CoRunLog
{
public:
    /// Maximum number of workers; runs on further ones are not recorded.
    static constexpr std::size_t maxWorkers = 16'384;
    /// Maximum number of runs on a worker; further ones are not recorded.
    static constexpr std::size_t maxRunsOnWorker = 64;
    /// Maximum number of kinds beside a run; further ones are not measured.
    static constexpr std::size_t maxKindsBeside = 16;

    /// Records the start of a run. A run that is already recorded on the worker stays as it is.
    /// @param worker Number of the worker.
    /// @param run Number of the run; unique on the worker.
    /// @param kind Number of its kind.
    /// @param now Current time.
    /// @param window Length of the part of the run, from its start, in which neighbours are measured: its forecast run time. Otherwise a
    ///     straggler would be measured beside tasks that came after its siblings had ended. Zero if the start of the run is unknown; then
    ///     it only counts as a neighbour.
    void start(std::uint64_t worker, std::uint64_t run, std::uint32_t kind, TimePoint now, Duration window);

    /// Records the end of a run.
    /// @param worker Number of the worker.
    /// @param run Number of the run.
    /// @param now Current time.
    /// @return Neighbours that the run had; nothing if the run was not recorded or not measured.
    std::optional<std::vector<Neighbour>> end(std::uint64_t worker, std::uint64_t run, TimePoint now);

    /// Drops the runs on a worker that was lost.
    /// @param worker Number of the worker.
    void dropWorker(std::uint64_t worker);

    /// @param worker Number of the worker.
    /// @return Kinds of the runs on it, one entry a run.
    std::vector<std::uint32_t> kindsOn(std::uint64_t worker) const;

private:
    struct Run {
        std::uint64_t number = 0;
        std::uint32_t kind = 0;
        TimePoint start{};
        TimePoint windowEnd{};
        std::vector<Neighbour> beside; // exposures in microseconds
    };
    struct Worker {
        TimePoint measuredUntil{};
        std::vector<Run> runs;
    };

    static void advance(Worker &worker, TimePoint now);

    std::unordered_map<std::uint64_t, Worker> m_workers;
};

} // namespace banyanlock
