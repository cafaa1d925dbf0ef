#pragma once

#include "graph/GraphSpec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanlock
{

/// Names one unit of a job: a gang, or a task that runs by itself.
struct UnitKey {
    std::uint32_t occurrence = 0; ///< Repetition, from zero.
    std::uint32_t step = 0; ///< Step, from zero.
    std::uint32_t index = 0; ///< Task of the step; zero for a gang.

    /// Orders by occurrence, step and index.
    auto operator<=>(const UnitKey &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// One life of a worker. A worker that starts anew under its old id has another birth.
struct WorkerIncarnation {
    std::string worker; ///< Id of the worker.
    std::int64_t startedUnixMilliseconds = 0; ///< When this life began.

    /// Compares both.
    auto operator<=>(const WorkerIncarnation &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// Where one task of a unit runs.
struct TaskPlace {
    WorkerIncarnation incarnation; ///< Life of the worker.
    std::string agent; ///< RPC address of the worker's agent.

    /// Compares both.
    auto operator<=>(const TaskPlace &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// What is recorded of a unit.
struct UnitProgress {
    bool succeeded = false; ///< All its tasks have succeeded.
    std::uint32_t failures = 0; ///< Runs that ended with a failure.
    std::uint32_t run = 0; ///< Number of the newest run; zero before the first.
    std::string checkpoint; ///< Where the next run goes on; empty for the start.
    std::vector<TaskPlace> places; ///< Workers of the run under way, one a task; empty when none is.
};

/// State of a job as callers see it.
enum class GraphState : std::uint8_t {
    Queued, ///< No task has started.
    Running, ///< Some task has started.
    Completed, ///< All tasks have succeeded.
    Failed, ///< A unit has failed too often.
    Cancelled, ///< The caller has cancelled it.
};

/// @param state State to look at.
/// @return Whether nothing is left to do.
inline bool hasEnded(GraphState state)
{
    return state != GraphState::Queued && state != GraphState::Running;
}

/// @param state State to name.
/// @return Its name, for rows and logs.
const char *graphStateName(GraphState state);

/// What is recorded of a job's progress; one row.
struct GraphProgress {
    GraphState state = GraphState::Queued; ///< State; a cancellation is a row of its own.
    std::uint32_t finishedOccurrences = 0; ///< Occurrences below this number have succeeded, and their units are dropped.
    std::map<UnitKey, UnitProgress> units; ///< Units that have been started.
};

/// A job that was accepted.
struct GraphRecord {
    std::string id; ///< Unique id of the job.
    GraphSpec spec; ///< What was asked for.
    QueueTerms terms; ///< Terms of its queue.
    std::int64_t acceptedUnixMilliseconds = 0; ///< When it was accepted, by the entry's clock.
    GraphProgress progress; ///< How far it is.
    GraphState recordedState = GraphState::Queued; ///< State in the progress row; the owner's memory may be ahead of it.
    bool cancelled = false; ///< A cancellation is recorded.
    std::uint64_t specVersion = 0; ///< Version of the row that holds what was asked for; zero until it was read.
    std::uint64_t progressVersion = 0; ///< Version of the progress row; zero until it was read.

    /// @return Whether both rows have been read.
    bool isComplete() const
    {
        return specVersion != 0 && progressVersion != 0;
    }

    /// @return State for callers: only what is recorded, so that no failure can take it back.
    GraphState publicState() const
    {
        return cancelled && !hasEnded(recordedState) ? GraphState::Cancelled : recordedState;
    }
};

} // namespace banyanlock
