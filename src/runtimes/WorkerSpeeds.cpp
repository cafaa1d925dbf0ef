#include "runtimes/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr double maxDeviation = 0.69; // a factor of 2; stragglers, which take several times as long on any worker, exceed it
constexpr double maxEvidence = 24.0; // older evidence fades beyond this number of tasks
constexpr double priorTasks = 1.5; // weight of the assumption that a worker is typical

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

void WorkerSpeeds::addTask(const StepId &step, const std::string &agent, std::uint32_t index, Duration projected)
{
    if (projected <= Duration::zero()) {
        return;
    }
    StepTasks &tasks = m_steps[step];
    const double logarithm = std::log(static_cast<double>(projected.count()));
    if (!tasks.logarithms.try_emplace(index, logarithm).second) {
        return;
    }
    tasks.pending.push_back({agent, logarithm});
    if (tasks.logarithms.size() < minTasks) {
        return;
    }
    std::vector<double> values;
    for (const auto &[task, value] : tasks.logarithms) {
        values.push_back(value);
    }
    const double median = medianOf(std::move(values));
    for (const Pending &pending : std::exchange(tasks.pending, {})) {
        addEvidence(pending.agent, pending.logarithm - median);
    }
}

void WorkerSpeeds::addEvidence(const std::string &agent, double deviation)
{
    Evidence &evidence = m_workers[agent];
    if (evidence.count >= maxEvidence) {
        const double kept = (maxEvidence - 1.0) / evidence.count;
        evidence.sum *= kept;
        evidence.count *= kept;
        evidence.excessive *= kept;
    }
    if (deviation > maxDeviation) {
        evidence.excessive += 1.0;
        return;
    }
    evidence.sum += std::max(deviation, -maxDeviation);
    evidence.count += 1.0;
}

double WorkerSpeeds::slowdownOf(const std::string &agent) const
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? 1.0 : slowdownOf(found->second);
}

double WorkerSpeeds::slowdownOf(const Evidence &evidence)
{
    return std::exp(evidence.sum / (evidence.count + priorTasks));
}

bool WorkerSpeeds::isSlow(const Evidence &evidence)
{
    const double slowdown = slowdownOf(evidence);
    return evidence.count >= minEvidence && slowdown >= slowThreshold && !isFaulty(evidence);
}

bool WorkerSpeeds::isSlow(const std::string &agent) const
{
    const auto found = m_workers.find(agent);
    return found != m_workers.end() && isSlow(found->second);
}

bool WorkerSpeeds::isFaulty(const Evidence &evidence)
{
    return slowdownOf(evidence) >= faultyThreshold || (evidence.excessive >= minExcessive && evidence.excessive >= evidence.count);
}

bool WorkerSpeeds::isFaulty(const std::string &agent) const
{
    const auto found = m_workers.find(agent);
    return found != m_workers.end() && isFaulty(found->second);
}

bool WorkerSpeeds::areUneven() const
{
    std::size_t known = 0;
    std::size_t slow = 0;
    for (const auto &[agent, evidence] : m_workers) {
        known += evidence.count >= minEvidence ? 1 : 0;
        slow += isSlow(evidence) ? 1 : 0;
    }
    return slow >= minSlowWorkers && static_cast<double>(slow) >= minSlowShare * static_cast<double>(known);
}

void WorkerSpeeds::forgetJob(const std::string &job)
{
    auto step = m_steps.lower_bound({job, 0});
    while (step != m_steps.end() && step->first.job == job) {
        step = m_steps.erase(step);
    }
}

void WorkerSpeeds::forgetJobs()
{
    m_steps.clear();
}

} // namespace banyanlock
