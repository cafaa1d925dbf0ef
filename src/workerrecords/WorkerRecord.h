#pragma once

#include "core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// How far a worker can be relied on to complete what it starts.
enum class WorkerStanding : std::uint8_t {
    Proven, ///< It has completed a run in this life and has not failed since.
    Untested, ///< There is no evidence about this life.
    Doubtful, ///< It has recently failed, refused or lost a run, is on trial, or restarts often: other workers are preferred.
    Barred, ///< It has failed several units: no run starts on it.
};

/// Names of the standings in logs, in the order of the enumeration.
inline constexpr std::array<std::string_view, 4> workerStandingNames{"proven", "untested", "doubtful", "barred"};

/// @param standing Standing to look up.
/// @return The name that logs use.
constexpr std::string_view workerStandingName(WorkerStanding standing)
{
    return workerStandingNames[static_cast<std::size_t>(standing)];
}

/// Periods of worker records.
struct RecordTiming {
    Duration doubtPeriod = std::chrono::milliseconds(6000); ///< Time after which a failure, refusal or loss no longer makes a
                                                            ///< worker Doubtful; most worker faults last no longer.
    Duration barPeriod = std::chrono::milliseconds(5000); ///< Length of the first bar; it doubles with each repeat.
    Duration maxBarPeriod = std::chrono::milliseconds(20000); ///< Maximum length of a bar. A bar that begins within this time after the
                                                              ///< end of the previous one is a repeat.
    Duration shortLife = std::chrono::milliseconds(5000); ///< A life shorter than this counts as flapping. Flapping workers restart every
                                                          ///< 1.4 s; the owner sees a change up to 2 s late.
};

/// A run that ended on a worker.
struct RecordedRun {
    std::uint64_t unit = 0; ///< Identifies the unit (a gang, or a single task) across its runs.
    std::uint64_t task = 0; ///< Identifies the task across its runs; differs among the members of a gang.
    TimePoint startedAt{}; ///< When the run was started.
};

/// Evidence about one worker of the pool. Evidence belongs to a life (incarnation) of the worker; only the length of the previous life is
/// remembered beyond it.
///
/// A success clears only evidence from runs that started no later than the successful one: a worker that fails all it starts still
/// completes what it started before.
class WorkerRecord
{
public:
    /// Number of different units that must fail without a success between before a worker is barred; one failure may be the task's fault.
    static constexpr std::size_t barringUnits = 2;

    /// @param timing Periods.
    explicit WorkerRecord(RecordTiming timing = RecordTiming());

    /// Discards the evidence, since a new life of the worker has begun.
    /// @param now Current time.
    /// @param startKnown Whether the life has just begun; false for the first life that an owner sees.
    void beginLife(TimePoint now, bool startKnown);

    /// Records a run that succeeded.
    /// @param startedAt When the run was started.
    void addSuccess(TimePoint startedAt);

    /// Records a run that failed.
    /// @param run The run.
    /// @param now Current time.
    void addFailure(const RecordedRun &run, TimePoint now);

    /// Records a start that the worker refused or did not carry out.
    /// @param now Current time.
    void addRefusal(TimePoint now);

    /// Records a run that was lost because the worker did not answer.
    /// @param now Current time.
    void addLostRun(TimePoint now);

    /// Records a run that succeeded but took far longer than expected. Other workers are preferred for the doubt period, but the standing
    /// stays: such a run costs no attempt, and most are wrong declarations or stragglers.
    /// @param startedAt When the run was started.
    /// @param now Current time.
    void addSlowRun(TimePoint startedAt, TimePoint now);

    /// Removes the failures of a task whose own fault they were. A bar that rests on them ends.
    /// @param task The task.
    /// @param now Current time.
    /// @return Whether there was such a failure.
    bool takeBackFailures(std::uint64_t task, TimePoint now);

    /// @param except Unit to leave out; none to count all.
    /// @return Number of units that failed on the worker without a success since.
    std::size_t failedUnits(std::optional<std::uint64_t> except = std::nullopt) const;

    /// @param task A task.
    /// @return Whether the worker is barred because this task failed in the trial after an earlier bar.
    bool failedTrial(std::uint64_t task) const
    {
        return m_barredUntil && m_repeats > 0 && m_barringTask == task;
    }

    /// @param now Current time.
    /// @return The standing by the worker's own evidence; `WorkerRecords::standing` relates it to the rest of the pool.
    WorkerStanding standing(TimePoint now) const;

    /// @param now Current time.
    /// @return Whether a run was far slower than expected within the doubt period, and no run that started later has succeeded in time.
    bool wasSlow(TimePoint now) const
    {
        return now < m_slowUntil;
    }

    /// @param now Current time.
    /// @return Start of the trial that follows a bar, during which the worker runs one unit at a time; none if it is not on trial.
    std::optional<TimePoint> trialSince(TimePoint now) const;

    /// @param otherStartedAt When another unit that still runs on the worker was started.
    /// @param now Current time.
    /// @return Whether a unit may start beside it. During a trial it may not until the other one has run for the doubt period, so that a
    /// long run does not keep the worker's remaining resources idle.
    bool mayStartBeside(TimePoint otherStartedAt, TimePoint now) const;

private:
    struct Failure {
        RecordedRun run;
        TimePoint at;
        bool counts = true; // towards a bar; false if a run that started no earlier has succeeded
    };

    void bar(std::uint64_t task, TimePoint now);
    void endBar();

    RecordTiming m_timing;
    std::optional<TimePoint> m_lifeBegan; // none if unknown
    bool m_previousLifeShort = false;
    bool m_succeeded = false; // in this life
    TimePoint m_latestGoodStart{}; // start of the latest started run that succeeded
    std::vector<Failure> m_failures; // not cleared by a success
    TimePoint m_doubtUntil{}; // because of refusals and losses
    TimePoint m_doubtfulStart{}; // a success of a run that started at this time or later clears that doubt
    TimePoint m_slowUntil{};
    TimePoint m_slowStart{}; // start of the latest slow run
    std::optional<TimePoint> m_barredUntil; // set until the trial after the bar is passed
    TimePoint m_lastBarEnd{};
    std::uint64_t m_barringTask = 0; // task whose failure began the bar
    unsigned m_repeats = 0; // of the bar
};

} // namespace banyanlock
