#pragma once

#include "graph/Resources.h"
#include "pool/WorkerSupervisor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// What a task needs and how long it works, by its name; the model looks it up as a real worker would read its image.
struct ModelTask {
    Resources demand; ///< What it holds.
    Duration work{}; ///< How long it works.
    std::uint32_t members = 1; ///< Tasks of its gang; 1 for a task by itself.
    bool checkpoints = false; ///< It saves its progress.
};

/// End of each checkpoint that a worker saves; its zero byte is lost where a checkpoint is read as a C string.
inline constexpr std::string_view checkpointSuffix{"\0!", 2};

/// A worker in memory, as its page describes it: leases on its own clock, fencing, starts and stops that may be repeated or come late, and
/// ends that are listed until they are acknowledged.
class PoolWorkerModel
{
public:
    /// Tells of a start and of an end, for checks.
    struct Observer {
        std::function<void(const StartTask &, const PoolWorkerModel &)> onStart; ///< A run has begun.
        std::function<void(const RunName &, RunEnding, const PoolWorkerModel &)> onEnd; ///< A run has ended.
        std::function<void(const RunName &, RunEnding, const PoolWorkerModel &)> onAcknowledged; ///< An end was acknowledged.
        std::function<std::uint32_t(const RunName &)> presentMembers; ///< How many members of the run's gang are present anywhere.
    };

    /// @param announcement What the worker says of itself.
    /// @param tasks What tasks need.
    /// @param observer Told of starts and ends.
    PoolWorkerModel(WorkerAnnouncement announcement, std::function<ModelTask(const TaskName &)> tasks, Observer observer);

    /// Lets time pass: leases lapse and tasks end.
    /// @param now Current time.
    void advance(TimePoint now);

    /// @param action What the agent asks for.
    /// @param now Current time.
    /// @return The lists, or nothing for another life or an earlier owner.
    std::optional<WorkerLists> renew(const RenewWorker &action, TimePoint now);

    /// @param action Start of a task.
    /// @param now Current time.
    /// @return How it went, with the reason of a refusal.
    std::pair<OrderOutcome, std::string> start(const StartTask &action, TimePoint now);

    /// @param action Stop of a task.
    /// @param now Current time.
    /// @return How it went.
    OrderOutcome stop(const StopTask &action, TimePoint now);

    /// Ends the present life: everything is gone, and a new life begins under the same id.
    /// @param now Current time.
    void rebirth(TimePoint now);

    /// Ends the present life: everything is gone, and a worker with another id takes its place.
    /// @param id Id of the new worker.
    /// @param now Current time.
    void replace(const std::string &id, TimePoint now);

    /// Suspends the worker: its clock stands still, and nothing works. It must get no calls until it is resumed.
    /// @param now Current time.
    void suspend(TimePoint now);

    /// Ends a suspension.
    /// @param now Current time.
    /// @return Length of the suspension.
    Duration resume(TimePoint now);

    /// @return Whether the worker is suspended.
    bool isSuspended() const
    {
        return m_suspendedAt.has_value();
    }

    /// @param rate Rate of the worker's clock; 1 for an exact one.
    void setClockRate(double rate)
    {
        m_clockRate = rate;
    }

    /// @param count Maximum number of ends that it lists at once.
    void setMaxListedEnds(std::size_t count)
    {
        m_maxListedEnds = count;
    }

    /// @return How often it had more ends than it lists at once.
    std::uint64_t truncatedLists() const
    {
        return m_truncatedLists;
    }

    /// Gives the worker another room and other labels; it must run nothing.
    /// @param capacity What its tasks may hold together.
    /// @param labels Its labels.
    void setKind(const Resources &capacity, std::vector<std::string> labels)
    {
        m_announcement.capacity = capacity;
        m_announcement.labels = std::move(labels);
    }

    /// @return What the worker says of itself, with a new number.
    WorkerAnnouncement announce()
    {
        ++m_announcement.sequence;
        return m_announcement;
    }

    /// Makes tasks fail, stand still, or work slowly.
    /// @param factor How many times longer work takes.
    void setSlowness(double factor)
    {
        m_slowness = factor;
    }

    /// @param failing Whether each run fails after a moment.
    void setFailing(bool failing)
    {
        m_failing = failing;
    }

    /// Begins to drain.
    /// @param minTimeUntilExit Time until the worker leaves.
    void drain(Duration minTimeUntilExit)
    {
        m_announcement.draining = true;
        m_announcement.minTimeUntilExit = minTimeUntilExit;
    }

    /// @param run A run.
    /// @return Whether it is on this worker now.
    bool isRunning(const RunName &run) const
    {
        return m_running.contains(run);
    }

    /// @return Runs that are on this worker now.
    std::size_t runningCount() const
    {
        return m_running.size();
    }

    /// @return What the worker says of itself.
    const WorkerAnnouncement &announcement() const
    {
        return m_announcement;
    }

    /// @return Highest fencing token that this incarnation has seen.
    std::uint64_t fence() const
    {
        return m_fence;
    }

    /// Notes that the agent has got lists of this incarnation.
    void noteContact()
    {
        m_hasContact = true;
    }

    /// @return Whether the agent has got lists of this incarnation. Before that it can't know of it, so a start that reaches it was sent to
    /// an earlier one; calls name a worker by its id only.
    bool hasContact() const
    {
        return m_hasContact;
    }

    /// @return What its runs hold.
    Resources used() const;

private:
    struct Run {
        TimePoint startedAt{};
        TimePoint workedUntil{};
        Duration left{};
        Duration saved{};
        bool wasWhole = false; // all members of its gang have been present
        ModelTask task;
    };

    Duration clock(TimePoint now) const;
    void end(const RunName &run, RunEnding ending, Duration saved);

    WorkerAnnouncement m_announcement;
    std::function<ModelTask(const TaskName &)> m_tasks;
    Observer m_observer;
    std::map<RunName, Run> m_running;
    std::map<TaskName, std::uint32_t> m_closed; // highest run that was stopped or has ended
    std::vector<RunEnd> m_ends;
    std::set<std::uint64_t> m_lapsedEnds; // the lease lapsed before they were acknowledged: a new start is allowed
    std::uint64_t m_nextEnd = 1;
    std::uint64_t m_fence = 0;
    bool m_hasContact = false;
    Duration m_leaseEnd{};
    TimePoint m_bornAt{}; // later by the time for which it has been suspended
    std::optional<TimePoint> m_suspendedAt;
    std::size_t m_maxListedEnds = maxListedEnds;
    std::uint64_t m_truncatedLists = 0;
    double m_slowness = 1.0;
    double m_clockRate = 1.0;
    bool m_failing = false;
};

} // namespace banyanlock
