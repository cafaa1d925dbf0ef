#pragma once

#include "poolhost/PoolPlatform.h"

#include <functional>
#include <memory>
#include <utility>

namespace banyanlock
{

/// A transaction of a caller's call that is sent until its outcome is known.
///
/// It must be one that may take effect once at most, or does no harm when it takes effect again. A copy is sent while earlier ones have no
/// answer: an answer may be lost, and a connection may have gone silent while a new one works.
/// @tparam Platform Adapter of the platform.
template <PoolBackground Platform> class RepeatedCommit : public std::enable_shared_from_this<RepeatedCommit<Platform>>
{
public:
    /// Tells the outcome, and whether an earlier copy may have taken effect before the one that was answered.
    using Callback = std::function<void(const CommitResult &, bool)>;

    /// Sends a transaction.
    /// @param loop Event loop.
    /// @param store Table service.
    /// @param transaction What to send.
    /// @param givesUp Whether to give up at a time; asked before each further copy.
    /// @param callback Called once: `NotSent` when surely nothing was done, `Unknown` when it was given up.
    static void send(typename Platform::Loop &loop, typename Platform::Store &store, TableTransaction transaction,
                     std::function<bool(TimePoint)> givesUp, Callback callback)
    {
        std::shared_ptr<RepeatedCommit> commit(
            new RepeatedCommit(loop, store, std::move(transaction), std::move(givesUp), std::move(callback)));
        commit->sendCopy();
        commit->arm();
    }

private:
    static constexpr Duration hedge = fromMilliseconds(300); // a slow store answers within 250 ms
    static constexpr int mostCopies = 3; // under way at once; three lost in a row are rare even if a third is

    RepeatedCommit(typename Platform::Loop &loop, typename Platform::Store &store, TableTransaction transaction,
                   std::function<bool(TimePoint)> givesUp, Callback callback)
        : m_loop(loop)
        , m_store(store)
        , m_transaction(std::move(transaction))
        , m_givesUp(std::move(givesUp))
        , m_callback(std::move(callback))
    {
    }

    void sendCopy()
    {
        ++m_outstanding;
        ++m_copies;
        m_store.commit(m_transaction, [self = this->shared_from_this()](const CommitResult &result) {
            self->onResult(result);
        });
    }

    void arm()
    {
        m_loop.timers().subscribe(m_loop.now() + hedge, [self = this->shared_from_this()](TimePoint now) {
            self->onTimer(now);
        });
    }

    void onTimer(TimePoint now)
    {
        if (m_done) {
            return;
        }
        if (m_givesUp(now)) {
            finish(CommitResult());
            return;
        }
        if (m_outstanding < mostCopies) {
            sendCopy();
        }
        arm();
    }

    void onResult(const CommitResult &result)
    {
        --m_outstanding;
        switch (result.state) {
        case CommitState::Committed:
        case CommitState::Conflict:
            finish(result);
            return;
        case CommitState::NotSent:
            if (m_outstanding == 0 && !m_maybeDone) {
                finish(result);
            }
            return;
        case CommitState::Unknown:
            m_maybeDone = true;
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
    TableTransaction m_transaction;
    std::function<bool(TimePoint)> m_givesUp;
    Callback m_callback;
    int m_outstanding = 0;
    int m_copies = 0;
    bool m_maybeDone = false; // a copy has ended without an outcome
    bool m_done = false;
};

} // namespace banyanlock
