#pragma once

#include "core/Counters.h"
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

/// Times that an agent keeps towards its worker.
struct SupervisorTiming {
    Duration lease = fromMilliseconds(6000); ///< Time for which the worker's tasks go on after the owner's last renewal; bears a takeover.
    Duration pollWait = fromMilliseconds(1000); ///< Longest wait for an end; half of what the lease would bear, and under the start limit.
    Duration retryInterval
        = fromMilliseconds(200); ///< Pause between two looks at a list whose ends are not acknowledged, and after failures.
    Duration silenceTimeout = fromMilliseconds(2500); ///< Time without lists after which the lease is not renewed; bears one lost answer.
    Duration leaseSlack = fromMilliseconds(320); ///< The worker's clock may run 2 % slow, and timers fire late.
    Duration fastRetryInterval
        = fromMilliseconds(30); ///< Pause before the first repetitions of an unanswered stop; ten usual answers long.
    Duration maxOrderDelay = fromMilliseconds(13000); ///< Longest time for which an order may be under way; some come 12 s late.
    std::uint32_t maxOrderAttempts
        = 4; ///< Times that a start is sent, and a stop is sent quickly; four lost in a row are rare even if a third is.
    Duration answerMargin = fromMilliseconds(700); ///< Time for lists to come beyond the wait.
};

/// Asks the worker for its lists, renews its lease and acknowledges ends.
struct RenewWorker {
    std::uint64_t epoch = 0; ///< Fencing token.
    std::uint64_t acknowledgedEnd = 0; ///< Ends up to this number may be forgotten.
    std::optional<Duration> leaseEnd; ///< End of the lease on the worker's clock; none when nothing may be renewed.
    Duration wait{}; ///< Time that the worker may wait for an end.
    WorkerIncarnation incarnation; ///< Life that is meant.
    TimePoint sentAt{}; ///< When it was sent; several may be under way.
};

/// Starts a task at the worker.
struct StartTask {
    RunName run; ///< The run.
    WorkerIncarnation incarnation; ///< Life that is meant.
    std::uint64_t epoch = 0; ///< Fencing token.
    std::string payload; ///< Text for the task.
    std::string checkpoint; ///< Where to go on.
    Duration startBy{}; ///< Latest start, on the worker's clock.
};

/// Stops a task at the worker.
struct StopTask {
    RunName run; ///< The run.
    WorkerIncarnation incarnation; ///< Life that is meant.
    std::uint64_t epoch = 0; ///< Fencing token.
};

/// What a supervisor asks its shell to do.
using SupervisorAction = std::variant<RenewWorker, StartTask, StopTask>;

/// How an order to the worker went.
enum class OrderOutcome : std::uint8_t {
    Done, ///< The worker has carried it out.
    Refused, ///< The worker has refused it, and nothing was done.
    OtherIncarnation, ///< Another life of the worker answered.
    Unknown, ///< No answer: it may have been done, or may be done later.
};

/// The worker's lists.
struct WorkerLists {
    std::int64_t startedUnixMilliseconds = 0; ///< Life that answers.
    Duration clock{}; ///< The worker's clock.
    std::vector<RunReport> runs; ///< What runs.
    std::vector<RunEnd> ends; ///< Ends that were not acknowledged.
};

/// Answer to a renewal.
struct RenewalAnswer {
    std::optional<WorkerLists> lists; ///< The lists; none without a usable answer.
    bool refused = false; ///< Nothing listens at the worker's address.
};

/// Supervises the worker on the agent's instance for the owner of the pool.
///
/// It is the only one that gives the worker orders. It keeps nothing: after a restart it learns from the worker's lists what runs. It
/// renews the lease only as long as the owner has renewed its own word, so that a worker that the owner can't reach stops by itself.
class WorkerSupervisor
{
public:
    /// @param incarnation Number of the agent's process.
    /// @param timing Times to keep.
    /// @param counters Counters.
    WorkerSupervisor(std::uint64_t incarnation, SupervisorTiming timing, Counters &counters);

    /// Takes in what the worker says of itself.
    /// @param announcement What it says.
    /// @return Whether it was news; an announcement of an earlier life or with an earlier number is dropped.
    bool onAnnouncement(const WorkerAnnouncement &announcement);

    /// Takes in that the worker has left.
    /// @param worker Id of the worker.
    void onWorkerLeft(const std::string &worker);

    /// Takes in a call of an owner.
    /// @param request The call.
    /// @param now Current time.
    /// @return Whether it was taken; a call of an earlier owner is not.
    bool onSupervise(const SuperviseRequest &request, TimePoint now);

