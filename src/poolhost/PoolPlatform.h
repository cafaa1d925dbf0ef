#pragma once

/// @file
/// Concepts that a platform adapter satisfies. The daemons of a pool depend on the platform only through them.

#include "core/Result.h"
#include "core/TableTypes.h"
#include "graph/GraphRecord.h"
#include "http/HttpServer.h"
#include "pool/PoolConfiguration.h"
#include "pool/PoolRows.h"
#include "pool/WorkerSupervisor.h"
#include "runtime/EventLoop.h"
#include "runtime/HttpClient.h"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanlock
{

/// Outcome of a request for the changes of a table.
enum class FollowState : std::uint8_t {
    UpToDate, ///< The result holds all changes up to its version.
    HistoryLost, ///< The service no longer retains the changes; the whole table has to be read again.
    Unavailable, ///< The service did not answer, or the answer was unusable.
};

/// Changes of a table after a version.
struct FollowResult {
    FollowState state = FollowState::Unavailable; ///< Outcome.
    std::uint64_t version = 0; ///< Version up to which the changes are complete.
    std::vector<TableRow> rows; ///< Changed rows, in commit order.
};

/// An operators' row that is unreadable or not used by banyanlock.
struct IgnoredRow {
    std::string reason; ///< Why it is unreadable; empty if it is not used.
};

/// A failure domain was taken out of service or put back.
struct FailureDomainChange {
    std::string failureDomain; ///< The failure domain.
    bool outOfService = false; ///< Whether it is out of service.
};

/// Decoded operators' row.
using OperatorChange = std::variant<IgnoredRow, PoolConfiguration, FailureDomainChange>;

/// Operation that a caller requests.
enum class CallKind : std::uint8_t {
    Submit, ///< Submit a job.
    State, ///< Query the state of a job.
    Cancel, ///< Cancel a job.
    Pending, ///< Query the number of waiting jobs of a queue.
};

/// Decoded call of a caller.
struct PoolCall {
    CallKind kind = CallKind::State; ///< Requested operation.
    std::string host; ///< Host name of the request, without the port.
    std::string path; ///< Path of the call.
    std::optional<std::string> key; ///< API key of the caller.
    std::optional<Duration> deadline; ///< Time for which the caller waits for the answer.
    std::string body; ///< Body of a submission.
};

/// Outcome of a call. docs/RESULT-CODES.md lists the numbers that appear in logs.
enum class CallOutcome : std::uint8_t {
    Accepted, ///< The job or its cancellation is recorded.
    Answered, ///< The answer holds the state or the count.
    NoSuchJob, ///< No job with this id was accepted.
    NoSuchQueue, ///< No queue of the configuration matches the host and path.
    KeyRefused, ///< The key is missing or unknown.
    Malformed, ///< The body is unreadable, or the job specification is invalid.
    NotReady, ///< The configuration is missing or stale; nothing was done.
    StoreUnavailable, ///< The table service could not be reached; nothing was done.
    Overloaded, ///< The pool is too far behind to serve the job in its time; nothing was done.
    CancelledBefore, ///< The job was cancelled before its submission arrived; it was not accepted and never runs.
    Unsettled, ///< The table service did not confirm the outcome in time; the change may have been made.
};

/// Answer to a call.
struct CallAnswer {
    CallOutcome outcome = CallOutcome::NotReady; ///< Outcome.
    GraphState state = GraphState::Queued; ///< State of the requested job.
    std::uint32_t pending = 0; ///< Number of waiting jobs.
    std::string reason; ///< Human-readable reason of a refusal.
    Duration retryAfter{}; ///< Delay before the caller should retry, for refusals; zero for none.
};

/// Client of a table service with transactions, reads and a change feed.
template <typename T>
concept RowStoreClient = requires(T store, TableTransaction transaction, std::string table, std::string key, std::uint64_t after,
                                  Duration wait, std::function<void(CommitResult)> onCommit, std::function<void(ScanResult)> onScan,
                                  std::function<void(FollowResult)> onFollow, std::function<void(RowResult)> onRow)
{
    store.commit(transaction, onCommit);
    store.read(table, key, onRow);
    store.readTable(table, onScan);
    store.follow(table, after, wait, onFollow);
};

/// Client of a worker, which renews leases and starts and stops tasks.
template <typename T>
concept WorkerClient = requires(T worker, RenewWorker renewal, StartTask start, StopTask stop, std::function<void(RenewalAnswer)> onLists,
                                std::function<void(OrderOutcome, std::string)> onStarted, std::function<void(OrderOutcome)> onStopped)
{
    worker.renew(renewal, onLists);
    worker.start(start, onStarted);
    worker.stop(stop, onStopped);
};

/// Part of the platform that `PoolMirror`, `PoolOwner` and `PoolApi` use. It has no sockets, so that tests run them in virtual time.
template <typename T>
concept PoolCorePlatform
    = RowStoreClient<typename T::Store> && requires(const TableRow &row, const std::string &text, typename T::Loop loop)
{
    {
        T::operatorRows()
        } -> std::same_as<OperatorRows>;
    {
        T::decodeOperatorRow(row)
        } -> std::same_as<OperatorChange>;
    {
        T::decodeSubmission(text)
        } -> std::same_as<Result<GraphSpec>>;
    {
        loop.now()
        } -> std::same_as<TimePoint>;
    {
        loop.timers()
        } -> std::same_as<TimerService &>;
};

/// Complete platform adapter, as the daemons use it.
template <typename T>
concept PoolPlatform = PoolCorePlatform<T> && WorkerClient<typename T::Worker> && requires(const ServerRequest &request,
                                                                                           const PoolCall &call, const CallAnswer &answer)
{
    {
        T::decodeCall(request)
        } -> std::same_as<std::optional<PoolCall>>;
    {
        T::encodeAnswer(call, answer)
        } -> std::same_as<ServerResponse>;
    {
        T::isReadinessProbe(request)
        } -> std::same_as<bool>;
    {
        T::decodeAnnouncement(request)
        } -> std::same_as<Result<WorkerAnnouncement>>;
    {
        T::decodeDeparture(request)
        } -> std::same_as<std::optional<std::string>>;
};

} // namespace banyanlock
