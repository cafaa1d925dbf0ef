#pragma once

#include "pool/PoolWorker.h"
#include "pool/WorkerStatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// One task of an active unit.
struct ActiveMember {
    RunName run; ///< Its run.
    TaskPlace place; ///< Worker that it is assigned to.
    PoolWorker *worker = nullptr; ///< The owner's view of that worker.
    bool confirmed = false; ///< The worker has reported it as running.
    std::uint64_t batch = 0; ///< Batch of orders that carried its start; zero if an earlier owner started it.
    std::uint64_t agentIncarnation = 0; ///< Incarnation of the agent that the start was sent to.
    TimePoint startExpiredAt{}; ///< After this time an order in flight can no longer start it.
    std::optional<RunEnding> ending; ///< How it ended; none while it may still run.
    std::string checkpoint; ///< Latest checkpoint that the task can resume from; empty for none.
    std::uint32_t percent = 0; ///< Newest progress that its worker has reported, in percent; zero if unknown.
    TimePoint percentAt{}; ///< When the worker reported it.
    std::uint32_t firstPercent = 0; ///< Progress from which the pace is measured: zero for a run from the beginning.
    TimePoint firstPercentAt{}; ///< When the run had made that progress; zero before it is known.
};

/// Why a unit is stopped.
enum class StopReason : std::uint8_t {
    None, ///< It is not being stopped.
    Cancelled, ///< Its job was cancelled.
    JobFailed, ///< Its job has failed because another unit used up its attempts.
    Preempted, ///< Units of higher priority need its resources.
    MemberLost, ///< A member of the gang has ended without success or did not start in time.
    WorkerLeaves, ///< A worker will exit before the task completes.
    AlreadyDone, ///< The work is done: an earlier run or another member of the gang has succeeded.
};

/// @param reason Reason for a stop.
/// @return The name that logs use.
const char *stopReasonName(StopReason reason);

/// Phases of an active unit.
enum class UnitPhase : std::uint8_t {
    Planned, ///< Placed; the transaction that records the start has not been sent.
    Recording, ///< The transaction that records the start is in flight.
    Started, ///< The start is recorded and ordered.
};

/// One run of a unit: a gang, or one task.
struct ActiveUnit {
    std::string job; ///< Id of the job.
    GraphRecord *record = nullptr; ///< The job; it stays open while it has active units.
    UnitKey key; ///< Key of the unit.
    std::uint32_t run = 0; ///< Number of the run.
    UnitPhase phase = UnitPhase::Planned; ///< Current phase.
    std::vector<ActiveMember> members; ///< One member for each task.
    StopReason stopping = StopReason::None; ///< Why it is being stopped.
    TimePoint startedAt{}; ///< When its start was ordered, or when this owner took it over.
    bool resumed = false; ///< It resumed from a checkpoint.
    bool restored = false; ///< It was taken over from an earlier owner, so its start time is unknown.
    TimePoint nextStop{}; ///< When to send the stops next.

    /// @return The step.
    const StepSpec &spec() const
    {
        return record->spec.steps[key.step];
    }
};

} // namespace banyanlock
