#pragma once

#include "core/Latencies.h"
#include "core/Log.h"
#include "pool/OwnerLag.h"
#include "poolhost/PoolMirror.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace banyanlock
{

/// Timing and limits of pool ownership.
struct OwnershipTiming {
    /// Time without a renewal after which another entry acquires the pool; four usual renewal intervals. An attempt that is too early,
    /// since changes arrived late, fails its check.
    Duration takeoverTimeout = fromMilliseconds(1200);
    Duration retryPause = fromMilliseconds(200); ///< Pause before a transaction or an attempt to acquire is repeated.
    Duration maxRetryPause = fromMilliseconds(800); ///< Limit of the pause, which doubles with each attempt that is not answered.
    Duration checkInterval = fromMilliseconds(250); ///< Poll interval of the owner's row while the pool can't be acquired.
    Duration candidacyDelay = fromMilliseconds(3000); ///< Time for which a stronger entry follows an owner before it asks for the pool, and
                                                      ///< for which an owner keeps a pool that it has acquired; longer than a takeover.
    Duration candidacyInterval = fromMilliseconds(10000); ///< Pause before it asks again.
    /// Maximum number of copies of a transaction in flight: one each 0.3 s of the 1.5 s answer timeout, so that a copy reaches the service
    /// soon after an outage.
    int maxCopies = 5;
};

/// Acquires and releases ownership of the pool and commits the owner's transactions, one at a time. Each transaction checks and rewrites
/// the owner's row.
///
/// A transaction without an answer is sent again unchanged. If an earlier copy has taken effect, the owner's row holds the number of that
/// transaction. A copy that arrives late fails its check, since the row's version has changed.
/// @tparam Platform Adapter of the platform.
template <PoolCorePlatform Platform> class PoolOwner
{
public:
    /// @param identity This entry.
    /// @param loop Event loop.
    /// @param store Table service.
    /// @param mirror Mirror of the rows.
    /// @param scheduler Scheduler of the pool.
    /// @param counters Counters.
    /// @param latencies Latencies.
    PoolOwner(EntryIdentity identity, typename Platform::Loop &loop, typename Platform::Store &store, PoolMirror<Platform> &mirror,
              PoolScheduler &scheduler, Counters &counters, Latencies &latencies)
        : m_identity(std::move(identity))
        , m_loop(loop)
        , m_store(store)
        , m_mirror(mirror)
        , m_scheduler(scheduler)
        , m_counters(counters)
        , m_latencies(latencies)
    {
    }

    /// Starts to poll the owner's row.
    void start()
    {
        scheduleCheck(m_loop.now() + m_timing.checkInterval);
    }

    /// Updates the ownership after the mirror has changed.
    /// @param now Current time.
    void onRows(TimePoint now)
    {
        const OwnerRow &row = m_mirror.owner();
        const bool mine = isMine(row);
        if (m_scheduler.isOwner() && !mine && m_drainRequested && row.owner.empty() && row.epoch == m_writtenRow.epoch) {
            release(); // the released row was read before the answer to the transaction arrived
        } else if (m_scheduler.isOwner() && !mine) {
            loseOwnership("the owner's row names another entry");
        } else if (!m_scheduler.isOwner() && mine && row.epoch == m_acquiredEpoch && !m_drainRequested) {
            // The mirror now holds this row and all rows that were written before it.
            m_scheduler.acquireOwnership(row.epoch, m_handedOver, now);
            m_mirror.setOwnsProgress(true);
            m_lastWrite = m_acquireSentAt; // the row may have been written long ago if this process was suspended
            m_ownedSince = now;
            m_counters.add(Counter::PoolOwnershipTaken);
            Log::info("ownership_taken", {{"epoch", static_cast<std::int64_t>(row.epoch)}});
        } else if (row.owner.empty() && m_mirror.ownerVersion() != m_vacantVersion) {
            m_vacantVersion = m_mirror.ownerVersion();
            scheduleCheck(now + delayOf(row)); // the previous owner released the pool
        }
    }

    /// Sends a due transaction: a batch of the scheduler, a renewal of the owner's row, a release, or a further copy.
    /// @param now Current time.
    void flush(TimePoint now)
    {
        if (m_scheduler.isSuperseded()) {
            loseOwnership("an agent has reported a newer owner");
        }
        if (!m_scheduler.isOwner()) {
            return;
        }
        considerCandidate(now);
        if (m_pendingTransaction) {
            // Further copies are safe: at most one takes effect, since each checks the version of the owner's row.
            const bool due
                = m_copies == 0 ? now >= m_retryAt : m_copies < m_timing.maxCopies && now - m_sentAt >= m_mirror.pace().hedgeDelay();
            if (due) {
                send(now);
            }
            return;
        }
        if (now < m_pausedUntil) {
            return;
        }
        std::optional<PoolBatch> batch = m_scheduler.takeBatch(now);
        // The next owner can order only starts that were recorded before; the ends that the last batch records are not lost with it.
        const bool release = isReleasing() && !(batch && batch->startsRuns);
        if (!batch && !release && now - m_lastWrite < m_mirror.pace().renewalInterval()) {
            return;
        }
        m_carriesBatch = batch.has_value();
        PoolBatch content = batch ? std::move(*batch) : PoolBatch();
        OwnerRow row = m_mirror.owner();
        ++row.writeNumber;
        row.earlierOwnersExpired = m_scheduler.earlierOwnersExpired(now);
        row.renewalMilliseconds = toMilliseconds(m_mirror.pace().renewalInterval());
        row.processors = m_identity.processors;
        row.lagMilliseconds = toMilliseconds(m_lag.value(now));
        if (release) {
            row.owner.clear();
            row.successor = m_successor;
            m_releaseReplaces = m_mirror.ownerVersion();
            Log::info("release_sent", {{"epoch", static_cast<std::int64_t>(row.epoch)}, {"successor", m_successor}});
        }
        m_writtenRow = row;
        TableTransaction transaction;
        transaction.changeId = m_identity.name + "/" + std::to_string(row.epoch) + "/" + std::to_string(row.writeNumber);
        transaction.checks = std::move(content.checks);
        transaction.checks.push_back({std::string(PoolRows::table), std::string(PoolRows::ownerKey), m_mirror.ownerVersion()});
        transaction.writes = std::move(content.writes);
        transaction.writes.push_back({std::string(PoolRows::table), std::string(PoolRows::ownerKey), encodeOwnerRow(row)});
        m_pendingTransaction = std::move(transaction);
        ++m_transactionNumber;
        m_copies = 0;
        send(now);
    }

    /// @param now Current time.
    /// @return Whether the owner may renew leases: its last committed transaction is recent enough, and it can't have released the pool.
    bool mayRenew(TimePoint now) const
    {
        return !mayHaveReleased() && now - m_lastWrite < m_scheduler.detachedLimit();
    }

    /// Records how long an answer of an agent has waited until it was handled.
    /// @param delay The time.
    /// @param now Current time.
    void recordLag(Duration delay, TimePoint now)
    {
        m_latencies.record(Latency::OwnerLag, delay);
        m_lag.record(delay, now);
    }

    /// Releases the pool after the pending batches and does not acquire it again.
    void drain()
    {
        m_drainRequested = true;
        m_scheduler.stopPlacing();
    }

    /// @return Whether the pool is not owned and no attempt to acquire it is in flight.
    bool isDrained() const
    {
        return !m_scheduler.isOwner() && !m_acquiring;
    }

private:
    bool isMine(const OwnerRow &row) const
    {
        return row.owner == m_identity.name && row.incarnation == m_identity.incarnation;
    }

    bool isReleasing() const
    {
        return m_drainRequested || !m_successor.empty();
    }

    /// @return Whether a release has been sent of which any copy may still take effect. The next owner takes the released row as proof that
    /// this one renews nothing. Only a newer version of the row that still names this entry shows that all copies fail their check.
    bool mayHaveReleased() const
    {
        return m_releaseReplaces == m_mirror.ownerVersion();
    }

    /// Hands the pool over to a stronger entry that asks for it.
    void considerCandidate(TimePoint now)
    {
        const OwnerCandidate &candidate = m_mirror.candidate();
        if (isReleasing() || candidate.epoch != m_mirror.owner().epoch || candidate.name.empty() || candidate.name == m_identity.name
            || !isClearlyStronger(candidate.processors, m_identity.processors) || now - m_ownedSince < m_timing.candidacyDelay) {
            return;
        }
        m_successor = candidate.name;
        m_scheduler.stopPlacing();
        Log::info("hand_over",
                  {{"successor", candidate.name}, {"processors", m_identity.processors}, {"successor_processors", candidate.processors}});
    }

    /// Asks the owner for the pool if this entry is clearly stronger.
    void announceCandidacy(const OwnerRow &row, TimePoint now)
    {
        const OwnerCandidate &candidate = m_mirror.candidate();
        const bool othersAsk = candidate.epoch == row.epoch && candidate.processors >= m_identity.processors;
        if (row.owner.empty() || !isClearlyStronger(m_identity.processors, row.processors) || now < m_nextCandidacy
            || (othersAsk && now < m_nextCandidacy + m_timing.candidacyInterval)) {
            return;
        }
        m_nextCandidacy = now + m_timing.candidacyInterval;
        Log::info("candidacy", {{"owner", row.owner}, {"processors", m_identity.processors}, {"owner_processors", row.processors}});
        TableTransaction transaction;
        transaction.changeId = m_identity.name + "/ask/" + std::to_string(row.epoch);
        transaction.checks.push_back({std::string(PoolRows::table), std::string(PoolRows::candidateKey), m_mirror.candidateVersion()});
        transaction.writes.push_back({std::string(PoolRows::table), std::string(PoolRows::candidateKey),
                                      encodeOwnerCandidate({m_identity.name, m_identity.incarnation, row.epoch, m_identity.processors})});
        m_store.commit(transaction, [this](const CommitResult &result) {
            m_mirror.adopt(result.rows);
        });
    }

    void release()
    {
        Log::info("ownership_released", {{"epoch", static_cast<std::int64_t>(m_writtenRow.epoch)}});
        resetOwnership();
    }

    void loseOwnership(const char *reason)
    {
        Log::warning("ownership_lost", {{"reason", std::string(reason)}});
        m_counters.add(Counter::PoolOwnershipLost);
        m_acquiredEpoch = 0; // the mirrored row may still name this entry
        resetOwnership();
    }

    void resetOwnership()
    {
        m_pendingTransaction.reset();
        m_successor.clear();
        m_releaseReplaces.reset();
        m_scheduler.releaseOwnership();
        m_mirror.setOwnsProgress(false);
    }

    void scheduleCheck(TimePoint when)
    {
        m_loop.timers().cancel(m_checkTimer);
        m_checkAt = when;
        m_checkTimer = m_loop.timers().subscribe(when, [this](TimePoint now) {
            m_checkAt = now + m_timing.checkInterval;
            checkOwnership(now);
            scheduleCheck(m_checkAt);
        });
    }

    void checkOwnership(TimePoint now)
    {
        if (m_scheduler.isOwner() || m_drainRequested || m_acquiring || !m_mirror.isLoaded() || now < m_retryAt) {
            return;
        }
        const OwnerRow &row = m_mirror.owner();
        constexpr Duration maxRowAge = fromMilliseconds(1500); // a follow request waits at most 1 s
        if (now - m_mirror.poolCurrentAsOf() > maxRowAge) {
            m_isFollowing = m_isFollowing && m_mirror.hasContact(now);
            return;
        }
        if (!m_isFollowing || row.epoch != m_followedEpoch) {
            m_followingSince = m_isFollowing ? m_followingSince : now;
            m_isFollowing = true;
            m_followedEpoch = row.epoch;
            m_nextCandidacy = now + m_timing.candidacyDelay + delayOf(row);
        }
        // A restarted entry doesn't wait for its previous process.
        const bool vacant = row.owner.empty() || row.owner == m_identity.name;
        const Duration silence = now - (row.epoch == 0 ? m_followingSince : m_mirror.ownerSeenAt());
        const Duration due = (vacant ? Duration::zero() : silenceLimit(row)) + delayOf(row);
        if (silence < due) {
            announceCandidacy(row, now);
            m_checkAt = std::min(m_checkAt, now + (due - silence));
            return;
        }
        tryAcquire(row, silence);
    }

    Duration delayOf(const OwnerRow &row) const
    {
        // A stronger entry that has asked for the pool is preferred as well.
        OwnerRow reference = row;
        if (m_mirror.candidate().epoch == row.epoch) {
            reference.processors = std::max(row.processors, m_mirror.candidate().processors);
        }
        return attemptDelay(m_identity, reference);
    }

    Duration silenceLimit(const OwnerRow &row) const
    {
        // An owner renews less often while the table service is slow, and its row states the interval.
        constexpr int renewals = 2;
        const Duration extra = fromMilliseconds(row.renewalMilliseconds) - StorePace::usualRenewalInterval();
        return m_timing.takeoverTimeout + renewals * std::max(extra, Duration::zero());
    }

    void tryAcquire(const OwnerRow &row, Duration silence)
    {
        OwnerRow next;
        next.owner = m_identity.name;
        next.incarnation = m_identity.incarnation;
        next.epoch = m_mirror.nextEpoch();
        next.earlierOwnersExpired = row.owner.empty() && row.earlierOwnersExpired;
        next.renewalMilliseconds = row.renewalMilliseconds;
        next.processors = m_identity.processors;
        Log::info(
            "ownership_attempt",
            {{"epoch", static_cast<std::int64_t>(next.epoch)}, {"previous_owner", row.owner}, {"silent_ms", toMilliseconds(silence)}});
        TableTransaction transaction;
        transaction.changeId = m_identity.name + "/take/" + std::to_string(next.epoch);
        transaction.checks.push_back({std::string(PoolRows::table), std::string(PoolRows::ownerKey), m_mirror.ownerVersion()});
        transaction.writes.push_back({std::string(PoolRows::table), std::string(PoolRows::ownerKey), encodeOwnerRow(next)});
        m_acquiring = true;
        if (m_acquiredEpoch != next.epoch) {
            m_acquireSentAt = m_loop.now();
        }
        m_acquiredEpoch = next.epoch;
        m_handedOver = next.earlierOwnersExpired;
        m_store.commit(transaction, [this](const CommitResult &result) {
            m_acquiring = false;
            const bool answered = result.state == CommitState::Committed || result.state == CommitState::Conflict;
            m_acquireRetryPause = answered ? m_timing.retryPause : std::min(2 * m_acquireRetryPause, m_timing.maxRetryPause);
            m_retryAt = m_loop.now() + m_acquireRetryPause;
            // The ownership depends on the mirrored row, whatever the answer.
            m_mirror.adopt(result.rows);
        });
    }

    void send(TimePoint now)
    {
        ++m_copies;
        m_sentAt = now;
        m_store.commit(*m_pendingTransaction, [this, sentAt = now, number = m_transactionNumber](const CommitResult &result) {
            m_latencies.record(Latency::OwnerTransaction, m_loop.now() - sentAt);
            if (result.state == CommitState::Committed || result.state == CommitState::Conflict) {
                m_mirror.pace().record(m_loop.now() - sentAt);
            }
            if (number == m_transactionNumber && m_pendingTransaction && m_scheduler.isOwner()) {
                --m_copies;
                onResult(result, sentAt);
            }
        });
    }

    void onResult(const CommitResult &result, TimePoint sentAt)
    {
        const TimePoint now = m_loop.now();
        switch (result.state) {
        case CommitState::Committed:
            finish(result.version, sentAt, now);
            return;
        case CommitState::Conflict:
            onConflict(result, sentAt, now);
            return;
        case CommitState::Rejected:
            onRejected(now);
            return;
        case CommitState::NotSent:
        case CommitState::Unknown:
            m_retryAt = now + m_timing.retryPause;
            return;
        }
    }

    /// Goes on without what the table service can't record, so that it holds up nothing else and the owner's row is renewed.
    void onRejected(TimePoint now)
    {
        m_counters.add(Counter::StoreRejections);
        m_pendingTransaction.reset();
        if (!m_carriesBatch || m_writtenRow.owner.empty()) {
            m_pausedUntil = now + m_timing.retryPause;
        }
        if (m_carriesBatch) {
            m_scheduler.onRejected(now);
        }
    }

    void finish(std::uint64_t version, TimePoint sentAt, TimePoint now)
    {
        m_mirror.adopt({{std::string(PoolRows::table), std::string(PoolRows::ownerKey), version, encodeOwnerRow(m_writtenRow), false}});
        m_pendingTransaction.reset();
        m_lastWrite = sentAt;
        if (m_writtenRow.owner.empty()) {
            release();
            return;
        }
        if (m_carriesBatch) {
            m_scheduler.onCommitted(now);
        }
    }

    void onConflict(const CommitResult &result, TimePoint sentAt, TimePoint now)
    {
        const auto found = std::ranges::find(result.rows, std::string(PoolRows::ownerKey), &TableRow::key);
        if (found == result.rows.end()) {
            loseOwnership("the owner's row does not exist");
            return;
        }
        const std::optional<OwnerRow> present = decodeOwnerRow(found->value, found->version);
        if (present && *present == m_writtenRow) {
            m_mirror.adopt(result.rows);
            finish(found->version, sentAt, now); // an earlier copy has taken effect
            return;
        }
        m_mirror.adopt(result.rows);
        if (!present || present->epoch != m_writtenRow.epoch || !isMine(*present)) {
            loseOwnership("another entry has acquired the pool");
            return;
        }
        m_counters.add(Counter::StoreConflicts);
        m_pendingTransaction.reset();
        if (m_carriesBatch) {
            m_scheduler.onConflict();
        }
    }

    EntryIdentity m_identity;
    OwnershipTiming m_timing;
    typename Platform::Loop &m_loop;
    typename Platform::Store &m_store;
    PoolMirror<Platform> &m_mirror;
    PoolScheduler &m_scheduler;
    Counters &m_counters;
    Latencies &m_latencies;
    std::optional<TableTransaction> m_pendingTransaction; // sent repeatedly until its outcome is known
    OwnerRow m_writtenRow;
    bool m_carriesBatch = false;
    bool m_acquiring = false; // an attempt to acquire the pool is in flight
    std::uint64_t m_transactionNumber = 0; // sequence number; all copies of a transaction share it
    int m_copies = 0; // copies of the pending transaction in flight
    TimePoint m_sentAt{}; // of the newest copy
    bool m_drainRequested = false;
    std::optional<std::uint64_t> m_releaseReplaces; // version of the owner's row that the newest release checks; none was sent
    std::string m_successor; // stronger entry that the pool is being handed over to; empty for none
    TimePoint m_ownedSince{};
    OwnerLag m_lag;
    bool m_isFollowing = false; // in contact with the table service
    TimePoint m_followingSince{};
    std::uint64_t m_followedEpoch = 0;
    TimePoint m_nextCandidacy{};
    std::uint64_t m_acquiredEpoch = 0;
    TimePoint m_acquireSentAt{}; // of the first attempt with that epoch
    bool m_handedOver = false; // the previous owner had released the pool
    TimePoint m_lastWrite{};
    TimePoint m_retryAt{};
    TimePoint m_pausedUntil{}; // after a rejected transaction without a batch
    Duration m_acquireRetryPause = m_timing.retryPause; // pause after the next failed attempt to acquire
    std::uint64_t m_vacantVersion = 0; // version of the newest processed row without an owner
    TimerId m_checkTimer{};
    TimePoint m_checkAt{}; // expiry of the timer
};

} // namespace banyanlock
