#pragma once

#include "pool/WorkerStatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// One task of a unit that runs.
struct ActiveMember {
    RunName run; ///< Its run.
    TaskPlace place; ///< Where it runs.
    bool confirmed = false; ///< The worker has shown it as running.
    std::uint64_t batch = 0; ///< Batch of orders that carried its start; zero for one that was taken over.
    std::uint64_t agentIncarnation = 0; ///< Agent process that the start was sent to.
    TimePoint startExpiredAt{}; ///< After this time an order that is under way can't start it any more.
    std::optional<RunEnding> ending; ///< How it ended; none while it may run.
    std::string checkpoint; ///< Newest point from which the task can go on.
};

/// Why a unit is stopped.
enum class StopReason : std::uint8_t {
    None, ///< It is not.
    Cancelled, ///< Its job was cancelled.
    JobFailed, ///< Another unit of its job has failed too often.
    Preempted, ///< Others need its room.
    MemberLost, ///< A member of the gang has ended or did not start.
    WorkerLeaves, ///< A worker will leave before the task is done.
    AlreadyDone, ///< An earlier run has done the work.
};

/// @param reason Reason to name.
/// @return Its name, for logs.
const char *stopReasonName(StopReason reason);

/// Steps of a unit between its placement and its end.
enum class UnitPhase : std::uint8_t {
    Planned, ///< The transaction that records the start is not under way yet.
    Recording, ///< It is under way.
    Started, ///< The start is recorded and ordered.
};

/// One run of a unit: a gang, or one task.
struct ActiveUnit {
    std::string job; ///< Id of the job.
    UnitKey key; ///< The unit.
    std::uint32_t run = 0; ///< Number of the run.
    UnitPhase phase = UnitPhase::Planned; ///< Current step.
    std::vector<ActiveMember> members; ///< Its tasks.
    StopReason stopping = StopReason::None; ///< Why it is being stopped.
    TimePoint startedAt{}; ///< When it was placed, or taken over.
    TimePoint nextStop{}; ///< When the stop is sent again.
};

} // namespace banyanlock
