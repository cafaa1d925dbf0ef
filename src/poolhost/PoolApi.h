#pragma once

#include "core/Latencies.h"
#include "core/Log.h"
#include "graph/GraphCodec.h"
#include "pool/OwnerLag.h"
#include "poolhost/PoolMirror.h"
#include "poolhost/RepeatedCommit.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace banyanlock
{

/// Handles the callers' submissions, cancellations and queries.
///
/// The transaction that records a submission also checks the row version of the configuration that authorized it, so a removed key or
/// queue never admits a job. States and counts come from this entry's mirror of the rows. After a suspension of the process they wait until
/// the mirror has caught up, so that a job that other entries show as ended is not shown as running again.
///
/// A cancellation that finds no job is recorded too, under a check that there is none, and each submission checks that it was not
/// cancelled before. So the answer that no such job exists remains true for submissions of which a copy is still on its way.
/// @tparam Platform Adapter of the platform.
template <PoolCorePlatform Platform> class PoolApi
{
public:
    /// Sends the answer to one call; called once.
    using Responder = std::function<void(CallAnswer)>;

    /// @param loop Event loop.
    /// @param store Table service.
    /// @param mirror Mirror of the rows.
    /// @param staleLimit Age from which the operators' rows are stale; calls are then refused.
    /// @param counters Counters.
    /// @param latencies Latencies.
    /// @param limits Limits of the table service.
    PoolApi(typename Platform::Loop &loop, typename Platform::Store &store, PoolMirror<Platform> &mirror, Duration staleLimit,
            Counters &counters, Latencies &latencies, TableLimits limits = TableLimits())
        : m_loop(loop)
        , m_store(store)
        , m_mirror(mirror)
        , m_staleLimit(staleLimit)
        , m_counters(counters)
        , m_latencies(latencies)
        , m_limits(limits)
    {
    }

    /// Handles a call. The answer may be sent later, from the event loop.
    /// @param call The call.
    /// @param respond Receives the answer.
    void handle(const PoolCall &call, const Responder &respond)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->call = call;
        exchange->receivedAt = m_loop.now();
        exchange->respond = respond;
        process(exchange);
    }

    /// @param now Current time.
    /// @return Whether the operators' rows are loaded and fresh enough to answer calls.
    bool isFresh(TimePoint now) const
    {
        return m_mirror.isLoaded() && now - m_mirror.operatorsCurrentAsOf() < m_staleLimit - staleMargin;
    }

private:
    static constexpr Duration staleMargin = fromMilliseconds(300); // covers late timers and the network delay to the caller
    static constexpr Duration defaultDeadline = fromMilliseconds(3000); // for callers that send none
    static constexpr Duration answerMargin = fromMilliseconds(200); // network delay of the answer to the caller
    static constexpr Duration storeSilenceLimit
        = fromMilliseconds(900); // without any answer of the table service; a caller waits 3 s, so two more attempts remain
    static constexpr Duration retryAfterOutage = fromMilliseconds(1000); // smallest non-zero value of the Retry-After header
    static constexpr Duration retryAfterFullTable = fromMilliseconds(60000); // a tenth of the period after which rows are erased
    static constexpr int maxConfigurationChanges = 5; // during one submission
    static constexpr Duration maxMirrorWait
        = fromMilliseconds(600); // a request to the change feed that was interrupted is repeated within 200 ms; a caller waits 3 s
    static constexpr Duration mirrorCheckInterval = fromMilliseconds(20);

    struct Exchange {
        PoolCall call;
        TimePoint receivedAt{};
        Responder respond;
        std::string job;
        std::string queue;
        std::string workspace;
        std::string earlyCancelKey; // of the row that records a cancellation before the submission; empty for queries
        GraphRecord record;
        int configurationChanges = 0;
    };
    using ExchangePointer = std::shared_ptr<Exchange>;

    void answer(const ExchangePointer &exchange, CallAnswer answer)
    {
        Log::info("call_answered",
                  {{"job", exchange->job},
                   {"kind", std::string(kindName(exchange->call.kind))},
                   {"outcome", std::string(outcomeName(answer.outcome))},
                   {"state", std::string(graphStateName(answer.state))},
                   {"reason", answer.reason},
                   {"queue", exchange->queue},
                   {"configuration", static_cast<std::int64_t>(m_mirror.operators().configuration.version)},
                   {"configuration_age_ms", toMilliseconds(m_loop.now() - m_mirror.operatorsCurrentAsOf())},
                   {"took_ms", toMilliseconds(m_loop.now() - exchange->receivedAt)}});
        exchange->respond(std::move(answer));
    }

    void refuse(const ExchangePointer &exchange, CallOutcome outcome, const std::string &reason, Counter counter,
                Duration retryAfter = retryAfterOutage)
    {
        m_counters.add(counter);
        CallAnswer refusal;
        refusal.outcome = outcome;
        refusal.reason = reason;
        // After an unknown outcome the caller can ask another entry at once. A call that had no effect is retried after the outage.
        refusal.retryAfter = outcome == CallOutcome::Unsettled ? Duration::zero() : retryAfter;
        answer(exchange, std::move(refusal));
    }

    static const char *kindName(CallKind kind)
    {
        static constexpr std::array<const char *, 4> names{"submit", "state", "cancel", "pending"};
        return names[static_cast<std::size_t>(kind)];
    }

    static const char *outcomeName(CallOutcome outcome)
    {
        static constexpr std::array<const char *, 11> names{"accepted",    "answered",         "no_such_job", "no_such_queue",
                                                            "key_refused", "malformed",        "not_ready",   "store_unavailable",
                                                            "overloaded",  "cancelled_before", "unsettled"};
        return names[static_cast<std::size_t>(outcome)];
    }

    /// @return Time from the receipt of a call within which its answer still reaches the caller in time.
    static Duration timeToAnswer(const PoolCall &call)
    {
        return call.deadline.value_or(defaultDeadline) - answerMargin;
    }

    void process(const ExchangePointer &exchange)
    {
        if (!isFresh(m_loop.now())) {
            refuse(exchange, CallOutcome::NotReady, "configuration is missing or stale", Counter::PoolRefusedStale);
            return;
        }
        const PoolConfiguration &configuration = m_mirror.operators().configuration;
        const PoolQueue *queue = configuration.findQueue(exchange->call.host, exchange->call.path);
        if (queue == nullptr) {
            refuse(exchange, CallOutcome::NoSuchQueue, "no queue matches this host and path", Counter::PoolRefusedQueue);
            return;
        }
        const PoolWorkspace *workspace = exchange->call.key ? configuration.findWorkspaceOfKey(*exchange->call.key) : nullptr;
        if (workspace == nullptr && !queue->open) {
            refuse(exchange, CallOutcome::KeyRefused, "key is missing or unknown", Counter::PoolRefusedKey);
            return;
        }
        exchange->queue = queue->name;
        exchange->workspace = workspace == nullptr ? "" : workspace->name;
        exchange->job = exchange->call.path.substr(queue->pathPrefix.size());
        const auto setEarlyCancelKey = [&] {
            exchange->earlyCancelKey = earlyCancellationKey({queue->host, queue->pathPrefix, exchange->workspace}, exchange->job);
        };
        switch (exchange->call.kind) {
        case CallKind::Submit:
            setEarlyCancelKey();
            submit(exchange, *queue);
            return;
        case CallKind::State:
        case CallKind::Pending:
            answerFromMirror(exchange);
            return;
        case CallKind::Cancel:
            setEarlyCancelKey();
            lookUp(exchange);
            return;
        }
    }

    // Submission

    void submit(const ExchangePointer &exchange, const PoolQueue &queue)
    {
        if (std::as_const(m_mirror.jobs()).find(exchange->job) != nullptr) {
            m_counters.add(Counter::PoolJobsRepeated);
            accept(exchange);
            return;
        }
        Result<GraphSpec> spec = Platform::decodeSubmission(exchange->call.body);
        std::string problem = isOk(spec) ? checkGraphSpec(valueOf(spec)) : errorOf(spec).detail;
        if (problem.empty() && !PoolRows::isJobId(exchange->job)) {
            problem = "job id must be 1 to 64 letters and digits";
        }
        if (!problem.empty()) {
            refuse(exchange, CallOutcome::Malformed, problem, Counter::PoolRefusedMalformed);
            return;
        }
        GraphRecord &record = exchange->record;
        record.id = exchange->job;
        record.spec = std::move(valueOf(spec));
        record.terms
            = {queue.name, exchange->workspace, queue.service, queue.priority, queue.attemptLimit, queue.slackFactor, queue.targetLatency};
        const Duration lag = ownerLag();
        if (const std::optional<Duration> retryAfter = refuseForLag(record.spec, record.terms, lag)) {
            const std::string reason = "the pool is " + std::to_string(toMilliseconds(lag)) + " ms behind";
            refuse(exchange, CallOutcome::Overloaded, reason, Counter::PoolRefusedOwnerBehind, *retryAfter);
            return;
        }
        record.acceptedUnixMilliseconds = unixMillisecondsNow();
        recordJob(exchange);
    }

    Duration ownerLag() const
    {
        constexpr Duration maxAge
            = fromMilliseconds(2000); // an owner that is silent for longer is replaced, and the next one is not behind
        return m_loop.now() - m_mirror.ownerSeenAt() > maxAge ? Duration::zero() : fromMilliseconds(m_mirror.owner().lagMilliseconds);
    }

    void recordJob(const ExchangePointer &exchange)
    {
        const std::string specText = encodeGraphSpec(exchange->record);
        if (specText.size() > m_limits.rowBytes) {
            refuse(exchange, CallOutcome::Malformed,
                   "specification needs " + std::to_string(specText.size()) + " bytes, more than the " + std::to_string(m_limits.rowBytes)
                       + " bytes that can be recorded",
                   Counter::PoolRefusedMalformed);
            return;
        }
        const std::string table(PoolRows::table);
        const std::string specKey = PoolRows::keyOf(PoolRows::specPrefix, exchange->job);
        const std::string progressKey = PoolRows::keyOf(PoolRows::progressPrefix, exchange->job);
        const OperatorRows operatorRows = Platform::operatorRows();
        TableTransaction transaction;
        transaction.changeId = "submit/" + exchange->job;
        transaction.checks = {{table, specKey, 0},
                              {table, exchange->earlyCancelKey, 0},
                              {operatorRows.table, operatorRows.configurationKey, m_mirror.operators().configurationRowVersion}};
        const std::string progressText = encodeGraphProgress(exchange->record.progress);
        transaction.writes = {{table, specKey, specText}, {table, progressKey, progressText}};
        commit(exchange, std::move(transaction),
               [this, exchange, table, specKey, progressKey, specText, progressText](const CommitResult &result, bool repeated) {
                   if (result.state == CommitState::Committed) {
                       m_mirror.adopt(
                           {{table, specKey, result.version, specText, false}, {table, progressKey, result.version, progressText, false}});
                       m_counters.add(Counter::PoolJobsAccepted);
                       accept(exchange);
                   } else {
                       onConflict(exchange, result, specKey, repeated);
                   }
               });
    }

    void onConflict(const ExchangePointer &exchange, const CommitResult &result, const std::string &specKey, bool repeated)
    {
        m_mirror.adopt(result.rows);
        if (findRow(result, specKey) != nullptr) {
            m_counters.add(repeated ? Counter::PoolJobsAccepted : Counter::PoolJobsRepeated);
            accept(exchange);
        } else if (findRow(result, exchange->earlyCancelKey) != nullptr) {
            refuse(exchange, CallOutcome::CancelledBefore, "the job was cancelled before it arrived", Counter::PoolRefusedCancelledBefore,
                   PoolTiming().retentionPeriod);
        } else if (++exchange->configurationChanges < maxConfigurationChanges) {
            process(exchange); // the configuration changed in between: validate against the new one
        } else {
            refuse(exchange, CallOutcome::NotReady, "configuration changed too often during the submission", Counter::PoolRefusedStale);
        }
    }

    static const TableRow *findRow(const CommitResult &result, const std::string &key)
    {
        const auto found = std::ranges::find_if(result.rows, [&](const TableRow &row) {
            return row.key == key && !row.erased;
        });
        return found == result.rows.end() ? nullptr : &*found;
    }

    void accept(const ExchangePointer &exchange)
    {
        CallAnswer accepted;
        accepted.outcome = CallOutcome::Accepted;
        answer(exchange, std::move(accepted));
    }

    /// Sends a transaction until its outcome is known and passes a commit or a conflict to `callback`. Refuses the call if the transaction
    /// had no effect, if the outcome remains unknown, or if this entry has no contact with the table service; another entry may have it.
    void commit(const ExchangePointer &exchange, TableTransaction transaction, typename RepeatedCommit<Platform>::Callback callback)
    {
        if (!m_mirror.hasContact(m_loop.now())) {
            refuse(exchange, CallOutcome::StoreUnavailable, "no recent answer from the table service", Counter::PoolRefusedStore);
            return;
        }
        const auto shouldGiveUp = [this, exchange](TimePoint now) {
            const Duration waited = now - exchange->receivedAt;
            return waited >= timeToAnswer(exchange->call)
                || (waited >= storeSilenceLimit && m_mirror.lastContactAt() < exchange->receivedAt);
        };
        RepeatedCommit<Platform>::send(
            m_loop, m_store, m_mirror.pace(), std::move(transaction), shouldGiveUp,
            [this, exchange, callback = std::move(callback)](const CommitResult &result, bool repeated) {
                switch (result.state) {
                case CommitState::Committed:
                case CommitState::Conflict:
                    m_mirror.recordContact();
                    callback(result, repeated);
                    return;
                case CommitState::NotSent:
                    refuse(exchange, CallOutcome::StoreUnavailable, "table service is not available", Counter::PoolRefusedStore);
                    return;
                case CommitState::Rejected:
                    refuse(exchange, CallOutcome::Malformed, "table service can't record this", Counter::PoolRefusedMalformed);
                    return;
                case CommitState::Unknown:
                    refuse(exchange, CallOutcome::Unsettled, "table service did not confirm the outcome in time", Counter::PoolUnsettled);
                    return;
                }
            });
    }

    // State and cancellation

    /// Answers a query, after a suspension of this process once the mirror has caught up. During an outage of the table service the mirror
    /// is used as it is.
    void answerFromMirror(const ExchangePointer &exchange)
    {
        const TimePoint now = m_loop.now();
        const Duration maxWait = std::min(maxMirrorWait, timeToAnswer(exchange->call));
        if (m_mirror.isPoolBehind(now) && now - exchange->receivedAt < maxWait) {
            m_loop.timers().subscribe(now + mirrorCheckInterval, [this, exchange](TimePoint) {
                answerFromMirror(exchange);
            });
            return;
        }
        if (exchange->job.empty()) {
            CallAnswer count;
            count.outcome = CallOutcome::Answered;
            count.pending = m_mirror.jobs().countPending(exchange->queue);
            answer(exchange, std::move(count));
        } else {
            lookUp(exchange);
        }
    }

    void lookUp(const ExchangePointer &exchange)
    {
        if (const GraphRecord *job = std::as_const(m_mirror.jobs()).find(exchange->job)) {
            onFound(exchange, *job);
            return;
        }
        if (!PoolRows::isJobId(exchange->job)) {
            answerUnknown(exchange);
            return;
        }
        const bool isCancellation = exchange->call.kind == CallKind::Cancel;
        const bool isFull = m_mirror.jobs().earlyCancellations().isFull(exchange->workspace);
        if (isCancellation && !isFull) {
            recordEarlyCancellation(exchange);
            return;
        }
        // Another entry may have accepted the job after the last update of the mirror.
        const std::string table(PoolRows::table);
        m_store.read(table, PoolRows::keyOf(PoolRows::specPrefix, exchange->job), [this, exchange](const RowResult &spec) {
            if (!spec.available) {
                refuse(exchange, CallOutcome::StoreUnavailable, "table service is not available", Counter::PoolRefusedStore);
                return;
            }
            if (spec.row) {
                readProgress(exchange, *spec.row);
            } else if (exchange->call.kind == CallKind::Cancel) {
                // Without a row the answer that no such job exists might become false.
                refuse(exchange, CallOutcome::Overloaded, "too many cancellations of unknown jobs of this workspace",
                       Counter::PoolRefusedEarlyCancellations, retryAfterFullTable);
            } else {
                answerUnknown(exchange);
            }
        });
    }

    void answerUnknown(const ExchangePointer &exchange)
    {
        CallAnswer unknown;
        unknown.outcome = CallOutcome::NoSuchJob;
        answer(exchange, std::move(unknown));
    }

    /// Records the cancellation of a job that is unknown here, unless the job exists.
    void recordEarlyCancellation(const ExchangePointer &exchange)
    {
        const std::string table(PoolRows::table);
        const std::string specKey = PoolRows::keyOf(PoolRows::specPrefix, exchange->job);
        const std::string text = encodeEarlyCancellation(exchange->workspace);
        TableTransaction transaction;
        transaction.changeId = "early-cancel/" + exchange->job;
        transaction.checks = {{table, specKey, 0}};
        transaction.writes = {{table, exchange->earlyCancelKey, text}};
        commit(exchange, std::move(transaction), [this, exchange, table, specKey, text](const CommitResult &result, bool) {
            if (result.state == CommitState::Committed) {
                m_mirror.adopt({{table, exchange->earlyCancelKey, result.version, text, false}});
                answerUnknown(exchange);
            } else if (const TableRow *spec = findRow(result, specKey)) {
                readProgress(exchange, *spec); // another entry has accepted the job
            } else {
                refuse(exchange, CallOutcome::StoreUnavailable, "the job's rows have changed meanwhile", Counter::PoolRefusedStore);
            }
        });
    }

    void readProgress(const ExchangePointer &exchange, const TableRow &spec)
    {
        const std::string key = PoolRows::keyOf(PoolRows::progressPrefix, exchange->job);
        m_store.read(std::string(PoolRows::table), key, [this, exchange, spec](const RowResult &progress) {
            if (!progress.available || !progress.row) {
                refuse(exchange, CallOutcome::StoreUnavailable, "table service is not available", Counter::PoolRefusedStore);
                return;
            }
            m_mirror.adopt({spec, *progress.row});
            const GraphRecord *job = std::as_const(m_mirror.jobs()).find(exchange->job);
            if (job == nullptr) {
                refuse(exchange, CallOutcome::StoreUnavailable, "the job's rows are unreadable", Counter::PoolRefusedStore);
                return;
            }
            onFound(exchange, *job);
        });
    }

    void onFound(const ExchangePointer &exchange, const GraphRecord &job)
    {
        if (exchange->call.kind == CallKind::Cancel && !hasEnded(job.publicState())) {
            cancel(exchange);
            return;
        }
        CallAnswer state;
        state.outcome = exchange->call.kind == CallKind::Cancel ? CallOutcome::Accepted : CallOutcome::Answered;
        state.state = job.publicState();
        answer(exchange, std::move(state));
    }

    void cancel(const ExchangePointer &exchange)
    {
        const std::string table(PoolRows::table);
        const std::string key = PoolRows::keyOf(PoolRows::cancelPrefix, exchange->job);
        TableTransaction transaction;
        transaction.changeId = "cancel/" + exchange->job;
        transaction.writes = {{table, key, "{}"}};
        commit(exchange, std::move(transaction), [this, exchange, table, key](const CommitResult &result, bool) {
            m_mirror.adopt({{table, key, result.version, "{}", false}});
            m_counters.add(Counter::PoolCancelsAccepted);
            accept(exchange);
        });
    }

    typename Platform::Loop &m_loop;
    typename Platform::Store &m_store;
    PoolMirror<Platform> &m_mirror;
    Duration m_staleLimit;
    Counters &m_counters;
    Latencies &m_latencies;
    TableLimits m_limits;
};

} // namespace banyanlock
