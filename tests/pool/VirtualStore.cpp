#include "PoolWorld.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration followTimeout = fromMilliseconds(1000);
constexpr Duration transactionTimeout = fromMilliseconds(1500); // equal to the timeout of the adapter's client

} // namespace

VirtualStore::VirtualStore(VirtualLoop &loop, VirtualTableService &tableService, Random &random)
    : m_loop(&loop)
    , m_tableService(&tableService)
    , m_random(&random)
{
}

Duration VirtualStore::delay()
{
    return fromMilliseconds(2 + m_random->below(25));
}

void VirtualStore::schedule(Duration span, std::function<void()> event)
{
    m_loop->after(span, [alive = m_alive, event = std::move(event)] {
        if (*alive) {
            event();
        }
    });
}

template <typename Answer> void VirtualStore::deliver(const Answer &answer, Duration timeout, const std::function<void(Answer)> &callback)
{
    schedule(delay(), [this, answer, timeout, callback] {
        if (!m_unresponsive) {
            callback(answer);
            return;
        }
        schedule(timeout, [callback] {
            callback(Answer());
        });
    });
}

void VirtualStore::commit(const TableTransaction &transaction, std::function<void(CommitResult)> callback)
{
    schedule(delay(), [this, transaction, callback = std::move(callback)] {
        if (m_heldUp) {
            m_heldTransactions.push_back(transaction);
        }
        if (m_unresponsive || m_heldUp) {
            schedule(transactionTimeout, [callback] {
                callback(CommitResult());
            });
            return;
        }
        if (isUnreachable()) {
            schedule(m_random->chance(0.5) ? delay() : transactionTimeout, [callback] {
                CommitResult result;
                result.state = CommitState::NotSent;
                callback(result);
            });
            return;
        }
        if (m_tableService->transactionDuration > Duration::zero()) {
            commitQueued(transaction, callback);
            return;
        }
        const bool late = m_random->chance(m_tableService->lateCommitRate);
        if (late) {
            schedule(fromMilliseconds(1000 + m_random->below(4000)), [this, transaction] {
                m_tableService->commit(transaction);
            });
        }
        const CommitResult result = late ? CommitResult() : m_tableService->commit(transaction);
        if (late || m_random->chance(m_tableService->lostAnswerRate)) {
            schedule(transactionTimeout, [callback] {
                callback(CommitResult());
            });
            return;
        }
        deliver(result, transactionTimeout, callback);
    });
}

void VirtualStore::setHeldUp(bool heldUp)
{
    m_heldUp = heldUp;
    if (!heldUp) {
        for (const TableTransaction &transaction : std::exchange(m_heldTransactions, {})) {
            m_tableService->commit(transaction);
        }
    }
}

void VirtualStore::commitQueued(const TableTransaction &transaction, const std::function<void(CommitResult)> &callback)
{
    constexpr Duration maxQueueDelay = fromMilliseconds(1000);
    const TimePoint now = m_loop->now();
    m_tableService->busyUntil = std::max(m_tableService->busyUntil, now);
    if (m_tableService->busyUntil - now > maxQueueDelay) {
        schedule(delay(), [callback] {
            CommitResult rejected;
            rejected.state = CommitState::NotSent;
            callback(rejected);
        });
        return;
    }
    m_tableService->busyUntil += m_tableService->transactionDuration;
    schedule(m_tableService->busyUntil - now, [this, transaction, callback] {
        deliver(m_tableService->commit(transaction), transactionTimeout, callback);
    });
}

void VirtualStore::read(const std::string &table, const std::string &key, std::function<void(RowResult)> callback)
{
    schedule(delay(), [this, table, key, callback = std::move(callback)] {
        RowResult result;
        result.available = !isUnreachable();
        const auto found = m_tableService->rows.find({table, key});
        if (result.available && found != m_tableService->rows.end() && !found->second.erased) {
            result.row = found->second;
        }
        schedule(delay(), [callback, result] {
            callback(result);
        });
    });
}

void VirtualStore::readTable(const std::string &table, std::function<void(ScanResult)> callback)
{
    schedule(delay(), [this, table, callback = std::move(callback)] {
        ScanResult result;
        result.available = !isUnreachable();
        result.version = m_tableService->version;
        for (const auto &[key, row] : m_tableService->rows) {
            if (result.available && row.table == table && !row.erased) {
                result.rows.push_back(row);
            }
        }
        schedule(delay(), [callback, result] {
            callback(result);
        });
    });
}

void VirtualStore::follow(const std::string &table, std::uint64_t after, Duration wait, std::function<void(FollowResult)> callback)
{
    schedule(delay(), [this, table, after, wait, callback = std::move(callback)] {
        answerFollow(table, after, m_loop->now() + wait, callback);
    });
}

void VirtualStore::answerFollow(const std::string &table, std::uint64_t after, TimePoint deadline,
                                const std::function<void(FollowResult)> &callback)
{
    FollowResult result;
    if (!isUnreachable()) {
        result.state = after < m_tableService->historyFrom ? FollowState::HistoryLost : FollowState::UpToDate;
        result.version = m_tableService->version;
        if (result.state == FollowState::UpToDate) {
            result.rows = m_tableService->changedAfter(table, after);
        }
    }
    if (m_unresponsive) {
        schedule(followTimeout, [callback] {
            callback(FollowResult());
        });
        return;
    }
    constexpr Duration pollInterval = fromMilliseconds(10);
    if (result.state == FollowState::UpToDate && result.rows.empty() && m_loop->now() < deadline) {
        schedule(pollInterval, [this, table, after, deadline, callback] {
            answerFollow(table, after, deadline, callback);
        });
        return;
    }
    deliver(result, followTimeout, callback);
}

} // namespace banyanlock
