#pragma once

#include "core/Time.h"
#include "graph/Resources.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace banyanlock
{

/// Runs with the same key are expected to have similar run times.
struct RunTimeKey {
    std::string queue; ///< Queue of the job.
    Resources demand; ///< Demand of each task.
    bool gang = false; ///< Whether the run is that of a gang.

    /// Orders by queue, demand and kind.
    bool operator<(const RunTimeKey &other) const;
};

/// Step of a job. Its units, and those of its later occurrences, do the same work.
struct StepId {
    std::string job; ///< Id of the job.
    std::uint32_t step = 0; ///< Index of the step.

    /// Orders by job and step.
    auto operator<=>(const StepId &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// When a model replaces declared run times.
enum class RunTimeUse : std::uint8_t {
    Never, ///< Declared run times are used as they are.
    WhenContradicted, ///< A key's declared run times are replaced once the ends of its runs have contradicted them.
    Always, ///< The forecast is used from the first run on.
};

/// Constants of the run-time model.
struct RunTimePolicy {
    RunTimeUse use = RunTimeUse::WhenContradicted; ///< When declared run times are replaced.
    std::uint32_t minSteps = 8; ///< Steps of a key that must have ended before it can contradict the declared times.
    double contradictionFactor
        = 1.4; ///< Typical error of declared times, as a factor, that contradicts them; times that are off by up to a half stay below.
    double stragglerFactor = 3.0; ///< Multiple of the forecast from which a run counts as a straggler, which says nothing of other runs.
    std::size_t maxKeys = 256; ///< Keys that are remembered.
    std::size_t maxSteps = 4096; ///< Steps that are remembered; the oldest are forgotten first.
};

/// Expected run time of a unit.
struct RunTimeForecast {
    Duration expected{}; ///< Median of the forecast.
    double spread = 0.0; ///< Standard deviation of the logarithm of the run time.
    bool learned = false; ///< It rests on the ends of runs, not only on the declared time.
};

/// Learns run times from the ends of runs, with the declared run time as the prior.
///
/// It answers loads whose declared run times are far off, and in which a few runs take many times as long as others of their kind. It
/// keeps no state beyond its process: a new owner starts with the declared times.
class RunTimeModel
{
public:
    /// @param policy Constants.
    explicit RunTimeModel(RunTimePolicy policy = {})
        : m_policy(policy)
    {
    }

    /// Adds a run that succeeded. It must have started from the beginning and near its data.
    /// @param key Key of the run.
    /// @param step Step of the run.
    /// @param declared Declared run time; zero if none was declared.
    /// @param actual Time from the start to the end.
    void addRun(const RunTimeKey &key, const StepId &step, Duration declared, Duration actual);

    /// Forecasts the run time of a unit that waits.
    /// @param key Key of the unit.
    /// @param step Step of the unit.
    /// @param declared Declared run time; zero if none was declared.
    /// @return The forecast; the declared time if nothing has been learned or it is not in use.
    RunTimeForecast forecast(const RunTimeKey &key, const StepId &step, Duration declared) const;

    /// Forecasts how long a run takes until it ends.
    /// @param forecast Forecast of its run time.
    /// @param elapsed Time for which it has run.
    /// @param percent Progress that its worker has reported, 0 to 100; zero if unknown.
    /// @return Expected remaining time; more than zero.
    static Duration remaining(const RunTimeForecast &forecast, Duration elapsed, std::uint32_t percent);

    /// @param key Key of a run.
    /// @param step Step of the run.
    /// @param declared Declared run time; zero if none was declared.
    /// @param actual Time that the run has taken.
    /// @return Whether it took so long that its worker may be slow. Stragglers, which take many times as long on any worker, do not count
    /// once the declared times have been contradicted.
    bool isSlow(const RunTimeKey &key, const StepId &step, Duration declared, Duration actual) const;

    /// @return Number of keys whose declared run times have been replaced.
    std::size_t contradictedKeys() const;

private:
    /// Mean and variance of a logarithm; recent values weigh more.
    struct LogStatistics {
        double mean = 0.0;
        double variance = 0.0;
        double count = 0.0;

        void add(double value);
    };

    /// What is known of the runs of a key.
    struct KeyModel {
        LogStatistics runTime;
        LogStatistics error; // of the declared times: actual to declared
        std::deque<double> absoluteErrors; // of the newest steps, as logarithms
        std::uint32_t steps = 0;
        std::uint64_t lastUse = 0;
        bool contradicted = false;
    };

    /// What is known of the runs of a step.
    struct StepModel {
        LogStatistics runTime;
    };

    bool isInUse(const KeyModel &key) const;
    void addToKey(KeyModel &key, Duration declared, double logActual) const;
    static double combine(const KeyModel &key, Duration declared, double &variance);
    void evict();

    RunTimePolicy m_policy;
    std::map<RunTimeKey, KeyModel> m_keys;
    std::map<StepId, StepModel> m_steps;
    std::deque<StepId> m_stepOrder; // oldest first
    std::uint64_t m_uses = 0;
};

} // namespace banyanlock
