#pragma once

#include "schedule/WorkerMessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace banyanlock
{

/// How a worker's tasks behave.
struct WorkerBehaviour {
    bool failStarts = false; ///< Every task fails at its start.
    double durationFactor = 1.0; ///< True run time as a multiple of the declared one.
    Duration checkpointTime = fromMilliseconds(200); ///< Time that a checkpoint takes.
};

/// A platform's worker: holds resources, runs tasks under leases, and acts only on fresh messages of the latest owner.
class WorkerModel
{
public:
    /// Called when a task has saved its progress.
    using SaveProgress = std::function<void(const TaskKey &, Duration)>;

    /// Gives the progress that a task saved in an earlier run.
    using LoadProgress = std::function<Duration(const TaskKey &)>;

    /// @param info What is fixed about the worker.
    /// @param boot Random number of its process.
    /// @param behaviour How its tasks behave.
    WorkerModel(WorkerInfo info, std::uint64_t boot, WorkerBehaviour behaviour);

    /// Sets where progress is kept.
    /// @param save Saves progress.
    /// @param load Loads progress.
    void setProgressStore(SaveProgress save, LoadProgress load);

    /// Acts on a message.
    /// @param message The message.
    /// @param now The worker's clock.
    /// @return Everything that the worker knows.
    WorkerReport onMessage(const WorkerMessage &message, TimePoint now);

    /// Ends tasks whose time has come or whose lease has lapsed.
    /// @param now The worker's clock.
    void advance(TimePoint now);

    /// Changes how tasks behave.
    /// @param behaviour New behaviour.
    void setBehaviour(WorkerBehaviour behaviour)
    {
        m_behaviour = behaviour;
    }

    /// @return What is fixed about the worker.
    const WorkerInfo &info() const
    {
        return m_info;
    }

    /// @return Tasks that run now.
    std::vector<TaskKey> runningTasks() const;

    /// @return Tasks that were started, ever.
    std::uint64_t starts() const
    {
        return m_starts;
    }

private:
    struct Task {
        TaskState state = TaskState::Prepared;
        TaskCommand command;
        TimePoint until{}; // lease of a running task, hold of a prepared one
        TimePoint startedAt{};
        TimePoint endsAt{};
        TimePoint checkpointAt{};
        Duration progressAtStart{};
        bool checkpointing = false;
    };

    bool isAcceptable(const WorkerMessage &message, TimePoint now) const;
    void apply(const TaskCommand &command, const WorkerMessage &message, TimePoint now);
    void prepare(const TaskCommand &command, TimePoint now);
    void start(Task &task, const WorkerMessage &message, TimePoint now);
    bool hasRoomFor(const TaskCommand &command) const;
    WorkerReport report(bool accepted, TimePoint now) const;
    WorkerReport answer(const WorkerMessage &message, bool accepted, TimePoint now);

    WorkerInfo m_info;
    std::uint64_t m_boot;
    WorkerBehaviour m_behaviour;
    SaveProgress m_save;
    LoadProgress m_load;
    std::uint64_t m_highestEpoch = 0;
    std::uint64_t m_starts = 0;
    std::map<TaskKey, Task> m_tasks;
    std::vector<TaskReport> m_reportedTasks;
    std::uint64_t m_tasksNumber = 1;
};

} // namespace banyanlock
