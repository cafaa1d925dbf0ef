#pragma once

#include "core/Time.h"
#include "placement/TaskPlacement.h"
#include "schedule/JobRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// Phase of a gang between its placement and its end.
enum class GangPhase : std::uint8_t {
    Reclaiming, ///< Waits until the gangs on its accelerators have stopped.
    Preparing, ///< Its workers are asked to reserve resources for its tasks.
    Recording, ///< The transaction that records its start is in flight.
    Starting, ///< Its workers are told to start the tasks.
    Running, ///< All its tasks have started.
    Stopping, ///< Its workers are told to stop the tasks.
    Closing, ///< The transaction that records the end of the run is in flight or due.
};

/// @param phase Phase to name.
/// @return Name of the phase, for logs.
const char *gangPhaseName(GangPhase phase);

/// Result that is written to the row of the job after its gang has stopped.
struct GangOutcome {
    JobState state = JobState::Queued; ///< New state of the job.
    std::uint32_t failures = 0; ///< Number of runs that ended with a failed task.
    bool fromCheckpoint = false; ///< The next run resumes from a checkpoint.
    std::string reason; ///< Human-readable reason.
};

/// Run of a job on the workers of a cell.
struct Gang {
    std::string job; ///< Id of the job.
    std::uint32_t run = 0; ///< Run of the job.
    std::uint64_t startEpoch = 0; ///< Epoch of the owner that records the start.
    GangPhase phase = GangPhase::Preparing; ///< Current phase.
    GangPlacement placement; ///< Placement of its tasks.
    TimePoint deadline{}; ///< Deadline of the current phase.
    bool recorded = false; ///< The row shows this run as running.
    bool useCheckpoint = false; ///< Tasks save a checkpoint before they stop.
    bool transactionInFlight = false; ///< A transaction of the current phase is in flight.
    bool finished = false; ///< The gang can be removed.
    TimePoint startDeadline{}; ///< Latest start of its tasks; counts from the sending of the transaction, not from its reply.
    TimePoint runningSince{}; ///< When all its tasks were first reported as started.
    TimePoint stoppingSince{}; ///< When the gang entered the stopping phase.
    JobRecord pendingRecord; ///< Record that the transaction in flight writes.
    GangOutcome outcome; ///< Result to record after the gang has stopped.
};

} // namespace banyanlock
