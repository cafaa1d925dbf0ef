#pragma once

#include "PoolWorkerModel.h"
#include "graph/GraphSpec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyanlock
{

/// Checks what must always hold of the runs of all workers of a pool, as the workers see them: no task twice at once, none after its
/// success was acknowledged, steps in order, room never exceeded, nothing that nobody asked for, and each with the payload that
/// was submitted.
class RunChecks
{
public:
    /// @param now Tells the current time.
    explicit RunChecks(std::function<TimePoint()> now);

    /// Takes in that a job is handed in.
    /// @param job Id of the job.
    /// @param spec What it asks for.
    void addJob(const std::string &job, const GraphSpec &spec);

    /// Notes that a caller was told that a job does not exist and never will under this submission.
    /// @param job Id of the job.
    void addAbsence(const std::string &job)
    {
        m_absentJobs.insert(job);
    }

    /// @return An observer for a worker model.
    PoolWorkerModel::Observer makeObserver();

    /// @param task Name of a task.
    /// @return What the task needs.
    ModelTask taskOf(const TaskName &task) const;

    /// @param text What went wrong.
    void violate(const std::string &text);

    /// @return What went wrong; empty when everything held.
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

    /// @return Runs that were stopped so far.
    std::uint32_t stops() const
    {
        return m_stops;
    }

    /// @param job Id of a job.
    /// @return Starts of its tasks so far.
    std::uint32_t startsOf(const std::string &job) const;

    /// @param job Id of a job.
    /// @return When its first task started; none before.
    std::optional<TimePoint> firstStart(const std::string &job) const;

    /// @param job Id of a job.
    /// @return Whether all its tasks have ended well somewhere.
    bool haveAllSucceeded(const std::string &job) const;

    /// Begins the text of a violation by a task of which a start reached a worker's new incarnation before the agent had got its lists.
    static constexpr const char *startBeforeContact = "start before contact: ";

private:
    void violateByStart(const RunName &run, const std::string &text);

    std::function<TimePoint()> m_now;
    std::map<std::string, GraphSpec> m_specs;
    std::map<std::string, std::uint32_t> m_starts;
    std::map<std::string, TimePoint> m_firstStarts;
    std::map<TaskName, RunName> m_runningTasks;
    std::set<TaskName> m_succeeded; // ended well
    std::set<TaskName> m_doneTasks; // ended well, and the end was acknowledged before the lease had lapsed
    std::set<TaskName> m_startedBeforeContact;
    std::set<std::string> m_absentJobs;
    std::vector<std::string> m_violations;
    std::uint32_t m_stops = 0;
};

} // namespace banyanlock
