#pragma once

#include "interference/KindTable.h"
#include "interference/PairRegression.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanlock
{

/// A pair of kinds that should not share a worker.
struct HarmfulPair {
    std::uint32_t kind = 0; ///< Kind that is slowed.
    std::uint32_t neighbour = 0; ///< Kind that slows it.
    PairEstimate estimate; ///< What is known.
};

/// Estimates how much tasks of one kind are slowed by tasks of another kind on the same worker.
class InterferenceModel
{
public:
    /// Slowdowns up to this one do no harm: a worse place can cost more.
    static constexpr double harmfulSlowdown = 1.1;
    /// Deviations between an estimate and its lower bound. Runs share workers, so that their errors are not independent.
    static constexpr double boundDeviations = 4.0;
    /// Runs beside a neighbour that a harmful pair needs; fewer could be the runs of one step.
    static constexpr double minRuns = 20.0;
    /// Maximum size of the record, in bytes.
    static constexpr std::size_t maxRecordBytes = 4096;
    /// Maximum number of steps whose runs are compared; the least recently used one is dropped.
    static constexpr std::size_t maxSteps = 2048;

    InterferenceModel() = default;
    /// Moves a model.
    InterferenceModel(InterferenceModel &&) = default;
    /// Moves a model.
    /// @return Reference to this object.
    InterferenceModel &operator=(InterferenceModel &&) = default;
    InterferenceModel(const InterferenceModel &) = delete; // steps hold iterators into the list of their uses
    InterferenceModel &operator=(const InterferenceModel &) = delete;

    /// Finds or adds a kind. If that replaces another kind, all that is known of the other one is dropped.
    /// @param kind The kind.
    /// @return Its number.
    std::uint32_t kindOf(const TaskKind &kind);

    /// @param number Number of a kind.
    /// @return The kind; null if it was replaced. Valid until the next call of `kindOf`.
    const TaskKind *findKind(std::uint32_t number) const;

    /// Adds a run that succeeded, started from the beginning, was not paced and ran near its data. Others are tolerated if they are few.
    /// @param kind Number of its kind; a run of a replaced kind is ignored.
    /// @param step Id of its step. Only runs of one step are compared, since a forecast may be wrong for a whole step. The first run of a
    ///     step says nothing.
    /// @param worker Id of its worker. Runs on a worker that is slow, or away from their data, also meet their neighbours for longer.
    /// @param logSlowdown Logarithm of actual over forecast run time. The caller may correct it for the worker's own speed; the model
    ///     estimates what remains. It is ignored if it is not finite.
    /// @param beside Neighbours of the run.
    void addRun(std::uint32_t kind, std::uint64_t step, std::uint64_t worker, double logSlowdown, std::span<const Neighbour> beside);

    /// @param kind Number of a kind.
    /// @param neighbour Number of the neighbour's kind.
    /// @return What is known of the pair, also without confidence.
    PairEstimate estimate(std::uint32_t kind, std::uint32_t neighbour) const;

    /// @param kind Number of a kind.
    /// @param neighbour Number of the neighbour's kind.
    /// @return Whether the lower bound of the slowdown exceeds `harmfulSlowdown`.
    bool isHarmful(std::uint32_t kind, std::uint32_t neighbour) const;

    /// @param kind Number of a kind.
    /// @param neighbour Number of the neighbour's kind.
    /// @return Factor by which one neighbour makes a run longer; 1 unless the pair is harmful.
    double slowdownOf(std::uint32_t kind, std::uint32_t neighbour) const;

    /// Rates a worker for a task. A penalty is a reason to prefer another worker, never to wait.
    /// @param kind Number of the task's kind.
    /// @param kindsOnWorker Kinds of the tasks on the worker, one entry a task.
    /// @return Sum of the logarithms of the slowdowns of the task and of the tasks on the worker; zero if no pair is harmful.
    double penaltyOf(std::uint32_t kind, std::span<const std::uint32_t> kindsOnWorker) const;

    /// @return All harmful pairs, ordered by number of kind and neighbour.
    std::vector<HarmfulPair> harmfulPairs() const;

    /// @return Record of at most `maxRecordBytes`: harmful pairs first, then those with most runs.
    std::string encode() const;

    /// @param text Record of an earlier owner; it may come from any writer.
    /// @return A model that knows the pairs of the record; an empty one if the record is malformed.
    static InterferenceModel decode(const std::string &text);

private:
    struct Step {
        std::uint32_t kind = 0;
        std::uint32_t runs = 0;
        double centre = 0.0; // of the logarithms, less what the exposures explain
        std::array<double, 5> first{}; // `centre` is their median until there are more
        std::vector<Neighbour> exposures; // means
        std::list<std::uint64_t>::iterator use;
    };

    struct WorkerEffect {
        std::uint32_t runs = 0;
        double value = 0.0; // logarithm of the slowdown of all runs on the worker
    };

    Step &stepOf(std::uint64_t id, std::uint32_t kind);
    static std::vector<Neighbour> centred(const Step &step, std::span<const Neighbour> beside);
    static void addExposures(Step &step, std::span<const Neighbour> beside);
    static void addCentre(Step &step, double value, double clippedResidual);
    void dropKind(std::uint32_t kind);

    KindTable m_kinds;
    std::unordered_map<std::uint32_t, PairRegression> m_regressions; // by kind
    std::unordered_map<std::uint64_t, Step> m_steps;
    std::list<std::uint64_t> m_stepUses; // most recent first
    std::unordered_map<std::uint64_t, WorkerEffect> m_workers;
};

} // namespace banyanlock
