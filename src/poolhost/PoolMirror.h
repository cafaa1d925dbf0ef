#pragma once

#include "core/Endpoint.h"
#include "core/Log.h"
#include "pool/GraphTable.h"
#include "pool/OwnerCandidate.h"
#include "pool/OwnerRow.h"
#include "pool/PoolScheduler.h"
#include "poolhost/PoolPlatform.h"
#include "poolhost/StorePace.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyanlock
{

/// In-memory mirror of the pool's table and the operators' table, kept up to date by following their changes.
/// @tparam Platform Adapter of the platform.
template <PoolCorePlatform Platform> class PoolMirror
{
public:
    /// @param store Table service.
    /// @param loop Event loop.
    /// @param counters Counters.
    PoolMirror(typename Platform::Store &store, typename Platform::Loop &loop, Counters &counters)
        : m_store(store)
        , m_loop(loop)
        , m_counters(counters)
        , m_operatorRows(Platform::operatorRows())
    {
        m_poolTable.table = PoolRows::table;
        m_operatorTable.table = m_operatorRows.table;
    }

    /// Starts to read both tables and then to follow their changes.
    void start()
    {
        readTable(m_poolTable);
        readTable(m_operatorTable);
    }

    /// @return All jobs.
    GraphTable &jobs()
    {
        return m_jobs;
    }

    /// @return Configuration and failure domains out of service, as the operators' rows give them.
    const OperatorView &operators() const
    {
        return m_operators;
    }

    /// @return RPC addresses of the registered agents whose rows were not erased.
    const std::set<std::string> &agents() const
    {
        return m_agents;
    }

    /// @return Owner's row.
    const OwnerRow &owner() const
    {
        return m_owner;
    }

    /// @return Version of the owner's row; zero if there is none.
    std::uint64_t ownerVersion() const
    {
        return m_ownerErased ? 0 : m_ownerVersion;
    }

    /// @return The entry that asks for the pool; without a name if none does.
    const OwnerCandidate &candidate() const
    {
        return m_candidate;
    }

    /// @return Version of the candidate's row; zero if there is none.
    std::uint64_t candidateVersion() const
    {
        return m_candidateErased ? 0 : m_candidateVersion;
    }

    /// @return Epoch of the next owner. Above the versions of the row, it exceeds all earlier ones, even if another writer has changed the
    /// row.
    std::uint64_t nextEpoch() const
    {
        return m_ownerVersion + 1;
    }

    /// @return Time of the last observed change of the owner's row, or of the end of the last table service outage if that is later.
    TimePoint ownerSeenAt() const
    {
        return m_ownerSeenAt;
    }

    /// @return Whether both tables have been read and hold a configuration.
    bool isLoaded() const
    {
        return m_poolTable.loaded && m_operatorTable.loaded && m_operators.configuration.version != 0;
    }

    /// @return Time up to which the mirror of the operators' rows is known to be current.
    TimePoint operatorsCurrentAsOf() const
    {
        return m_operatorTable.currentAsOf;
    }

    /// @return Time up to which the mirror of the pool's rows is known to be current.
    TimePoint poolCurrentAsOf() const
    {
        return m_poolTable.currentAsOf;
    }

    /// @param now Current time.
    /// @return Whether the change feed of the pool's rows has been silent beyond the contact limit without a known outage, as after a
    /// suspension of this process: the rows may have changed long ago, and the feed will tell soon.
    bool isPoolBehind(TimePoint now) const
    {
        constexpr std::uint32_t failuresOfOutage = 2; // one request may have timed out during the suspension
        return m_poolTable.loaded && now - m_poolTable.answeredAt >= contactLimit && m_poolTable.failuresInRow < failuresOfOutage;
    }

    /// @param now Current time.
    /// @return Whether the table service has answered this entry within the contact limit.
    bool hasContact(TimePoint now) const
    {
        return now - m_lastContactAt < contactLimit;
    }

    /// @return Estimate of the table service's transaction latency.
    StorePace &pace()
    {
        return m_pace;
    }

    /// @return Time of the table service's last answer to this entry.
    TimePoint lastContactAt() const
    {
        return m_lastContactAt;
    }

    /// Records that the table service has answered now.
    void recordContact()
    {
        m_lastContactAt = m_loop.now();
    }

    /// Sets whether this entry owns the pool and so writes the progress of jobs.
    /// @param owns Whether it does.
    void setOwnsProgress(bool owns)
    {
        if (m_ownsProgress && !owns) {
            // The in-memory state may hold uncommitted progress; discard it and reload the rows.
            m_ownsProgress = false;
            m_jobs.clear();
            m_poolTable.loaded = false;
            ++m_poolTable.generation;
            readTable(m_poolTable);
            return;
        }
        m_ownsProgress = owns;
    }

    /// Sets the callback that runs after each update of the mirror.
    /// @param listener Callback.
    void setListener(std::function<void()> listener)
    {
        m_listener = std::move(listener);
    }

    /// @return RPC addresses of the agents that have registered since the last call.
    std::vector<std::string> takeNewAgents()
    {
        return std::exchange(m_newAgents, {});
    }

    /// @return Whether jobs, agents or operators' rows have changed since the last call; resets the flag.
    bool takeChanged()
    {
        return std::exchange(m_changed, false);
    }

    /// Applies rows that were read or written outside the change feed.
    /// @param rows The rows.
    void adopt(const std::vector<TableRow> &rows)
    {
        for (const TableRow &row : rows) {
            m_changed = adoptRow(row) || m_changed;
        }
    }

private:
    static constexpr Duration maxFollowWait = fromMilliseconds(1000); // a third of the 3 s until a new configuration is in force
    static constexpr Duration contactLimit = maxFollowWait + fromMilliseconds(500); // a slow service answers 250 ms after the wait
    static constexpr Duration followPausePerAgent = std::chrono::microseconds(600); // 0.14 s at 240 agents: a fifth of the requests
    static constexpr Duration minFollowPause = fromMilliseconds(20); // less saves nothing: the owner writes each 25 ms at most
    static constexpr Duration maxFollowPause = fromMilliseconds(200); // callers may see a state 2 s late; a takeover waits 1.2 s
    static constexpr Duration retryPause = fromMilliseconds(200); // five attempts a second while the table service is unreachable

    struct FollowedTable {
        std::string table;
        std::uint64_t version = 0;
        std::uint64_t generation = 0; // incremented by a reload; answers to older requests are discarded
        bool loaded = false;
        TimePoint currentAsOf{}; // when the latest answered request was sent
        TimePoint answeredAt{};
        std::uint32_t failuresInRow = 0; // requests since the latest answer

        bool isAvailable() const
        {
            return failuresInRow == 0;
        }
    };

    void recordAvailability(FollowedTable &followed, bool available)
    {
        const bool wasAvailable = followed.isAvailable();
        if (available) {
            recordContact();
            followed.answeredAt = m_lastContactAt;
            followed.failuresInRow = 0;
        } else {
            ++followed.failuresInRow;
        }
        if (wasAvailable == available) {
            return;
        }
        if (available) {
            Log::info("store_regained", {{"table", followed.table}, {"outage_ms", toMilliseconds(m_loop.now() - followed.currentAsOf)}});
            if (&followed == &m_poolTable) {
                m_ownerSeenAt = m_loop.now(); // the owner's renewals were not observable during the outage
            }
        } else {
            Log::warning("store_lost", {{"table", followed.table}});
            m_counters.add(Counter::StoreFailures);
        }
    }

    void retryLater(FollowedTable &followed, void (PoolMirror::*step)(FollowedTable &))
    {
        const std::uint64_t generation = followed.generation;
        m_loop.timers().subscribe(m_loop.now() + retryPause, [this, &followed, step, generation](TimePoint) {
            if (generation == followed.generation) {
                (this->*step)(followed);
            }
        });
    }

    void readTable(FollowedTable &followed)
    {
        const TimePoint sentAt = m_loop.now();
        const std::uint64_t generation = followed.generation;
        m_store.readTable(followed.table, [this, &followed, sentAt, generation](const ScanResult &result) {
            if (generation != followed.generation) {
                return;
            }
            if (!result.available) {
                recordAvailability(followed, false);
                retryLater(followed, &PoolMirror::readTable);
                return;
            }
            recordAvailability(followed, true);
            if (&followed == &m_operatorTable) {
                m_operators.outDomains.clear(); // a full read does not list erased rows
            } else {
                m_jobs.earlyCancellations().clear();
            }
            adopt(result.rows);
            if (&followed == &m_poolTable && m_ownerVersion != 0
                && std::ranges::find(result.rows, PoolRows::ownerKey, &TableRow::key) == result.rows.end()) {
                adoptOwner({followed.table, std::string(PoolRows::ownerKey), result.version, {}, true});
            }
            followed.version = result.version;
            followed.loaded = true;
            followed.currentAsOf = sentAt;
            Log::info("table_read",
                      {{"table", followed.table},
                       {"rows", static_cast<std::int64_t>(result.rows.size())},
                       {"version", static_cast<std::int64_t>(result.version)}});
            notifyListener();
            follow(followed);
        });
    }

    void follow(FollowedTable &followed)
    {
        const TimePoint sentAt = m_loop.now();
        const std::uint64_t generation = followed.generation;
        // After an outage the first request does not wait for a change, so that the mirror is fresh again at once.
        const Duration wait = followed.isAvailable() ? maxFollowWait : Duration::zero();
        m_store.follow(followed.table, followed.version, wait, [this, &followed, sentAt, generation](const FollowResult &result) {
            if (generation != followed.generation) {
                return;
            }
            if (result.state == FollowState::Unavailable) {
                recordAvailability(followed, false);
                retryLater(followed, &PoolMirror::follow);
                return;
            }
            recordAvailability(followed, true);
            if (result.state == FollowState::HistoryLost) {
                Log::warning("history_lost", {{"table", followed.table}, {"version", static_cast<std::int64_t>(followed.version)}});
                ++followed.generation;
                readTable(followed);
                return;
            }
            adopt(result.rows);
            followed.version = std::max(followed.version, result.version);
            followed.currentAsOf = sentAt;
            notifyListener();
            followAfterPause(followed, result.rows.empty());
        });
    }

    /// Follows a table on. In a large pool whose progress this entry only watches, several changes are read at once.
    void followAfterPause(FollowedTable &followed, bool isQuiet)
    {
        const Duration pause = std::min(followPausePerAgent * static_cast<std::int64_t>(m_agents.size()), maxFollowPause);
        if (&followed != &m_poolTable || m_ownsProgress || isQuiet || pause < minFollowPause) {
            follow(followed);
            return;
        }
        const std::uint64_t generation = followed.generation;
        m_loop.timers().subscribe(m_loop.now() + pause, [this, &followed, generation](TimePoint) {
            if (generation == followed.generation) {
                follow(followed);
            }
        });
    }

    void notifyListener()
    {
        if (m_listener) {
            m_listener();
        }
    }

    /// @return Whether the row may concern the scheduler; the owner's own rows are known to it.
    bool adoptRow(const TableRow &row)
    {
        if (row.table == m_operatorRows.table) {
            adoptOperatorRow(row);
            return true;
        }
        if (row.key == PoolRows::ownerKey) {
            adoptOwner(row);
            return false;
        }
        if (row.key == PoolRows::candidateKey) {
            adoptCandidate(row);
            return false;
        }
        if (const auto agent = PoolRows::nameIn(row.key, PoolRows::workerPrefix)) {
            const std::optional<Endpoint> endpoint = Endpoint::parse(*agent);
            if (row.erased) {
                m_agents.erase(*agent);
            } else if (!endpoint || endpoint->toString() != *agent) { // a second spelling would count the same worker twice
                Log::warning("agent_row_ignored", {{"row", row.key}, {"reason", std::string("not an IPv4 address with a port")}});
            } else {
                m_agents.insert(*agent);
                m_newAgents.push_back(*agent); // also when it registers again
            }
            return true;
        }
        return !m_jobs.adopt(row, m_ownsProgress).empty();
    }

    void adoptOwner(const TableRow &row)
    {
        if (row.version <= m_ownerVersion) {
            return;
        }
        m_ownerErased = row.erased;
        std::optional<OwnerRow> owner = decodeOwnerRow(row.value, row.version);
        if (!owner) {
            // The pool has no known owner and can be acquired, like after the owner's silence: earlier owners may still renew leases.
            Log::warning("owner_row_unreadable", {{"version", static_cast<std::int64_t>(row.version)}});
            owner = OwnerRow();
            owner->earlierOwnersExpired = false;
        }
        if (owner->epoch != m_owner.epoch) {
            Log::info("owner_changed", {{"owner", owner->owner}, {"epoch", static_cast<std::int64_t>(owner->epoch)}});
        }
        m_owner = *owner;
        m_ownerVersion = row.version;
        m_ownerSeenAt = m_loop.now();
    }

    void adoptCandidate(const TableRow &row)
    {
        if (row.version <= m_candidateVersion) {
            return;
        }
        m_candidateVersion = row.version;
        m_candidateErased = row.erased;
        const std::optional<OwnerCandidate> candidate = decodeOwnerCandidate(row.value);
        if (!candidate && !row.erased) {
            Log::warning("candidate_row_unreadable", {{"version", static_cast<std::int64_t>(row.version)}});
        }
        m_candidate = candidate.value_or(OwnerCandidate());
    }

    void adoptOperatorRow(const TableRow &row)
    {
        OperatorChange change = Platform::decodeOperatorRow(row);
        if (PoolConfiguration *configuration = std::get_if<PoolConfiguration>(&change)) {
            if (row.version <= m_operators.configurationRowVersion || configuration->version < m_operators.configuration.version) {
                m_counters.add(Counter::ConfigurationStaleIgnored);
                return;
            }
            m_counters.add(Counter::ConfigurationAdopted);
            m_operators.configuration = std::move(*configuration);
            m_operators.configurationRowVersion = row.version;
            Log::info("configuration_adopted",
                      {{"version", static_cast<std::int64_t>(m_operators.configuration.version)},
                       {"queues", static_cast<std::int64_t>(m_operators.configuration.queues.size())},
                       {"row", static_cast<std::int64_t>(row.version)}});
        } else if (const FailureDomainChange *domain = std::get_if<FailureDomainChange>(&change)) {
            const bool isOut = m_operators.outDomains.contains(domain->failureDomain);
            if (domain->outOfService == isOut) {
                return;
            }
            if (domain->outOfService) {
                m_operators.outDomains.insert(domain->failureDomain);
            } else {
                m_operators.outDomains.erase(domain->failureDomain);
            }
            Log::info("failure_domain_changed",
                      {{"failure_domain", domain->failureDomain}, {"out", std::string(domain->outOfService ? "yes" : "no")}});
        } else if (const IgnoredRow *ignored = std::get_if<IgnoredRow>(&change); ignored != nullptr && !ignored->reason.empty()) {
            Log::warning("operator_row_ignored", {{"row", row.key}, {"reason", ignored->reason}});
        }
    }

    typename Platform::Store &m_store;
    typename Platform::Loop &m_loop;
    Counters &m_counters;
    OperatorRows m_operatorRows;
    GraphTable m_jobs;
    OperatorView m_operators;
    std::set<std::string> m_agents;
    std::vector<std::string> m_newAgents;
    OwnerRow m_owner;
    std::uint64_t m_ownerVersion = 0; // of its last write, or of its erasure
    bool m_ownerErased = false;
    OwnerCandidate m_candidate;
    std::uint64_t m_candidateVersion = 0; // of its last write, or of its erasure
    bool m_candidateErased = false;
    TimePoint m_ownerSeenAt{};
    StorePace m_pace;
    TimePoint m_lastContactAt{}; // last answer of the table service
    FollowedTable m_poolTable;
    FollowedTable m_operatorTable;
    bool m_ownsProgress = false;
    bool m_changed = false;
    std::function<void()> m_listener;
};

} // namespace banyanlock
