#include "PoolWorld.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration answerLimit = fromMilliseconds(1000);
constexpr Duration transactionLimit = fromMilliseconds(1500); // as the adapter's client waits

} // namespace

VirtualStore::VirtualStore(VirtualLoop &loop, VirtualRows &rows, Random &random)
    : m_loop(&loop)
    , m_rows(&rows)
    , m_random(&random)
{
}

Duration VirtualStore::delay()
{
    return fromMilliseconds(2 + m_random->below(25));
}

void VirtualStore::later(Duration span, std::function<void()> event)
{
    m_loop->after(span, [alive = m_alive, event = std::move(event)] {
        if (*alive) {
            event();
        }
    });
}

void VirtualStore::commit(const TableTransaction &transaction, std::function<void(CommitResult)> callback)
{
    later(delay(), [this, transaction, callback = std::move(callback)] {
        if (m_silent) {
            later(transactionLimit, [callback] {
                callback(CommitResult());
            });
            return;
        }
        if (isAway()) {
            later(m_random->chance(0.5) ? delay() : transactionLimit, [callback] {
                CommitResult result;
                result.state = CommitState::NotSent;
                callback(result);
            });
            return;
        }
        if (m_rows->transactionTime > Duration::zero()) {
            commitInTurn(transaction, callback);
            return;
        }
        const bool late = m_random->chance(m_rows->lateWrites);
        if (late) {
            later(fromMilliseconds(1000 + m_random->below(4000)), [this, transaction] {
                m_rows->commit(transaction);
            });
        }
        const CommitResult result = late ? CommitResult() : m_rows->commit(transaction);
        if (late || m_random->chance(m_rows->lostAnswers)) {
            later(transactionLimit, [callback] {
                callback(CommitResult());
            });
            return;
        }
        later(delay(), [callback, result] {
            callback(result);
        });
    });
}

void VirtualStore::commitInTurn(const TableTransaction &transaction, const std::function<void(CommitResult)> &callback)
{
    constexpr Duration longestQueue = fromMilliseconds(1000);
    const TimePoint now = m_loop->now();
    m_rows->busyUntil = std::max(m_rows->busyUntil, now);
    if (m_rows->busyUntil - now > longestQueue) {
        later(delay(), [callback] {
            CommitResult refused;
            refused.state = CommitState::NotSent;
            callback(refused);
        });
        return;
    }
    m_rows->busyUntil += m_rows->transactionTime;
    later(m_rows->busyUntil - now, [this, transaction, callback] {
        const CommitResult result = m_rows->commit(transaction);
        later(delay(), [callback, result] {
            callback(result);
        });
    });
}

void VirtualStore::read(const std::string &table, const std::string &key, std::function<void(RowResult)> callback)
{
    later(delay(), [this, table, key, callback = std::move(callback)] {
        RowResult result;
        result.available = !isAway();
        const auto found = m_rows->rows.find({table, key});
        if (result.available && found != m_rows->rows.end() && !found->second.erased) {
            result.row = found->second;
        }
        later(delay(), [callback, result] {
            callback(result);
        });
    });
}

void VirtualStore::readTable(const std::string &table, std::function<void(ScanResult)> callback)
{
    later(delay(), [this, table, callback = std::move(callback)] {
        ScanResult result;
        result.available = !isAway();
        result.version = m_rows->version;
        for (const auto &[key, row] : m_rows->rows) {
            if (result.available && row.table == table && !row.erased) {
                result.rows.push_back(row);
            }
        }
        later(delay(), [callback, result] {
            callback(result);
        });
    });
}

void VirtualStore::follow(const std::string &table, std::uint64_t after, Duration wait, std::function<void(FollowResult)> callback)
{
    later(delay(), [this, table, after, wait, callback = std::move(callback)] {
        answerFollow(table, after, m_loop->now() + wait, callback);
    });
}

void VirtualStore::answerFollow(const std::string &table, std::uint64_t after, TimePoint until,
                                const std::function<void(FollowResult)> &callback)
{
    FollowResult result;
    if (!isAway()) {
        result.state = after < m_rows->historyFrom ? FollowState::HistoryLost : FollowState::UpToDate;
        result.version = m_rows->version;
        if (result.state == FollowState::UpToDate) {
            result.rows = m_rows->changedAfter(table, after);
        }
    }
    if (m_silent) {
        later(answerLimit, [callback] {
            callback(FollowResult());
        });
        return;
    }
    constexpr Duration look = fromMilliseconds(10);
    if (result.state == FollowState::UpToDate && result.rows.empty() && m_loop->now() < until) {
        later(look, [this, table, after, until, callback] {
            answerFollow(table, after, until, callback);
        });
        return;
    }
    later(delay(), [callback, result] {
        callback(result);
    });
}

} // namespace banyanlock
