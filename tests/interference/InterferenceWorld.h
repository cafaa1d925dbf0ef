#pragma once

#include "core/Random.h"
#include "interference/CoRunLog.h"
#include "interference/InterferenceModel.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace banyanlock
{

/// A true slowdown, which decisions don't see.
struct TruePair {
    std::uint32_t kind = 0; ///< Kind that is slowed.
    std::uint32_t neighbour = 0; ///< Kind that slows it.
    double slowdown = 1.0; ///< Factor.
};

/// What happens in an interference world.
struct WorldTerms {
    std::vector<TruePair> pairs; ///< True slowdowns.
    bool perNeighbour = true; ///< Each neighbour slows a run down once more; otherwise only the first one does.
    double straggler = 0.0; ///< Part of runs that take 7 times as long.
    double slowWorker = 1.0; ///< Factor of run times on every third worker, which the caller doesn't correct for.
    double remote = 0.0; ///< Part of runs that take 3 times as long because they are away from their data.
    bool remoteByWorker = false; ///< Such runs are all on the last workers.
    double resumed = 0.0; ///< Part of runs that take 0.2 to 0.9 of the time because they start from a checkpoint.
    double paced = 0.0; ///< Part of runs that take twice as long because they were paced down.
    double forecastError = 1.0; ///< Forecasts of a step are wrong by up to this factor in either direction.
    double load = 0.7; ///< Part of the accelerators that are asked for.
    bool companions = false; ///< Tasks of kind 4 go to workers that run kind 2, so that both are met together.
    bool followPenalty = false; ///< Places tasks by `penaltyOf`; otherwise at random.
};

/// A pool of 60 workers with 8 accelerators and tasks of 6 kinds, in virtual time.
class InterferenceWorld
{
public:
    static constexpr std::uint32_t workers = 60;
    static constexpr std::uint32_t kinds = 6;

    InterferenceWorld(const WorldTerms &terms, std::uint64_t seed);

    /// Runs until that many more runs have ended.
    void run(std::uint32_t runs);

    /// Replaces the owner: a new one has the record only, and no starts of running tasks.
    void changeOwner();

    /// @return Harmful pairs that the model knows, as indexes of kinds.
    std::vector<TruePair> found() const;

    /// @return Mean slowdown by neighbours of the runs that ended in the latest call of `run`.
    double meanSlowdown() const
    {
        return m_slowdowns / m_ended;
    }

    /// @return Whether a task was left waiting although a worker had room.
    bool leftUnplaced() const
    {
        return m_leftUnplaced;
    }

    InterferenceModel model;
    double virtualSeconds = 0.0;

private:
    struct Waiting {
        std::uint32_t kind = 0;
        std::uint64_t step = 0;
        double seconds = 0.0;
        double forecast = 0.0;
    };
    struct Running {
        Waiting task;
        std::uint64_t number = 0;
        double start = 0.0;
        double work = 0.0; // seconds that it takes alone
        double left = 0.0;
    };

    TimePoint now() const;
    bool runsOn(std::uint32_t worker, std::uint32_t kind) const;
    void addSteps();
    void placeWaiting();
    bool place(const Waiting &task);
    void start(const Waiting &task, std::uint32_t worker);
    void advance();
    double speedOf(const std::vector<Running> &runs, const Running &run) const;
    void finish(std::uint32_t worker, const Running &run);
    TaskKind kindAt(std::uint32_t index) const;

    WorldTerms m_terms;
    Random m_random;
    CoRunLog m_log;
    std::vector<std::uint32_t> m_numbers; // of the kinds in the model
    std::vector<std::vector<Running>> m_workers;
    std::vector<std::uint32_t> m_free;
    std::deque<Waiting> m_waiting;
    std::uint64_t m_nextRun = 1;
    std::uint64_t m_nextStep = 1;
    std::uint32_t m_asked = 0; // accelerators of waiting and running tasks
    std::uint32_t m_ended = 0;
    double m_slowdowns = 0.0;
    bool m_leftUnplaced = false;
};

} // namespace banyanlock
