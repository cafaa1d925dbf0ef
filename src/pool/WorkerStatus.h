#pragma once

#include "core/Time.h"
#include "graph/GraphRecord.h"
#include "graph/Resources.h"
#include "pool/TaskName.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// How a run ended.
enum class RunEnding : std::uint8_t {
    Succeeded, ///< The task completed.
    Failed, ///< The task or its worker failed.
    Stopped, ///< It was stopped by an order.
    LeaseExpired, ///< Its lease was not renewed in time.
    GangMemberEnded, ///< Another member of its gang ended.
    GangIncomplete, ///< Not all members of its gang started in time.
    NeverStarted, ///< The worker refused the start order or never received it.
    WorkerLost, ///< The incarnation of the worker ended.
};

/// @param ending How a run ended.
/// @return The name that logs and metrics use.
const char *runEndingName(RunEnding ending);

/// A run that is on a worker, or that may be because its start is in flight.
struct RunReport {
    RunName run; ///< The run.
    bool starting = false; ///< The start was ordered but not confirmed by the worker.
    std::string checkpoint; ///< Latest checkpoint that the task can resume from; empty for none.
    std::uint32_t percent = 0; ///< Progress in percent, 0 to 100; zero if unknown.
};

/// Maximum number of ends that a worker lists at once.
inline constexpr std::size_t maxListedEnds = 500;

/// The end of a run. The worker reports it until it is acknowledged.
struct RunEnd {
    std::uint64_t number = 0; ///< Sequence number of the end within the worker's incarnation.
    RunName run; ///< The run.
    RunEnding ending = RunEnding::Failed; ///< How it ended.
    std::string checkpoint; ///< Latest checkpoint that the task can resume from; empty for none.
};

/// A start that the worker refused.
struct RunRefusal {
    RunName run; ///< The run.
    std::string reason; ///< Human-readable reason.
};

/// A worker's announcement.
struct WorkerAnnouncement {
    WorkerIncarnation incarnation; ///< Worker id and start time.
    std::uint64_t sequence = 0; ///< Increases with each announcement of an incarnation.
    std::string service; ///< Service whose tasks the worker runs.
    std::string failureDomain; ///< Failure domain of the worker.
    Resources capacity; ///< Total resources of the worker.
    std::vector<std::string> labels; ///< Labels of the worker: its kind, then its rack.
    bool draining = false; ///< The worker will exit and must not get new tasks.
    Duration minTimeUntilExit{}; ///< Minimum time until a draining worker exits.

    /// Compares all fields.
    bool operator==(const WorkerAnnouncement &) const = default;
};

/// @param worker Announcement of a worker.
/// @return The worker's rack; empty if it has no labels.
inline std::string rackOf(const WorkerAnnouncement &worker)
{
    // The labels are the worker's kind and its rack, in this order.
    return worker.labels.empty() ? std::string() : worker.labels.back();
}

/// State of a worker as reported by its agent.
struct WorkerStatus {
    std::uint64_t agentIncarnation = 0; ///< Incarnation number of the agent's process.
    std::uint64_t number = 0; ///< Version of the status; increases with each change within the process.
    TimePoint clock{}; ///< The agent's monotonic clock.
    std::int64_t unixMilliseconds = 0; ///< The agent's time of day, in milliseconds since 1970.
    std::uint64_t highestEpoch = 0; ///< Highest owner epoch that the agent has seen.
    std::uint64_t lastOrderBatch = 0; ///< Latest batch of orders applied from the owner with the highest epoch.
    bool runsKnown = false; ///< The worker's current incarnation has reported its runs.
    std::uint64_t runsKnownEpoch
        = 0; ///< Epoch that the worker is guaranteed to have seen when it reported its runs; it refuses orders of earlier owners.
    bool unfenced = false; ///< The lists do not prove that the worker refuses the orders of earlier agent processes, or those that were
                           ///< sent to its earlier incarnations.
    std::uint64_t workerFence = 0; ///< Fencing token of the agent's orders to the worker; zero if it sends none.
    bool endsTruncated = false; ///< The worker has listed as many ends as it lists at once when it was last asked. Further ends may exist,
                                ///< whether or not listed ones have been acknowledged and removed since.
    bool answering = false; ///< The worker has responded to its agent within the silence timeout.
    bool leaseExpired = false; ///< The worker did not respond until its lease expired, so nothing runs on it any more.
    bool connectionRefused = false; ///< The worker's address refuses connections.
    bool agentStopping = false; ///< The agent is shutting down.
    WorkerAnnouncement worker; ///< The worker's latest announcement; the worker id is empty before the first.
    Duration listsAge{}; ///< Time since the worker reported its runs, when this status was made.
    std::vector<RunReport> runs; ///< Runs that are on the worker or may be.
    std::vector<RunEnd> ends; ///< Ends that are not acknowledged yet.
    std::vector<RunRefusal> refusals; ///< Most recent refusals of starts.
};

/// Kind of an order.
enum class TaskOrderKind : std::uint8_t {
    Start,
    Stop,
};

/// An order of the owner to an agent. Orders are idempotent.
struct TaskOrder {
    TaskOrderKind kind = TaskOrderKind::Start; ///< Whether to start or stop the run.
    RunName run; ///< Run to start or stop.
    WorkerIncarnation incarnation; ///< Incarnation of the worker that the order is for.
    std::string payload; ///< Payload for the task.
    std::string checkpoint; ///< Checkpoint to resume from; empty to start from the beginning.
    TimePoint startBy{}; ///< Start deadline, on the agent's clock.
};

/// Time after which an agent ignores the orders and the renewal of a call; a renewal counts from the time at which the call was sent.
inline constexpr Duration callValidity = fromMilliseconds(1000);

/// A call of the owner to an agent: it renews leases, acknowledges ends, carries orders and polls the status.
struct SuperviseRequest {
    std::uint64_t epoch = 0; ///< Fencing token of the owner.
    bool renews = false; ///< Renews the leases of everything on the worker.
    TimePoint validUntil{}; ///< Deadline for acting on the call, on the agent's clock.
    std::uint64_t batch = 0; ///< Number of the batch of orders; zero if there are no orders.
    std::vector<TaskOrder> orders; ///< Orders of the batch.
    WorkerIncarnation acknowledgedIncarnation; ///< Incarnation of the worker whose ends are acknowledged.
    std::uint64_t acknowledgedEnd = 0; ///< Ends up to and including this number are recorded.
    std::uint64_t workerFence = 0; ///< Latest fencing token used for that incarnation, as far as the owner knows; zero if unknown.
    std::vector<std::string> services; ///< Services that the configuration names, in order; empty if the owner has no configuration.
    std::uint64_t knownIncarnation = 0; ///< Agent incarnation of the latest status that the owner has.
    std::uint64_t knownStatus = 0; ///< Version of the latest status that the owner has.
    Duration wait{}; ///< Maximum time to wait for a newer status.
};

/// @param status Current status of an agent.
/// @param request Call of an owner that waits for a newer status.
/// @return Whether the status differs from the one that the owner has.
inline bool hasUpdate(const WorkerStatus &status, const SuperviseRequest &request)
{
    return request.knownIncarnation != status.agentIncarnation || request.knownStatus != status.number
        || request.epoch != status.highestEpoch;
}

} // namespace banyanlock
