#pragma once

#include "core/Counters.h"
#include "pool/AnnouncementTable.h"
#include "pool/WorkerStatus.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace banyanlock
{

/// Intervals, timeouts and limits of the agent's communication with its worker.
struct SupervisorTiming {
    Duration lease
        = fromMilliseconds(6000); ///< Time that the worker's tasks run on after the owner's last renewal; tolerates a takeover of the pool.
    Duration pollWait
        = fromMilliseconds(1000); ///< Maximum wait for an end; half of what the lease would tolerate, and shorter than the start timeout.
    Duration retryInterval = fromMilliseconds(200); ///< Poll interval while ends are unacknowledged, and delay after failures.
    Duration silenceTimeout
        = fromMilliseconds(2500); ///< Time without lists after which the lease is not renewed; tolerates one lost answer.
    Duration leaseSlack = fromMilliseconds(320); ///< Margin for a worker's clock that runs up to 2 % slow and for late timers.
    Duration fastRetryInterval
        = fromMilliseconds(30); ///< Delay before the first retries of an unanswered stop; ten times the usual response time.
    std::uint32_t maxOrderAttempts = 4; ///< Maximum sends of a start, and of a stop at the fast interval; even with a third of messages
                                        ///< lost, four in a row rarely are.
    Duration lateCallLimit = fromMilliseconds(12000); ///< Time within which a call without an answer may still be executed, also by a later
                                                      ///< incarnation; the longest delay that the users' bench plays.
    std::size_t maxListedEnds = banyanlock::maxListedEnds; ///< Number of ends from which lists may be truncated.
    Duration staleCheckInterval = fromMilliseconds(100); ///< Interval at which the age of the owner's last renewal is checked once it is
                                                         ///< old; timers stand still while the instance is suspended.
    Duration answerMargin = fromMilliseconds(700); ///< Time allowed for an answer beyond the requested wait.
};

/// Requests the worker's lists of runs and ends, renews its lease and acknowledges ends.
struct RenewWorker {
    std::uint64_t epoch = 0; ///< Epoch of the owner that it is sent for.
    std::uint64_t fence = 0; ///< Fencing token.
    std::uint64_t acknowledgedEnd = 0; ///< The worker may discard ends up to and including this number.
    std::optional<Duration> leaseEnd; ///< New end of the lease, on the worker's clock; none if the lease must not be renewed.
    Duration wait{}; ///< Maximum time that the worker waits for an end before it answers.
    WorkerIncarnation incarnation; ///< Incarnation of the worker that the action is for.
    TimePoint sentAt{}; ///< When it was sent; several may be in flight.
};

/// Starts a task at the worker.
struct StartTask {
    RunName run; ///< The run.
    WorkerIncarnation incarnation; ///< Incarnation of the worker that the action is for.
    std::uint64_t epoch = 0; ///< Epoch of the owner that it is sent for.
    std::uint64_t fence = 0; ///< Fencing token.
    std::string payload; ///< Payload for the task.
    std::string checkpoint; ///< Checkpoint to resume from; empty to start from the beginning.
    Duration startBy{}; ///< Start deadline, on the worker's clock.
};

/// Stops a task at the worker.
struct StopTask {
    RunName run; ///< The run.
    WorkerIncarnation incarnation; ///< Incarnation of the worker that the action is for.
    std::uint64_t fence = 0; ///< Fencing token.
};

/// A message to the worker that the host daemon sends for the supervisor.
using SupervisorAction = std::variant<RenewWorker, StartTask, StopTask>;

/// Outcome of an order to the worker.
enum class OrderOutcome : std::uint8_t {
    Done, ///< The worker has executed the order.
    Refused, ///< The worker refused the order without any effect.
    OtherIncarnation, ///< Another incarnation of the worker answered.
    Unknown, ///< No answer: the order may have been executed, or may be executed later.
};

/// The worker's lists of runs and ends.
struct WorkerLists {
    std::int64_t startedUnixMilliseconds = 0; ///< Start time that identifies the answering incarnation, in milliseconds since 1970.
    Duration clock{}; ///< The worker's clock.
    std::vector<RunReport> runs; ///< Runs in progress.
    std::vector<RunEnd> ends; ///< Ends that are not acknowledged yet.
};

/// Why a renewal got no lists.
enum class RenewalFailure : std::uint8_t {
    Unanswered, ///< No usable answer in time.
    ConnectionRefused, ///< The worker's address refused the connection.
    Disconnected, ///< The connection broke before the answer.
    Busy, ///< The worker was too busy and did nothing.
    OtherWorker, ///< A worker with another id answered and did nothing.
};

/// Answer to a renewal.
struct RenewalAnswer {
    std::optional<WorkerLists> lists; ///< The lists; none if there was no valid answer.
    RenewalFailure failure = RenewalFailure::Unanswered; ///< Why there are no lists.

    /// @param reason Reason of a failure.
    /// @return Whether there are no lists for that reason.
    bool failedBy(RenewalFailure reason) const
    {
        return !lists && failure == reason;
    }
};

/// Supervises the worker on the agent's instance for the owner of the pool.
///
/// Only the supervisor sends orders to the worker. It stores no state: after a restart it recovers the runs from the worker's lists. It
/// renews the worker's lease only while the owner keeps renewing, so a worker that the owner can't reach stops without external action.
/// The worker's clock stands still while the instance is suspended, and its lease lasts longer by that time. The supervisor's clock goes
/// on, and it stops what runs on after the owner's renewal has expired.
///
/// Calls name the worker only by its id, and a restarted worker has seen no fencing token. Each process of the agent therefore draws its
/// tokens from the version of its registration in the table service, and raises its token whenever the worker may have restarted: lists
/// that answer the raised token prove that no order sent under a lower one, by whichever process, can still take effect.
///
/// Anybody may send an announcement. Only the first one is used as it is, so that the owner learns of the worker; another incarnation takes
/// its place once the worker itself, asked for its lists under the announced id, has answered with the announced start time.
class WorkerSupervisor
{
public:
    /// @param incarnation Incarnation number of the agent's process.
    /// @param timing Intervals and timeouts.
    /// @param counters Counters to update.
    WorkerSupervisor(std::uint64_t incarnation, SupervisorTiming timing, Counters &counters);

    /// Handles an announcement at the worker's address. That of another incarnation takes effect when the worker has confirmed it.
    /// @param announcement The announcement.
    /// @return Whether it changed the announcement in use; one without a higher sequence number is dropped.
    bool onAnnouncement(const WorkerAnnouncement &announcement);

    /// Handles the departure of the worker: it counts as draining from now on.
    /// @param worker Id of the worker.
    void onWorkerLeft(const std::string &worker);

    /// Adopts fencing tokens that are higher than those of all earlier processes.
    /// @param rowVersion Version of the row that this process has written to register itself.
    void onRegistered(std::uint64_t rowVersion);

    /// @return Whether the agent must register itself: it has not yet, or has used up its fencing tokens.
    bool needsRegistration() const
    {
        return !m_registered;
    }

    /// Handles a call of an owner.
    /// @param request The call.
    /// @param now Current time.
    /// @return Whether the call was accepted; a call with an older epoch is not.
    bool onSupervise(const SuperviseRequest &request, TimePoint now);

    /// Handles the answer to a `RenewWorker` action.
    /// @param action The action.
    /// @param answer The answer.
    /// @param now Current time.
    void onLists(const RenewWorker &action, const RenewalAnswer &answer, TimePoint now);

    /// Handles the answer to a `StartTask` action.
    /// @param action The action.
    /// @param outcome Outcome of the order.
    /// @param reason The worker's reason for a refusal.
    /// @param now Current time.
    void onStarted(const StartTask &action, OrderOutcome outcome, const std::string &reason, TimePoint now);

    /// Handles the answer to a `StopTask` action.
    /// @param action The action.
    /// @param outcome Outcome of the order.
    /// @param now Current time.
    void onStopped(const StopTask &action, OrderOutcome outcome, TimePoint now);

    /// Handles a suspension of the instance, during which the worker's clock stood still.
    /// @param span Length of the suspension.
    void onSuspended(Duration span);

    /// Sends the renewals and stops that are due and detects a silent worker.
    /// @param now Current time.
    void step(TimePoint now);

    /// @param now Current time.
    /// @return When `step` must be called next.
    TimePoint nextStep(TimePoint now) const;

    /// Reports to the owner that the agent is shutting down; the worker's tasks continue.
    void announceShutdown();

    /// @param now Current time.
    /// @param unixMilliseconds Time of day, in milliseconds since 1970.
    /// @return The status for the owner.
    WorkerStatus status(TimePoint now, std::int64_t unixMilliseconds) const;

    /// @return The worker's latest announcement, if any.
    const std::optional<WorkerAnnouncement> &worker() const
    {
        return m_worker;
    }

    /// @return The actions queued since the last call, in order.
    std::vector<SupervisorAction> takeActions();

private:
    /// A start or stop that is not settled yet.
    struct PendingOrder {
        TaskOrder order;
        bool outstanding = false; // a call to the worker is in flight
        TimePoint nextTry{};
        std::uint32_t attempts = 0; // calls sent so far
        Duration workerDeadline{}; // latest deadline of its starts, on the worker's clock
    };

    void markChanged()
    {
        ++m_statusNumber;
    }

    /// @return Whether the worker has no end to list, so that it may wait for one before it answers.
    bool hasNoListedEnds() const
    {
        return m_ends.empty() && m_heldEnds.empty() && !m_endsTruncated;
    }

    bool useBestAnnouncement();
    std::optional<WorkerIncarnation> incarnationToQuery() const;
    TimePoint nextIdentityQuery() const;
    void sendIdentityQuery(TimePoint now);
    void onIdentityAnswer(const RenewWorker &action, const RenewalAnswer &answer, TimePoint now);
    void changeIncarnation(const WorkerIncarnation &incarnation);
    void resetIncarnationState();
    void raiseFence();
    void raiseFenceUnlessUntouched(const RenewWorker &action, const RenewalAnswer &answer);
    bool isFenced() const
    {
        return m_registered && m_provenFence >= m_firstFence;
    }
    void onListsLost(const RenewWorker &action, const RenewalAnswer &answer, bool otherIncarnation, TimePoint now);
    void recordProof(const RenewWorker &action);
    void handleOrder(const TaskOrder &order, TimePoint now);
    void beginStop(const RunName &run, const WorkerIncarnation &incarnation, TimePoint now);
    void refuseStart(const RunName &run, const std::string &reason);
    bool areOutdated(const WorkerLists &lists, TimePoint sentAt) const;
    void applyLists(const WorkerLists &lists, TimePoint sentAt, TimePoint now);
    void holdEnds(const std::vector<RunEnd> &ends);
    std::uint64_t endToAcknowledge(TimePoint now);
    void sendStart(PendingOrder &pending, TimePoint now);
    bool canRetryStart(const PendingOrder &pending, const StartTask &action, TimePoint now) const;
    void reportUnordered(const RunName &run);
    void closeExpiredStarts(TimePoint listedAt);
    Duration workerClock(TimePoint now) const;
    bool isListed(const RunName &run) const;
    bool isAnswering(TimePoint now) const;
    void checkSilence(TimePoint now);
    bool hasOldRenewal(TimePoint now) const;
    void stopUnrenewedRuns(TimePoint now);
    void sendRenewal(TimePoint now);
    void sendStops(TimePoint now);

    std::uint64_t m_incarnation;
    SupervisorTiming m_timing;
    Counters &m_counters;
    std::uint64_t m_statusNumber = 1;
    AnnouncementTable m_announcements;
    std::optional<WorkerAnnouncement> m_worker; // the announcement in use
    std::optional<WorkerIncarnation> m_queriedIncarnation; // the worker was asked whether it is this incarnation
    TimePoint m_querySentAt{};
    TimePoint m_nextQuery{};
    std::uint64_t m_epoch = 0;
    std::uint64_t m_lastOrderBatch = 0;
    TimePoint m_ownerContact{}; // when the owner sent the newest renewal that has arrived
    bool m_hasOwnerContact = false;
    bool m_stopping = false;
    bool m_registered = false; // and has fencing tokens left
    std::uint64_t m_fence = 0; // token of the next order; zero if none may be sent
    std::uint64_t m_firstFence = 0; // lowest token of this process for the worker's current incarnation
    std::uint64_t m_provenFence = 0; // highest token that the worker's current incarnation has answered with lists

    bool m_runsKnown = false;
    bool m_renewalInFlight = false;
    bool m_pollImmediately = false; // requests newer lists at once, in addition to a waiting request
    std::uint64_t m_renewalEpoch = 0; // highest epoch that the worker is guaranteed to have seen
    TimePoint m_renewalSentAt{};
    TimePoint m_leaseSentAt{}; // the lease, extended by renewals and starts, ends at most its duration later, answered or not
    bool m_silent = false;
    bool m_connectionRefused = false;
    bool m_incarnationUncertain = false; // the worker may have restarted without having announced it yet: nothing is started
    bool m_endsTruncated = false; // the latest lists may not contain all ends
    bool m_endNumbersUncertain = false; // the worker may have restarted, which resets the numbers of ends: none is acknowledged
    bool m_leaseExpired = false;
    TimePoint m_nextRenewal{};
    Duration m_clockAtAnswer{};
    TimePoint m_listsReceivedAt{};
    std::vector<RunReport> m_runs;
    std::vector<RunEnd> m_ends;
    std::uint64_t m_acknowledgedEnd = 0;
    std::map<RunName, TimePoint> m_lateStarts; // runs with an unanswered copy of their start, with the time until which it may be executed
    std::map<std::uint64_t, TimePoint> m_heldEnds; // numbers of their ends, with the time before which they must not be acknowledged
    std::map<RunName, PendingOrder> m_starts;
    std::map<RunName, TimePoint> m_confirmed; // starts that the latest lists may not contain yet, with the time of confirmation
    std::map<RunName, PendingOrder> m_stops;
    std::set<RunName> m_closed; // runs that must not start any more
    std::deque<RunRefusal> m_refusals;
    std::vector<SupervisorAction> m_actions;
};

} // namespace banyanlock
