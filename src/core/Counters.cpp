#include "core/Counters.h"

namespace banyanlock
{
namespace
{

using enum Counter;

constexpr std::array<CounterInfo, static_cast<std::size_t>(Count)> counterTable{{
    {RequestsReceived, "banyanlock_requests_total", "", "Requests received from callers."},
    {RequestsAnswered, "banyanlock_outcomes_total", "outcome=\"answered\"", "Requests ended, by outcome."},
    {RequestsNotRun, "banyanlock_outcomes_total", "outcome=\"not_run\"", ""},
    {RequestsUnknown, "banyanlock_outcomes_total", "outcome=\"unknown\"", ""},
    {RefusedMalformed, "banyanlock_refusals_total", "reason=\"malformed_request\"", "Requests refused by this entry, by reason."},
    {RefusedUnknownWorkspace, "banyanlock_refusals_total", "reason=\"unknown_workspace\"", ""},
    {RefusedUnknownService, "banyanlock_refusals_total", "reason=\"unknown_service\"", ""},
    {RefusedRate, "banyanlock_refusals_total", "reason=\"rate_limited\"", ""},
    {RefusedInFlight, "banyanlock_refusals_total", "reason=\"in_flight_limited\"", ""},
    {RefusedQueueFull, "banyanlock_refusals_total", "reason=\"queue_full\"", ""},
    {RefusedDeadline, "banyanlock_refusals_total", "reason=\"deadline_unreachable\"", ""},
    {RefusedNoBackendServer, "banyanlock_refusals_total", "reason=\"no_backend_server\"", ""},
    {RefusedDraining, "banyanlock_refusals_total", "reason=\"draining\"", ""},
    {RefusedStore, "banyanlock_refusals_total", "reason=\"store_unavailable\"", ""},
    {RefusedConfiguration, "banyanlock_refusals_total", "reason=\"configuration_not_ready\"", ""},
    {RefusedKeyInUse, "banyanlock_refusals_total", "reason=\"idempotency_key_in_use\"", ""},
    {RefusedBodyTooLarge, "banyanlock_refusals_total", "reason=\"body_too_large\"", ""},
    {ConnectionsAccepted, "banyanlock_connections_total", "event=\"accepted\"", "Connections from callers, by event."},
    {ConnectionsWithoutRequest, "banyanlock_connections_total", "event=\"closed_without_request\"", ""},
    {ConnectionErrors, "banyanlock_connections_total", "event=\"error\"", ""},
    {CallersOverRequestBytes, "banyanlock_callers_over_limit_total", "limit=\"request_bytes\"",
     "Connections closed and requests refused because a limit was exceeded, by limit."},
    {CallersOverHeldBytes, "banyanlock_callers_over_limit_total", "limit=\"held_bytes\"", ""},
    {CallersOverConnections, "banyanlock_callers_over_limit_total", "limit=\"connections\"", ""},
    {AttemptsSent, "banyanlock_attempts_total", "", "Attempts sent to agents."},
    {RetryAgentFull, "banyanlock_retries_total", "reason=\"agent_full\"", "Attempts followed by another, by reason."},
    {RetryAgentDraining, "banyanlock_retries_total", "reason=\"agent_draining\"", ""},
    {RetryExpired, "banyanlock_retries_total", "reason=\"attempt_expired\"", ""},
    {RetryNotSent, "banyanlock_retries_total", "reason=\"attempt_not_sent\"", ""},
    {RetryBackendUnreachable, "banyanlock_retries_total", "reason=\"backend_unreachable\"", ""},
    {RetryLost, "banyanlock_retries_total", "reason=\"attempt_lost\"", ""},
    {RetryBackendError, "banyanlock_retries_total", "reason=\"backend_error\"", ""},
    {RetryBudgetExhausted, "banyanlock_retry_budget_exhausted_total", "", "Retries not made because the budget was spent."},
    {DroppedLateAnswer, "banyanlock_dropped_answers_total", "reason=\"late\"", "Answers dropped, by reason."},
    {DroppedForeignAnswer, "banyanlock_dropped_answers_total", "reason=\"foreign\"", ""},
    {DroppedTruncatedAnswer, "banyanlock_dropped_answers_total", "reason=\"truncated\"", ""},
    {RevokesSent, "banyanlock_revokes_total", "result=\"sent\"", "Revocations of attempts, by result."},
    {RevokesProved, "banyanlock_revokes_total", "result=\"proved\"", ""},
    {RevokesFailed, "banyanlock_revokes_total", "result=\"failed\"", ""},
    {CrossRegionBytes, "banyanlock_cross_region_bytes_total", "", "Bytes of bodies sent to and received from other regions."},
    {CrossRegionAttempts, "banyanlock_cross_region_attempts_total", "", "Attempts sent to other regions."},
    {MembersJoined, "banyanlock_members_total", "event=\"joined\"", "Changes of the set of agents, by event."},
    {MembersLeft, "banyanlock_members_total", "event=\"left\"", ""},
    {MembersExpired, "banyanlock_members_total", "event=\"expired\"", ""},
    {MembersEjected, "banyanlock_members_total", "event=\"ejected\"", ""},
    {AgentAccepted, "banyanlock_agent_attempts_total", "result=\"accepted\"", "Attempts seen by this agent, by result."},
    {AgentRefusedFull, "banyanlock_agent_attempts_total", "result=\"agent_full\"", ""},
    {AgentRefusedDraining, "banyanlock_agent_attempts_total", "result=\"agent_draining\"", ""},
    {AgentRefusedExpired, "banyanlock_agent_attempts_total", "result=\"attempt_expired\"", ""},
    {AgentRefusedIncarnation, "banyanlock_agent_attempts_total", "result=\"wrong_incarnation\"", ""},
    {AgentRefusedDuplicate, "banyanlock_agent_attempts_total", "result=\"duplicate_attempt\"", ""},
    {AgentRefusedRevoked, "banyanlock_agent_attempts_total", "result=\"attempt_revoked\"", ""},
    {AgentForwarded, "banyanlock_agent_attempts_total", "result=\"forwarded\"", ""},
    {StoreReads, "banyanlock_store_operations_total", "kind=\"read\"", "Operations on the table service, by kind."},
    {StoreWrites, "banyanlock_store_operations_total", "kind=\"write\"", ""},
    {StoreConflicts, "banyanlock_store_operations_total", "kind=\"conflict\"", ""},
    {StoreRejections, "banyanlock_store_operations_total", "kind=\"rejection\"", ""},
    {StoreFailures, "banyanlock_store_operations_total", "kind=\"failure\"", ""},
    {StoreUnknownSettled, "banyanlock_store_operations_total", "kind=\"unknown_settled\"", ""},
    {ConfigurationAdopted, "banyanlock_configuration_total", "event=\"adopted\"", "Configuration versions seen, by event."},
    {ConfigurationStaleIgnored, "banyanlock_configuration_total", "event=\"stale_ignored\"", ""},
    {CellsTaken, "banyanlock_cells_total", "event=\"taken\"", "Changes of cell ownership at this entry, by event."},
    {CellsLost, "banyanlock_cells_total", "event=\"lost\"", ""},
    {GangsPlaced, "banyanlock_gangs_total", "event=\"placed\"", "Steps of gangs, by event."},
    {GangsStarted, "banyanlock_gangs_total", "event=\"started\"", ""},
    {GangsReleased, "banyanlock_gangs_total", "event=\"released\"", ""},
    {GangsPreempted, "banyanlock_gangs_total", "event=\"preempted\"", ""},
    {GangsMoved, "banyanlock_gangs_total", "event=\"moved\"", ""},
    {GangsRequeued, "banyanlock_gangs_total", "event=\"requeued\"", ""},
    {GangMembersLost, "banyanlock_gangs_total", "event=\"member_lost\"", ""},
    {JobsSucceeded, "banyanlock_jobs_total", "state=\"succeeded\"", "Jobs ended, by state."},
    {JobsFailed, "banyanlock_jobs_total", "state=\"failed\"", ""},
    {JobsCancelled, "banyanlock_jobs_total", "state=\"cancelled\"", ""},
    {JobsErased, "banyanlock_jobs_erased_total", "", "Rows of jobs erased after their time of keeping."},
    {WorkersSuspected, "banyanlock_pool_workers_suspected_total", "",
     "Times that a worker failed, refused or was slow, and others were preferred."},
    {WorkersQuarantined, "banyanlock_workers_total", "event=\"quarantined\"", "Events of workers."},
    {WorkerMessages, "banyanlock_worker_messages_total", "result=\"sent\"", "Messages to workers, by result."},
    {WorkerFailures, "banyanlock_worker_messages_total", "result=\"failed\"", ""},
    {GuaranteeShortfalls, "banyanlock_guarantee_shortfalls_total", "", "Plans in which some guarantee had no room."},
    {PoolOwnershipTaken, "banyanlock_pool_ownership_total", "event=\"taken\"", "Changes of the pool's owner seen by this entry."},
    {PoolOwnershipLost, "banyanlock_pool_ownership_total", "event=\"lost\"", ""},
    {PoolJobsAccepted, "banyanlock_pool_submissions_total", "result=\"accepted\"", "Submissions and cancellations, by result."},
    {PoolJobsRepeated, "banyanlock_pool_submissions_total", "result=\"repeated\"", ""},
    {PoolCancelsAccepted, "banyanlock_pool_submissions_total", "result=\"cancelled\"", ""},
    {PoolRefusedStale, "banyanlock_pool_refusals_total", "reason=\"configuration_age\"", "Calls refused and not run, by reason."},
    {PoolRefusedStore, "banyanlock_pool_refusals_total", "reason=\"store\"", ""},
    {PoolRefusedKey, "banyanlock_pool_refusals_total", "reason=\"key\"", ""},
    {PoolRefusedQueue, "banyanlock_pool_refusals_total", "reason=\"unknown_queue\"", ""},
    {PoolRefusedMalformed, "banyanlock_pool_refusals_total", "reason=\"malformed\"", ""},
    {PoolRefusedOwnerBehind, "banyanlock_pool_refusals_total", "reason=\"owner_behind\"", ""},
    {PoolRefusedCancelledBefore, "banyanlock_pool_refusals_total", "reason=\"cancelled_before\"", ""},
    {PoolRefusedEarlyCancellations, "banyanlock_pool_refusals_total", "reason=\"early_cancellations\"", ""},
    {PoolUnsettled, "banyanlock_pool_unsettled_total", "", "Submissions and cancellations whose outcome the store did not tell in time."},
    {PoolRunsRecorded, "banyanlock_pool_runs_total", "event=\"recorded\"", "Runs of tasks, by what became of them."},
    {PoolRunsSucceeded, "banyanlock_pool_runs_total", "event=\"succeeded\"", ""},
    {PoolRunsFailed, "banyanlock_pool_runs_total", "event=\"failed\"", ""},
    {PoolRunsStopped, "banyanlock_pool_runs_total", "event=\"stopped\"", ""},
    {PoolRunsLeaseLapsed, "banyanlock_pool_runs_total", "event=\"lease_lapsed\"", ""},
    {PoolRunsPartnerEnded, "banyanlock_pool_runs_total", "event=\"partner_ended\"", ""},
    {PoolRunsWaitedAlone, "banyanlock_pool_runs_total", "event=\"waited_alone\"", ""},
    {PoolRunsNeverStarted, "banyanlock_pool_runs_total", "event=\"never_started\"", ""},
    {PoolRunsWorkerGone, "banyanlock_pool_runs_total", "event=\"worker_gone\"", ""},
    {PoolRunsAdopted, "banyanlock_pool_runs_total", "event=\"adopted\"", ""},
    {PoolRunsUnordered, "banyanlock_pool_runs_total", "event=\"unordered\"", ""},
    {PoolRunsUnrenewed, "banyanlock_pool_runs_total", "event=\"unrenewed\"", ""},
    {PoolPreemptions, "banyanlock_pool_preemptions_total", "", "Units stopped to make room for others."},
    {PoolEarlyPreemptions, "banyanlock_pool_early_preemptions_total", "",
     "Units stopped to make room for others within 1 s of their start."},
    {PoolShareChanges, "banyanlock_pool_share_changes_total", "", "Times at which the order by workspaces' shares began or ended."},
    {PoolOrdersFenced, "banyanlock_pool_fenced_total", "", "Calls of an earlier owner that were refused."},
    {PoolStartsRepeated, "banyanlock_pool_starts_repeated_total", "", "Starts that an agent sent again because the worker did not answer."},
    {PoolStartsRefused, "banyanlock_pool_starts_refused_total", "", "Starts that a worker or its agent refused."},
    {PoolAnnouncementsUnreadable, "banyanlock_pool_announcements_not_used_total", "reason=\"unreadable\"",
     "Announcements at a worker's address that name no worker to use, by reason."},
    {PoolAnnouncementsUnconfirmed, "banyanlock_pool_announcements_not_used_total", "reason=\"not_confirmed\"", ""},
    {PoolAnnouncementsOfOtherService, "banyanlock_pool_announcements_not_used_total", "reason=\"other_service\"", ""},
    {PoolJobsCompleted, "banyanlock_pool_jobs_total", "result=\"completed\"", "Jobs that ended, by result."},
    {PoolJobsFailed, "banyanlock_pool_jobs_total", "result=\"failed\"", ""},
    {PoolWorkersProven, "banyanlock_pool_worker_standings_total", "standing=\"proven\"", "Changes of workers' standing, by new standing."},
    {PoolWorkersUntested, "banyanlock_pool_worker_standings_total", "standing=\"untested\"", ""},
    {PoolWorkersDoubtful, "banyanlock_pool_worker_standings_total", "standing=\"doubtful\"", ""},
    {PoolWorkersBarred, "banyanlock_pool_worker_standings_total", "standing=\"barred\"", ""},
    {PoolFailuresTakenBack, "banyanlock_pool_failures_taken_back_total", "",
     "Failures removed from workers' records because the task failed on another worker too."},
    {PoolTrialStartsWithdrawn, "banyanlock_pool_trial_starts_withdrawn_total", "",
     "Planned starts withdrawn because the worker runs one unit at a time after a bar."},
}};

constexpr bool isInOrder()
{
    for (std::size_t index = 0; index < counterTable.size(); ++index) {
        if (counterTable[index].counter != static_cast<Counter>(index)) {
            return false;
        }
    }
    return true;
}

static_assert(isInOrder(), "the table has one row for each counter, in the order of the enumeration");

} // namespace

std::string Counters::toPrometheus() const
{
    std::string text;
    std::string_view lastMetric;
    for (const CounterInfo &info : counterTable) {
        if (info.metric != lastMetric) {
            text += "# HELP " + std::string(info.metric) + " " + std::string(info.help) + "\n";
            text += "# TYPE " + std::string(info.metric) + " counter\n";
            lastMetric = info.metric;
        }
        text += info.metric;
        if (!info.label.empty()) {
            text += "{" + std::string(info.label) + "}";
        }
        text += " " + std::to_string(value(info.counter)) + "\n";
    }
    return text;
}

} // namespace banyanlock
