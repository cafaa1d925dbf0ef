#pragma once

/// @file
/// What the daemons of a pool need of a platform. Adapters satisfy these concepts; nothing else is known of a platform.

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

/// How following a table went.
enum class FollowState : std::uint8_t {
    UpToDate, ///< All changes up to the version are there.
    HistoryLost, ///< The changes are not known any more: the table has to be read anew.
    Unavailable, ///< No usable answer.
};

/// Result of following a table.
struct FollowResult {
    FollowState state = FollowState::Unavailable; ///< How it went.
    std::uint64_t version = 0; ///< Version up to which all changes are there.
    std::vector<TableRow> rows; ///< What changed, in order.
};

/// A row of the operators that this product has no use for, or that can't be read.
struct IgnoredRow {
    std::string reason; ///< Why it can't be read; empty if it is of no use.
};

/// A failure domain was taken out or in.
struct FailureDomainChange {
    std::string failureDomain; ///< The failure domain.
    bool outOfService = false; ///< Whether it is out.
};

/// What an operators' row says.
using OperatorChange = std::variant<IgnoredRow, PoolConfiguration, FailureDomainChange>;

/// What a caller wants.
enum class CallKind : std::uint8_t {
    Submit, ///< Hand a job in.
    State, ///< Ask for a job's state.
    Cancel, ///< Cancel a job.
    Pending, ///< Ask how many jobs of a queue wait.
};

/// A caller's call, decoded.
struct PoolCall {
    CallKind kind = CallKind::State; ///< What is wanted.
    std::string host; ///< Host name that the caller used, without port.
    std::string path; ///< Path of the call.
    std::optional<std::string> key; ///< Key that the caller shows.
    std::optional<Duration> deadline; ///< How long the caller waits.
    std::string body; ///< Body of a submission.
};

/// How a call went. docs/RESULT-CODES.md gives the numbers that logs show.
enum class CallOutcome : std::uint8_t {
    Accepted, ///< The job or its cancellation is recorded.
    Answered, ///< State or count is in the answer.
    NoSuchJob, ///< No such job was ever accepted.
    NoSuchQueue, ///< No queue of the configuration fits.
    KeyRefused, ///< The key is missing or unknown.
    Malformed, ///< The body can't be read, or asks for what can't be.
    NotReady, ///< There is no configuration, or it is too old to believe; nothing was done.
    StoreUnavailable, ///< The table service could not be reached; nothing was done.
    Unsettled, ///< The table service did not tell in time whether it was done.
};

/// Answer to a call.
struct CallAnswer {
    CallOutcome outcome = CallOutcome::NotReady; ///< How it went.
    GraphState state = GraphState::Queued; ///< State of the job that was asked for.
    std::uint32_t pending = 0; ///< Number of jobs that wait.
    std::string reason; ///< Why, for people.
    Duration retryAfter{}; ///< When to come again, for refusals.
};

/// Client of a table service that can be followed.
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

/// Client of a worker.
template <typename T>
concept WorkerClient = requires(T worker, RenewWorker renewal, StartTask start, StopTask stop, std::function<void(RenewalAnswer)> onLists,
                                std::function<void(OrderOutcome, std::string)> onStarted, std::function<void(OrderOutcome)> onStopped)
{
    worker.renew(renewal, onLists);
    worker.start(start, onStarted);
    worker.stop(stop, onStopped);
};

/// What an entry's copy of the rows, its ownership and its answers to callers need: tests run them in virtual time.
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

/// Everything that differs from platform to platform.
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
