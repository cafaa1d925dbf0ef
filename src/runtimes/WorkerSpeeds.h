#pragma once

#include "core/Time.h"
#include "runtimes/RunTimeModel.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanlock
{

/// Learns which workers run tasks more slowly than others, from tasks of the same step on several workers.
///
/// It answers pools whose workers differ in speed although they announce the same kind and capacity. Tasks of a step do the same work, so
/// the ratio of a task's projected run time to the median of its step shows the speed of its worker. A worker is known by its agent, since
/// the machine remains the same when the worker restarts.
class WorkerSpeeds
{
public:
    /// Adds the projected run time of a task; a task counts once.
    /// @param step Step of the task.
    /// @param agent Agent of the worker that runs it.
    /// @param index Index of the task.
    /// @param projected Run time of the whole task, projected from its progress or known from its end.
    void addTask(const StepId &step, const std::string &agent, std::uint32_t index, Duration projected);

    /// @param agent Agent of a worker.
    /// @return Factor by which its tasks take longer than those of a typical worker, shrunk towards 1 while there is little evidence.
    double slowdownOf(const std::string &agent) const;

    /// @param agent Agent of a worker.
    /// @return Whether the worker is clearly slower than most, but sound.
    bool isSlow(const std::string &agent) const;

    /// @param agent Agent of a worker.
    /// @return Whether the worker is so slow that it is probably faulty.
    bool isFaulty(const std::string &agent) const;

    /// @return Whether the speeds of the workers differ: several workers, and a fair part of the known ones, are slow.
    bool areUneven() const;

    /// Forgets the tasks of a job that has ended; what they showed of the workers is kept.
    /// @param job Id of the job.
    void forgetJob(const std::string &job);

    /// Forgets the tasks of all jobs; what they showed of the workers is kept.
    void forgetJobs();

private:
    static constexpr double slowThreshold = 1.11; ///< Twice the usual deviation of the mean of five tasks of a step, shrunk.
    static constexpr double faultyThreshold = 1.6; ///< Beyond what machines of one kind differ by.
    static constexpr double minExcessive = 3.0; ///< Excessive tasks from which a worker may be faulty.
    static constexpr double minEvidence = 4.0; ///< Tasks on a worker from which it is called slow.
    static constexpr std::size_t minSlowWorkers = 3; ///< Fewer can be due to chance.
    static constexpr double minSlowShare = 0.15; ///< At equal speeds, one worker in fifty is called slow by chance.
    static constexpr std::size_t minTasks = 4; ///< Tasks of a step from which their median is meaningful.

    /// A projected run time that has not been compared with its step yet.
    struct Pending {
        std::string agent;
        double logarithm = 0.0;
    };

    /// Tasks of a step.
    struct StepTasks {
        std::map<std::uint32_t, double> logarithms; // by index
        std::vector<Pending> pending;
    };

    /// Sum of the deviations of a worker's tasks.
    struct Evidence {
        double sum = 0.0; // of the logarithms of the deviations, without excessive ones
        double count = 0.0;
        double excessive = 0.0; // tasks that took far longer than their step: stragglers, or all tasks of a faulty worker
    };

    static double slowdownOf(const Evidence &evidence);
    static bool isFaulty(const Evidence &evidence);
    static bool isSlow(const Evidence &evidence);
    void addEvidence(const std::string &agent, double deviation);

    std::map<StepId, StepTasks> m_steps;
    std::map<std::string, Evidence> m_workers; // by agent
};

} // namespace banyanlock
