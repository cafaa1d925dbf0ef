#pragma once

#include <cstdint>

#ifndef BANYANLOCK_DISABLED_GUARD
/// Number of the guard that a proof build leaves out; zero in every other build.
#define BANYANLOCK_DISABLED_GUARD 0
#endif

namespace banyanlock
{

/// Checks that the guarantees depend on. A proof build leaves one out to show that the tests detect its absence.
enum class Guard : std::uint8_t {
    None = 0,
    AgentStartBy = 1, ///< The agent refuses an attempt whose start deadline has passed.
    AgentIncarnation = 2, ///< The agent refuses attempts addressed to an earlier incarnation of itself.
    AgentDuplicate = 3, ///< The agent forwards each attempt id at most once.
    AgentTombstone = 4, ///< The agent never starts an attempt after it has confirmed its revocation.
    RetryNeedsProof = 5, ///< A non-idempotent request is retried only after proof that it has not run.
    RevokeBeforeNotRun = 6, ///< An entry answers not_run only after the agent has confirmed the revocation.
    OpenAttemptOnly = 7, ///< An answer is accepted only for the open attempt that it names.
    WholeAnswerOnly = 8, ///< A truncated answer is dropped.
    MemberLeaving = 9, ///< A leaving member receives no new attempts.
    DrainWaits = 10, ///< A draining process waits for requests in progress.
    IdempotencyClaim = 11, ///< A request with a repeated idempotency key doesn't run again.
    WorkerEpoch = 12, ///< Messages of an earlier cell owner are refused.
    StartTransaction = 13, ///< A gang starts only after a transaction that checks epoch and failure domain.
    GangCommit = 14, ///< A gang is committed only when every worker has prepared.
    TaskStartBy = 15, ///< A worker refuses a commit whose start deadline has passed.
    ReclaimableBorrow = 16, ///< Work that borrows another workspace's reservation can be checkpointed.
    ConfigurationRises = 17, ///< A lower configuration version is never adopted.
    GangMemberLoss = 18, ///< The loss of one member stops the rest of its gang.
    RunOnce = 19, ///< A job's next run starts only after every task of the previous run has ended.
};

/// @param guard Guard to look up.
/// @return Whether this build contains the guard.
constexpr bool isEnabled(Guard guard)
{
    return static_cast<int>(guard) != BANYANLOCK_DISABLED_GUARD;
}

} // namespace banyanlock
