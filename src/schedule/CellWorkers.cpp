#include "schedule/CellWorkers.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

constexpr std::uint32_t quarantineThreshold = 3;

} // namespace

const TaskReport *WorkerState::find(const TaskKey &key) const
{
    const auto found = std::ranges::find(tasks, key, &TaskReport::task);
    return found == tasks.end() ? nullptr : &*found;
}

void CellWorkers::reset(std::span<const WorkerInfo> workers, TimePoint now)
{
    m_workers.clear();
    for (const WorkerInfo &info : workers) {
        WorkerState state;
        state.info = info;
        state.lastReport = now;
        state.lastRenewal = now + m_timing.detachedRenewalLimit;
        if (!m_workers.empty()) {
            const WorkerState &previous = m_workers.back();
            state.rack = previous.rack + (previous.info.rack == info.rack ? 0 : 1);
        }
        m_workers.push_back(std::move(state));
    }
}

std::uint32_t CellWorkers::indexOf(const std::string &name) const
{
    const auto found = std::ranges::find_if(m_workers, [&](const WorkerState &worker) {
        return worker.info.name == name;
    });
    return static_cast<std::uint32_t>(found - m_workers.begin());
}

void CellWorkers::onReport(std::uint32_t worker, const WorkerReport &report, TimePoint now)
{
    WorkerState &state = m_workers[worker];
    const bool sameList = state.boot == report.boot && state.tasksNumber == report.tasksNumber;
    if (report.tasksOmitted && !sameList) {
        // The report refers to a task list that is not known here. The next message requests the full list.
        state.tasksNumber = 0;
        onReportTimeout(worker);
        return;
    }
    state.messageInFlight = false;
    state.boot = report.boot;
    state.clock = report.clock;
    state.clockReadAt = now;
    state.lastReport = now;
    state.lastRenewal = state.lastSent;
    state.answeredMessageSentAt = state.lastSent;
    if (!report.tasksOmitted) {
        state.tasksNumber = report.tasksNumber;
        state.tasks = report.tasks;
    }
}

void CellWorkers::onReportTimeout(std::uint32_t worker)
{
    WorkerState &state = m_workers[worker];
    state.messageInFlight = false;
    state.unansweredValidUntil = std::max(state.unansweredValidUntil, state.lastSent + m_timing.messageValidity);
}

bool CellWorkers::isUsable(const WorkerState &worker, TimePoint now) const
{
    return worker.boot != 0 && hasReportedRecently(worker, now) && now >= worker.quarantinedUntil;
}

bool CellWorkers::allReportedOrSilent(TimePoint now) const
{
    return std::ranges::all_of(m_workers, [&](const WorkerState &worker) {
        return worker.boot != 0 || !hasReportedRecently(worker, now);
    });
}

void CellWorkers::recordTaskEnd(std::uint32_t worker, const std::string &job, bool succeeded, TimePoint now)
{
    WorkerState &state = m_workers[worker];
    if (succeeded) {
        state.consecutiveFailures = 0;
        state.failedSeveralJobs = false;
        state.consecutiveQuarantines = 0;
        return;
    }
    state.failedSeveralJobs = state.failedSeveralJobs || (state.consecutiveFailures > 0 && state.lastFailedJob != job);
    state.lastFailedJob = job;
    ++state.consecutiveFailures;
    // Repeated failures of a single job indicate a fault of the job rather than of the worker.
    if (state.consecutiveFailures >= quarantineThreshold && state.failedSeveralJobs) {
        const Duration doubled = m_timing.initialQuarantine * (1U << std::min(state.consecutiveQuarantines, 10U));
        state.quarantinedUntil = now + std::min(doubled, m_timing.maxQuarantine);
        ++state.consecutiveQuarantines;
        // After the quarantine a single further failure quarantines the worker again.
        state.consecutiveFailures = quarantineThreshold - 1;
        m_counters.add(Counter::WorkersQuarantined);
    }
}

} // namespace banyanlock
