#include "ScheduleProcesses.h"
#include "schedule/JobCodec.h"

#include <algorithm>

namespace banyanlock
{

// ---- invariants

void ScheduleWorld::observeStart(const TaskKey &task, const WorkerInfo &worker)
{
    TrackedJob &job = m_jobs[task.job];
    if (!job.startedAt) {
        job.startedAt = m_network.now();
    }
    const auto out = m_outSince.find(worker.failureDomain);
    if (out != m_outSince.end() && m_network.now() - out->second > maxStartDelayAfterOut) {
        reportViolation(task.job + " started in " + worker.failureDomain + " after it was taken out of service");
    }
    if (job.cancelledWhileQueued) {
        reportViolation(task.job + " started though it was cancelled");
    }
    if (m_prepared[task.job + "/" + std::to_string(task.run)].size() != job.spec.shape.tasks) {
        reportViolation(task.job + " started before its whole gang had prepared");
    }
}

void ScheduleWorld::observeGangs()
{
    std::map<std::string, std::map<std::uint32_t, std::set<std::uint32_t>>> running;
    for (const std::unique_ptr<WorkerProcess> &worker : m_workers) {
        for (const TaskKey &task : worker->model->runningTasks()) {
            running[task.job][task.run].insert(task.index);
        }
    }
    for (auto &[id, job] : m_jobs) {
        const auto runs = running.find(id);
        if (runs != running.end() && runs->second.size() > 1) {
            reportViolation(id + " has two runs at once");
        }
        const bool partial = runs != running.end() && runs->second.begin()->second.size() < job.spec.shape.tasks;
        if (!partial) {
            job.partialSince.reset();
        } else if (!job.partialSince) {
            job.partialSince = m_network.now();
        } else if (m_network.now() - *job.partialSince > maxPartialGangDuration) {
            reportViolation("only some tasks of " + id + " have been running for too long");
            job.partialSince = m_network.now();
        }
    }
}

void ScheduleWorld::observeEnds()
{
    const ScanResult scan = m_store.scan(std::vector<std::string>{jobTable}, m_observedVersion);
    m_observedVersion = scan.version;
    for (const TableRow &row : scan.rows) {
        const JobRecord record = valueOf(decodeJobRecord(row));
        TrackedJob &job = m_jobs[record.id];
        if (hasEnded(record.state) && !job.endedAt) {
            job.endedAt = m_network.now();
        }
    }
}

void ScheduleWorld::checkAllJobsEnded()
{
    for (const auto &[id, job] : m_jobs) {
        const JobRecord record = valueOf(decodeJobRecord(*m_store.read(jobTable, id).row));
        if (!hasEnded(record.state)) {
            reportViolation(id + " has not ended: " + jobStateName(record.state) + " in " + record.cell + ", " + record.reason);
        }
    }
}

std::uint32_t ScheduleWorld::acceleratorsInUse() const
{
    std::uint32_t total = 0;
    for (const std::unique_ptr<WorkerProcess> &worker : m_workers) {
        for (const TaskKey &task : worker->model->runningTasks()) {
            const auto job = m_jobs.find(task.job);
            total += job == m_jobs.end() ? 0 : job->second.spec.shape.accelerators;
        }
    }
    return total;
}

std::vector<std::uint32_t> ScheduleWorld::freeByWorker() const
{
    std::vector<std::uint32_t> free;
    for (const std::unique_ptr<WorkerProcess> &worker : m_workers) {
        std::uint32_t used = 0;
        for (const TaskKey &task : worker->model->runningTasks()) {
            const auto job = m_jobs.find(task.job);
            used += job == m_jobs.end() ? 0 : job->second.spec.shape.accelerators;
        }
        const bool out = m_outSince.contains(worker->model->info().failureDomain);
        free.push_back(out ? 0 : worker->model->info().accelerators - used);
    }
    return free;
}

std::uint32_t ScheduleWorld::freeAccelerators() const
{
    std::uint32_t total = 0;
    for (const std::uint32_t free : freeByWorker()) {
        total += free;
    }
    return total;
}

std::uint32_t ScheduleWorld::freeInWholeRacks(std::uint32_t workers, std::uint32_t accelerators) const
{
    const std::vector<std::uint32_t> free = freeByWorker();
    const auto perRack = static_cast<std::size_t>(m_options.workersPerRack);
    std::uint32_t total = 0;
    for (std::size_t rack = 0; rack < free.size(); rack += perRack) {
        const auto fitting = static_cast<std::uint32_t>(std::count_if(free.begin() + static_cast<std::ptrdiff_t>(rack),
                                                                      free.begin() + static_cast<std::ptrdiff_t>(rack + perRack),
                                                                      [&](std::uint32_t count) {
                                                                          return count >= accelerators;
                                                                      }));
        total += fitting / workers * workers * accelerators;
    }
    return total;
}

} // namespace banyanlock
