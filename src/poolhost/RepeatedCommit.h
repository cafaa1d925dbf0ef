#pragma once

#include "poolhost/PoolPlatform.h"
#include "poolhost/StorePace.h"

#include <functional>
#include <memory>
#include <utility>

namespace banyanlock
{

/// A transaction of a caller's call, sent repeatedly until its outcome is known.
///
/// The transaction must be idempotent or guarded by checks that let at most one copy take effect. Further copies are sent while earlier
/// ones have no answer, since an answer may be lost, or a connection may be unresponsive while a new one works.
/// @tparam Platform Adapter of the platform.
template <PoolCorePlatform Platform> class RepeatedCommit : public std::enable_shared_from_this<RepeatedCommit<Platform>>
{
public:
    /// Receives the outcome, and whether an earlier copy may have taken effect before the answered one.
    using Callback = std::function<void(const CommitResult &, bool)>;

    /// Sends a transaction.
    /// @param loop Event loop.
    /// @param store Table service.
    /// @param pace Latency estimate of the table service; updated by each answer.
    /// @param transaction Transaction to send.
    /// @param shouldGiveUp Returns whether to give up at the given time; called at each check.
    /// @param callback Called once: with `NotSent` if no copy took effect, with `Unknown` if the sender gave up.
    static void send(typename Platform::Loop &loop, typename Platform::Store &store, StorePace &pace, TableTransaction transaction,
                     std::function<bool(TimePoint)> shouldGiveUp, Callback callback)
    {
        std::shared_ptr<RepeatedCommit> commit(
            new RepeatedCommit(loop, store, pace, std::move(transaction), std::move(shouldGiveUp), std::move(callback)));
        commit->sendCopy();
        commit->scheduleCheck();
    }

private:
    static constexpr Duration checkInterval = fromMilliseconds(100); // a third of the shortest time between two copies
    static constexpr int maxCopies = 5; // in flight at once: one each 0.3 s of the 1.5 s answer timeout

    RepeatedCommit(typename Platform::Loop &loop, typename Platform::Store &store, StorePace &pace, TableTransaction transaction,
                   std::function<bool(TimePoint)> shouldGiveUp, Callback callback)
        : m_loop(loop)
        , m_store(store)
        , m_pace(pace)
        , m_transaction(std::move(transaction))
        , m_shouldGiveUp(std::move(shouldGiveUp))
        , m_callback(std::move(callback))
    {
    }

    void sendCopy()
    {
        ++m_inFlight;
        ++m_copies;
        m_sentAt = m_loop.now();
        m_store.commit(m_transaction, [self = this->shared_from_this(), sentAt = m_loop.now()](const CommitResult &result) {
            if (result.state == CommitState::Committed || result.state == CommitState::Conflict) {
                self->m_pace.record(self->m_loop.now() - sentAt);
            }
            self->onResult(result);
        });
    }

    void scheduleCheck()
    {
        m_loop.timers().subscribe(m_loop.now() + checkInterval, [self = this->shared_from_this()](TimePoint now) {
            self->onTimer(now);
        });
    }

    void onTimer(TimePoint now)
    {
        if (m_done) {
            return;
        }
        if (m_shouldGiveUp(now)) {
            finish(CommitResult());
            return;
        }
        if (m_inFlight == 0 || (m_inFlight < maxCopies && now - m_sentAt >= m_pace.hedgeDelay())) {
            sendCopy();
        }
        scheduleCheck();
    }

    void onResult(const CommitResult &result)
    {
        --m_inFlight;
        switch (result.state) {
        case CommitState::Committed:
        case CommitState::Conflict:
        case CommitState::Rejected:
            finish(result);
            return;
        case CommitState::NotSent:
            if (m_inFlight == 0 && !m_maybeCommitted) {
                finish(result);
            }
            return;
        case CommitState::Unknown:
            m_maybeCommitted = true;
            return;
        }
    }

    void finish(const CommitResult &result)
    {
        if (!std::exchange(m_done, true)) {
            m_callback(result, m_copies > 1);
        }
    }

    typename Platform::Loop &m_loop;
    typename Platform::Store &m_store;
    StorePace &m_pace;
    TableTransaction m_transaction;
    std::function<bool(TimePoint)> m_shouldGiveUp;
    Callback m_callback;
    int m_inFlight = 0;
    int m_copies = 0;
    TimePoint m_sentAt{}; // of the newest copy
    bool m_maybeCommitted = false; // a copy ended with an unknown outcome
    bool m_done = false;
};

} // namespace banyanlock
