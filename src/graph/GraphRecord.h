#pragma once

#include "graph/GraphSpec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanlock
{

/// Identifies a unit of a job: a gang, or a task that is not part of a gang.
struct UnitKey {
    std::uint32_t occurrence = 0; ///< Occurrence of a repeated job, from zero.
    std::uint32_t step = 0; ///< Index of the step, from zero.
    std::uint32_t index = 0; ///< Index of the task within the step, from zero; zero for a gang.

    /// Orders by occurrence, step and index.
    auto operator<=>(const UnitKey &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// An incarnation of a worker. A worker that restarts under the same id has a different start time.
struct WorkerIncarnation {
    std::string worker; ///< Id of the worker.
    std::int64_t startedUnixMilliseconds = 0; ///< When this incarnation started, in milliseconds since 1970.

    /// Compares both fields.
    auto operator<=>(const WorkerIncarnation &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// Worker that runs a task of a unit.
struct TaskPlace {
    WorkerIncarnation incarnation; ///< Incarnation of the worker.
    std::string agent; ///< RPC address of the worker's agent.

    /// Compares both fields.
    auto operator<=>(const TaskPlace &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons
};

/// Recorded progress of a unit.
struct UnitProgress {
    bool succeeded = false; ///< All its tasks have succeeded.
    std::uint32_t failures = 0; ///< Number of failed runs.
    std::uint32_t run = 0; ///< Number of the latest run; zero before the first.
    std::string checkpoint; ///< Checkpoint that the next run resumes from; empty to start from the beginning.
    std::vector<TaskPlace> places; ///< Worker of each task of the current run; empty if no run is in progress.
};

/// State of a job as callers see it.
enum class GraphState : std::uint8_t {
    Queued, ///< No task has started.
    Running, ///< At least one task has started.
    Completed, ///< All tasks have succeeded.
    Failed, ///< The number of failed runs of a unit has reached the attempt limit.
    Cancelled, ///< The caller has cancelled it.
};

/// @param state State of a job.
/// @return Whether the state is final.
inline bool hasEnded(GraphState state)
{
    return state != GraphState::Queued && state != GraphState::Running;
}

/// @param state State of a job.
/// @return The name that rows and logs use.
const char *graphStateName(GraphState state);

/// Recorded progress of a job.
struct GraphProgress {
    GraphState state = GraphState::Queued; ///< State of the job; cancellations are recorded in a separate row.
    std::uint32_t finishedOccurrences = 0; ///< Occurrences below this number have succeeded, and their units have been removed.
    std::map<UnitKey, UnitProgress> units; ///< Units that have been placed at least once.
};

/// Row that holds a part of the units of a job whose progress exceeds one row. It is valid only beside a progress row of the same version,
/// since all rows of a job's progress are written by one transaction.
struct ContinuationRow {
    std::uint64_t version = 0; ///< Version of the row.
    std::string text; ///< Text of the row.
};

/// An accepted job.
struct GraphRecord {
    std::string id; ///< Unique id of the job.
    GraphSpec spec; ///< Specification of the job.
    QueueTerms terms; ///< Terms of its queue at acceptance.
    std::int64_t acceptedUnixMilliseconds = 0; ///< When it was accepted by the entry's clock, in milliseconds since 1970.
    GraphProgress progress; ///< Progress of the job; without its units while `encodedProgress` holds them.
    std::string encodedProgress; ///< Progress row whose units have not been decoded yet; empty if they have.
    std::map<std::uint32_t, ContinuationRow> continuations; ///< Newest continuation rows, by number, while `encodedProgress` is set.
    std::uint32_t continuationCount = 0; ///< Number of continuation rows that the recorded progress row names.
    GraphState recordedState = GraphState::Queued; ///< State in the progress row; the owner's in-memory progress may be newer.
    bool cancelled = false; ///< A cancellation is recorded.
    std::uint64_t specVersion = 0; ///< Version of the specification row; zero until it has been read.
    std::uint64_t progressVersion = 0; ///< Version of the progress row; zero until it has been read.

    /// @return Whether the specification and progress rows have been read.
    bool isComplete() const
    {
        return specVersion != 0 && progressVersion != 0;
    }

    /// @return State that callers see. It depends only on recorded rows, so no failure can revert it.
    GraphState publicState() const
    {
        return cancelled && !hasEnded(recordedState) ? GraphState::Cancelled : recordedState;
    }
};

} // namespace banyanlock
