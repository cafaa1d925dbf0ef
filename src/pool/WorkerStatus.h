#pragma once

#include "core/Time.h"
#include "graph/GraphRecord.h"
#include "graph/Resources.h"
#include "pool/TaskName.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// How a run ended.
enum class RunEnding : std::uint8_t {
    Succeeded, ///< The task did its work.
    Failed, ///< The task or its worker failed.
    Stopped, ///< It was told to stop.
    LeaseExpired, ///< Its lease was not renewed in time.
    GangMemberEnded, ///< Another member of its gang ended.
    GangIncomplete, ///< Its gang did not become whole in time.
    NeverStarted, ///< The worker refused the start, or the order did not arrive.
    WorkerLost, ///< The worker's life ended.
};

/// @param ending Ending to name.
/// @return Its name, for logs.
const char *runEndingName(RunEnding ending);

/// A run that is on a worker, or may be.
struct RunReport {
    RunName run; ///< The run.
    bool starting = false; ///< It was ordered, and the worker has not confirmed it.
    std::string checkpoint; ///< Newest point from which the task can go on; empty for none.
};

/// The end of a run, as the worker lists it until the end is acknowledged.
struct RunEnd {
    std::uint64_t number = 0; ///< Number of the end in the worker's life.
    RunName run; ///< The run.
    RunEnding ending = RunEnding::Failed; ///< How it ended.
    std::string checkpoint; ///< Newest point from which the task can go on; empty for none.
};

/// A start that the worker refused.
struct RunRefusal {
    RunName run; ///< The run.
    std::string reason; ///< Why, for people.
};

/// What a worker says of itself.
struct WorkerAnnouncement {
    WorkerIncarnation incarnation; ///< Its id and birth.
    std::uint64_t sequence = 0; ///< Rises with each announcement of a life.
    std::string service; ///< Service that it works for.
    std::string failureDomain; ///< Where it is.
    Resources capacity; ///< What it has.
    std::vector<std::string> labels; ///< Its labels, the rack's among them.
    bool draining = false; ///< It will leave and must be given nothing new.
    Duration minTimeUntilExit{}; ///< Least time until a draining worker leaves.

    /// Compares all fields.
    bool operator==(const WorkerAnnouncement &) const = default;
};

/// @param worker A worker.
/// @return Its rack; empty when it names none.
inline std::string rackOf(const WorkerAnnouncement &worker)
{
    // The labels are the worker's kind and its rack, in this order.
    return worker.labels.empty() ? std::string() : worker.labels.back();
}

/// Everything that an agent knows of its worker.
struct WorkerStatus {
    std::uint64_t agentIncarnation = 0; ///< Process of the agent.
    std::uint64_t number = 0; ///< Rises with each change within the process.
    TimePoint clock{}; ///< The agent's clock.
    std::int64_t unixMilliseconds = 0; ///< The agent's time of day.
    std::uint64_t highestEpoch = 0; ///< Highest epoch that it has heard of.
    std::uint64_t lastOrderBatch = 0; ///< Newest batch of orders that it has taken from the asking owner.
    bool runsKnown = false; ///< The worker has told what runs on it in its present life.
    std::uint64_t runsKnownEpoch
        = 0; ///< Epoch that the worker had surely heard of when it told that; it refuses earlier owners' orders since.
    bool answering = false; ///< The worker has answered its agent lately.
    bool leaseExpired = false; ///< The worker has not answered for so long that nothing runs on it any more.
    bool connectionRefused = false; ///< Nothing listens at the worker's address.
    bool agentStopping = false; ///< The agent is stopping.
    WorkerAnnouncement worker; ///< What the worker says of itself; without an id until it has said something.
    std::vector<RunReport> runs; ///< What runs on it or may run.
    std::vector<RunEnd> ends; ///< Ends that were not acknowledged.
    std::vector<RunRefusal> refusals; ///< Latest refusals.
};

/// What an order asks for.
enum class TaskOrderKind : std::uint8_t {
    Start,
    Stop,
};

/// One order of the owner to an agent. Orders may be repeated without harm.
struct TaskOrder {
    TaskOrderKind kind = TaskOrderKind::Start; ///< What to do.
    RunName run; ///< Run that is meant.
    WorkerIncarnation incarnation; ///< Life of the worker that is meant.
    std::string payload; ///< Text for the task.
    std::string checkpoint; ///< Where to go on; empty for the start.
    TimePoint startBy{}; ///< Latest start, on the agent's clock.
};

/// A call of the owner to an agent: renewal, acknowledgement, orders, and a question.
struct SuperviseRequest {
    std::uint64_t epoch = 0; ///< Fencing token of the owner.
    bool renews = false; ///< Renews the leases of everything on the worker.
    TimePoint validUntil{}; ///< Latest moment to act on the call, on the agent's clock.
    std::uint64_t batch = 0; ///< Number of the batch of orders; zero without orders.
    std::vector<TaskOrder> orders; ///< The batch.
    WorkerIncarnation acknowledgedIncarnation; ///< Life whose ends are acknowledged.
    std::uint64_t acknowledgedEnd = 0; ///< Ends up to this number are recorded.
    std::uint64_t knownIncarnation = 0; ///< Agent process of the status that the owner has.
    std::uint64_t knownStatus = 0; ///< Number of the status that the owner has.
    Duration wait{}; ///< Time to wait for a newer status.
};

/// @param status An agent's status.
/// @param request A call that waits for news.
/// @return Whether the status tells the caller something new.
inline bool hasUpdate(const WorkerStatus &status, const SuperviseRequest &request)
{
    return request.knownIncarnation != status.agentIncarnation || request.knownStatus != status.number
        || request.epoch != status.highestEpoch;
}

} // namespace banyanlock
