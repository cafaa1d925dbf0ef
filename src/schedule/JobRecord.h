#pragma once

#include "placement/WorkerInfo.h"
#include "schedule/JobSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// State of a job in its row.
enum class JobState : std::uint8_t {
    Queued, ///< Waits for a start in its cell.
    Running, ///< A gang was recorded; its tasks start, run or end.
    Succeeded, ///< All tasks ended well.
    Failed, ///< It failed too often.
    Cancelled, ///< It was cancelled.
};

/// @param state State to name.
/// @return Name used in the interfaces.
const char *jobStateName(JobState state);

/// @param state State to look at.
/// @return Whether the job has ended.
inline bool hasEnded(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

/// One task's place in a job's row.
struct RecordedTask {
    std::string worker; ///< Name of the worker.
    AcceleratorMask accelerators = 0; ///< Accelerators of the task.
};

/// A job's row in the table service.
struct JobRecord {
    std::string id; ///< Unique id of the job.
    JobSpec spec; ///< What was asked for.
    JobState state = JobState::Queued; ///< State of the job.
    std::string cell; ///< Failure domain that schedules it.
    std::uint32_t run = 0; ///< Counts its starts; fences tasks of earlier runs.
    std::uint64_t startEpoch = 0; ///< Epoch of the cell's owner that recorded the current run.
    std::uint32_t failures = 0; ///< Runs that ended with a failed task.
    std::vector<RecordedTask> tasks; ///< Places of the current run's tasks.
    bool cancelRequested = false; ///< A running job shall be stopped.
    bool fromCheckpoint = false; ///< The next run goes on from a checkpoint.
    std::string reason; ///< Why it is in this state, for people.
    std::uint64_t submitted = 0; ///< Order of submission; milliseconds since 1970 by the entry's clock.
    std::uint64_t version = 0; ///< Version of the row; not part of its text.
};

/// Table of the job rows.
inline constexpr const char *jobTable = "jobs";

} // namespace banyanlock