    /// Takes in the answer to a `RenewWorker` action.
    /// @param action The action.
    /// @param answer The answer.
    /// @param now Current time.
    void onLists(const RenewWorker &action, const RenewalAnswer &answer, TimePoint now);

    /// Takes in the answer to a `StartTask` action.
    /// @param action The action.
    /// @param outcome How it went.
    /// @param reason The worker's reason for a refusal.
    /// @param now Current time.
    void onStarted(const StartTask &action, OrderOutcome outcome, const std::string &reason, TimePoint now);

    /// Takes in the answer to a `StopTask` action.
    /// @param action The action.
    /// @param outcome How it went.
    /// @param now Current time.
    void onStopped(const StopTask &action, OrderOutcome outcome, TimePoint now);

    /// Does what is due.
    /// @param now Current time.
    void step(TimePoint now);

    /// @param now Current time.
    /// @return When `step` has something to do again.
    TimePoint nextStep(TimePoint now) const;

    /// Tells the owner that the agent stops; the worker's tasks go on.
    void announceShutdown();

    /// @param now Current time.
    /// @param unixMilliseconds Time of day.
    /// @return What the owner gets to see.
    WorkerStatus status(TimePoint now, std::int64_t unixMilliseconds) const;

    /// @return What the worker said last, if it has said anything.
    const std::optional<WorkerAnnouncement> &worker() const
    {
        return m_worker;
    }

    /// @return The actions collected since the last call, in order.
    std::vector<SupervisorAction> takeActions();

private:
    /// A start or stop that is under way.
    struct PendingOrder {
        TaskOrder order;
        bool outstanding = false; // a call to the worker is under way
        TimePoint nextTry{};
        std::uint32_t attempts = 0; // calls that were sent
    };

    void markChanged()
    {
        ++m_statusNumber;
    }

    void resetIncarnationState();
    void carryOverOrders(TimePoint now);
    void handleOrder(const TaskOrder &order, TimePoint now);
    void beginStop(const RunName &run, const WorkerIncarnation &incarnation, TimePoint now);
    void refuseStart(const RunName &run, const std::string &reason);
    bool areOutdated(const WorkerLists &lists, TimePoint sentAt) const;
    void applyLists(const WorkerLists &lists, TimePoint sentAt, TimePoint now);
    void sendStart(PendingOrder &pending, TimePoint now);
    bool canRetryStart(const PendingOrder &pending, const StartTask &action, TimePoint now) const;
    void closeExpiredStarts(TimePoint listedAt);
    Duration workerClock(TimePoint now) const;
    bool isListed(const RunName &run) const;
    bool isAnswering(TimePoint now) const;
    void checkSilence(TimePoint now);
    void sendRenewal(TimePoint now);
    void sendStops(TimePoint now);

    std::uint64_t m_incarnation;
    SupervisorTiming m_timing;
    Counters &m_counters;
    std::uint64_t m_statusNumber = 1;
    std::optional<WorkerAnnouncement> m_worker;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_lastOrderBatch = 0;
    TimePoint m_ownerContact{};
    bool m_hasOwnerContact = false;
    bool m_stopping = false;

    bool m_runsKnown = false;
    bool m_renewalInFlight = false;
    bool m_pollImmediately = false; // newer lists are wanted at once, beside those that are waited for
    std::uint64_t m_renewalEpoch = 0; // highest epoch that the worker has surely heard of
    TimePoint m_renewalSentAt{};
    TimePoint m_leaseSentAt{}; // when the lease was last renewed, answered or not
    bool m_silent = false;
    bool m_connectionRefused = false;
    bool m_incarnationUncertain = false; // the worker has probably started anew without having announced it
    bool m_endNumbersUncertain = false; // it may have, and numbers of ends begin anew with each life: nothing is acknowledged
    bool m_leaseExpired = false;
    TimePoint m_nextRenewal{};
    Duration m_clockAtAnswer{};
    TimePoint m_listsRequestedAt{}; // when the adopted lists were asked for
    TimePoint m_listsReceivedAt{};
    std::vector<RunReport> m_runs;
    std::vector<RunEnd> m_ends;
    std::uint64_t m_acknowledgedEnd = 0;
    std::map<RunName, PendingOrder> m_starts;
    std::map<RunName, TimePoint> m_confirmed; // started after the newest lists were asked for
    std::map<RunName, PendingOrder> m_stops;
    std::map<RunName, std::pair<TaskOrder, TimePoint>> m_sentStarts; // lately, with the time: a copy may still be under way
    bool m_closesEarlierOrders = false; // once the new life's lists are known
    std::set<RunName> m_closed; // runs that may not start any more
    std::deque<RunRefusal> m_refusals;
    std::vector<SupervisorAction> m_actions;
};

} // namespace banyanlock
