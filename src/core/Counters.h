#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Events that are counted. The table in Counters.cpp gives the metric and label of each.
enum class Counter : std::uint16_t {
    RequestsReceived,
    RequestsAnswered,
    RequestsNotRun,
    RequestsUnknown,
    RefusedMalformed,
    RefusedUnknownWorkspace,
    RefusedUnknownService,
    RefusedRate,
    RefusedInFlight,
    RefusedQueueFull,
    RefusedDeadline,
    RefusedNoBackendServer,
    RefusedDraining,
    RefusedStore,
    RefusedConfiguration,
    RefusedKeyInUse,
    RefusedBodyTooLarge,
    ConnectionsAccepted,
    ConnectionsWithoutRequest,
    ConnectionErrors,
    CallersOverRequestBytes,
    CallersOverHeldBytes,
    CallersOverConnections,
    AttemptsSent,
    RetryAgentFull,
    RetryAgentDraining,
    RetryExpired,
    RetryNotSent,
    RetryBackendUnreachable,
    RetryLost,
    RetryBackendError,
    RetryBudgetExhausted,
    DroppedLateAnswer,
    DroppedForeignAnswer,
    DroppedTruncatedAnswer,
    RevokesSent,
    RevokesProved,
    RevokesFailed,
    CrossRegionBytes,
    CrossRegionAttempts,
    MembersJoined,
    MembersLeft,
    MembersExpired,
    MembersEjected,
    AgentAccepted,
    AgentRefusedFull,
    AgentRefusedDraining,
    AgentRefusedExpired,
    AgentRefusedIncarnation,
    AgentRefusedDuplicate,
    AgentRefusedRevoked,
    AgentForwarded,
    StoreReads,
    StoreWrites,
    StoreConflicts,
    StoreRejections,
    StoreFailures,
    StoreUnknownSettled,
    ConfigurationAdopted,
    ConfigurationStaleIgnored,
    CellsTaken,
    CellsLost,
    GangsPlaced,
    GangsStarted,
    GangsReleased,
    GangsPreempted,
    GangsMoved,
    GangsRequeued,
    GangMembersLost,
    JobsSucceeded,
    JobsFailed,
    JobsCancelled,
    JobsErased,
    WorkersSuspected,
    WorkersQuarantined,
    WorkerMessages,
    WorkerFailures,
    GuaranteeShortfalls,
    PoolOwnershipTaken,
    PoolOwnershipLost,
    PoolJobsAccepted,
    PoolJobsRepeated,
    PoolCancelsAccepted,
    PoolRefusedStale,
    PoolRefusedStore,
    PoolRefusedKey,
    PoolRefusedQueue,
    PoolRefusedMalformed,
    PoolRefusedOwnerBehind,
    PoolRefusedCancelledBefore,
    PoolRefusedEarlyCancellations,
    PoolUnsettled,
    PoolRunsRecorded,
    PoolRunsSucceeded,
    PoolRunsFailed,
    PoolRunsStopped,
    PoolRunsLeaseLapsed,
    PoolRunsPartnerEnded,
    PoolRunsWaitedAlone,
    PoolRunsNeverStarted,
    PoolRunsWorkerGone,
    PoolRunsAdopted,
    PoolRunsUnordered,
    PoolRunsUnrenewed,
    PoolPreemptions,
    PoolEarlyPreemptions,
    PoolShareChanges,
    PoolOrdersFenced,
    PoolStartsRepeated,
    PoolStartsRefused,
    PoolAnnouncementsUnreadable,
    PoolAnnouncementsUnconfirmed,
    PoolAnnouncementsOfOtherService,
    PoolJobsCompleted,
    PoolJobsFailed,
    PoolWorkersProven,
    PoolWorkersUntested,
    PoolWorkersDoubtful,
    PoolWorkersBarred,
    PoolFailuresTakenBack,
    PoolTrialStartsWithdrawn,
    Count,
};

/// Metric of a counter in the Prometheus text format.
struct CounterInfo {
    Counter counter; ///< The counter.
    std::string_view metric; ///< Metric name.
    std::string_view label; ///< Label with its value, or empty.
    std::string_view help; ///< Help text of the metric; empty on all rows of a metric but the first.
};

/// Counters of one process. All methods are thread-safe.
class Counters
{
public:
    /// Adds to a counter.
    /// @param counter Counter to increase.
    /// @param amount Amount to add.
    void add(Counter counter, std::uint64_t amount = 1)
    {
        m_values[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
    }

    /// @param counter Counter to read.
    /// @return Current value of the counter.
    std::uint64_t value(Counter counter) const
    {
        return m_values[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
    }

    /// @return All counters in the Prometheus text format.
    std::string toPrometheus() const;

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> m_values{};
};

} // namespace banyanlock
