#pragma once

#include "placement/WorkerInfo.h"
#include "schedule/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// State of a job.
enum class JobState : std::uint8_t {
    Queued, ///< Waits in its cell to be started.
    Running, ///< The start of a gang is recorded; its tasks start, run or end.
    Succeeded, ///< All tasks succeeded.
    Failed, ///< Too many runs failed.
    Cancelled, ///< Cancelled on request.
};

/// @param state State to name.
/// @return Name of the state in APIs and stored rows.
const char *jobStateName(JobState state);

/// @param state State to check.
/// @return Whether the job has ended.
inline bool hasEnded(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

/// Placement of one task in the row of a job.
struct RecordedTask {
    std::string worker; ///< Name of the worker.
    AcceleratorMask accelerators = 0; ///< Accelerators assigned to the task.
};

/// Row of a job in the table service.
struct JobRecord {
    std::string id; ///< Unique id of the job.
    JobSpec spec; ///< Specification as submitted.
    JobState state = JobState::Queued; ///< State of the job.
    std::string cell; ///< Failure domain whose cell schedules the job.
    std::uint32_t run = 0; ///< Number of recorded starts; fences off tasks of earlier runs.
    std::uint64_t startEpoch = 0; ///< Epoch of the cell owner that recorded the current run.
    std::uint32_t failures = 0; ///< Number of runs that ended with a failed task.
    std::vector<RecordedTask> tasks; ///< Placement of the tasks of the current run.
    bool cancelRequested = false; ///< Cancellation was requested while the job was running.
    bool fromCheckpoint = false; ///< The next run resumes from a checkpoint.
    std::string reason; ///< Human-readable reason for the current state.
    std::uint64_t submitted = 0; ///< Submission time, which orders the queue: milliseconds since 1970 by the clock of the entry.
    std::uint64_t version = 0; ///< Version of the row; not part of the encoded text.
};

/// Table that holds the jobs.
inline constexpr const char *jobTable = "jobs";

} // namespace banyanlock
