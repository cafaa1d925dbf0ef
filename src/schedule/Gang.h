#pragma once

#include "core/Time.h"
#include "placement/TaskPlacement.h"
#include "schedule/JobRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// Steps of a gang between its placement and its end.
enum class GangPhase : std::uint8_t {
    Reclaiming, ///< Waits for the gangs on its accelerators to stop.
    Preparing, ///< Its workers hold resources for it.
    Recording, ///< The transaction that lets it start is under way.
    Starting, ///< Its tasks are told to start.
    Running, ///< All its tasks have started.
    Stopping, ///< Its tasks are told to stop.
    Closing, ///< The transaction that ends the run is under way.
};

/// @param phase Phase to name.
/// @return Its name, for logs.
const char *gangPhaseName(GangPhase phase);

/// What the job's row shall say when its gang has stopped.
struct GangOutcome {
    JobState state = JobState::Queued; ///< State of the job.
    std::uint32_t failures = 0; ///< Runs that ended with a failed task.
    bool fromCheckpoint = false; ///< The next run goes on from a checkpoint.
    std::string reason; ///< Why, for people.
};

/// One run of a job on the workers of a cell.
struct Gang {
    std::string job; ///< Id of the job.
    std::uint32_t run = 0; ///< Run of the job.
    std::uint64_t startEpoch = 0; ///< Epoch under which the run is recorded.
    GangPhase phase = GangPhase::Preparing; ///< Current step.
    GangPlacement placement; ///< Places of its tasks.
    TimePoint deadline{}; ///< Limit of the current step.
    bool recorded = false; ///< The row says that this run is running.
    bool useCheckpoint = false; ///< Stopping saves progress first.
    bool transactionInFlight = false; ///< A transaction of the current step is under way.
    bool finished = false; ///< The gang can be removed.
    TimePoint startDeadline{}; ///< Latest start of its tasks: shortly after the transaction was sent, whenever its answer came.
    TimePoint runningSince{}; ///< When all its tasks were first seen running.
    TimePoint stoppingSince{}; ///< When stopping began.
    JobRecord pendingRecord; ///< What the transaction under way writes.
    GangOutcome outcome; ///< What the row shall say when the gang has stopped.
};

} // namespace banyanlock
