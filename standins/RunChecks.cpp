#include "RunChecks.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

RunChecks::RunChecks(std::function<TimePoint()> now)
    : m_now(std::move(now))
{
}

void RunChecks::addJob(const std::string &job, const GraphSpec &spec)
{
    m_specs[job] = spec;
}

PoolWorkerModel::Observer RunChecks::makeObserver()
{
    PoolWorkerModel::Observer observer;
    observer.onStart = [this](const StartTask &start, const PoolWorkerModel &worker) {
        const RunName &run = start.run;
        ++m_starts[run.task.job];
        Log::info("model_start",
                  {{"run", describe(run)},
                   {"worker", worker.announcement().incarnation.worker},
                   {"born", worker.announcement().incarnation.startedUnixMilliseconds},
                   {"at", toMilliseconds(m_now().time_since_epoch())}});
        m_firstStarts.try_emplace(run.task.job, m_now());
        if (!worker.hasContact()) {
            m_startedBeforeContact.insert(run.task);
        }
        if (const auto running = m_runningTasks.find(run.task); running != m_runningTasks.end()) {
            violateByStart(run, "two runs at once: " + describe(run) + " beside " + describe(running->second));
        }
        if (!m_specs.contains(run.task.job)) {
            violate("nobody asked for: " + describe(run));
            return;
        }
        if (m_absentJobs.contains(run.task.job)) {
            violate("started after its cancellation was answered with its absence: " + describe(run));
        }
        const GraphSpec &spec = m_specs.at(run.task.job);
        if (m_doneTasks.contains(run.task) && !spec.steps[run.task.step].longRunning) { // those are restarted however they end
            violateByStart(run, "started after its end was acknowledged: " + describe(run));
        }
        if (start.payload != spec.payload) {
            violate("with another payload than was submitted: " + describe(run));
        }
        if (!start.checkpoint.empty() && !start.checkpoint.ends_with(checkpointSuffix)) {
            violate("with a checkpoint that no worker has saved: " + describe(run));
        }
        for (const std::uint32_t earlier : spec.steps[run.task.step].after) {
            for (std::uint32_t index = 0; index < spec.steps[earlier].tasks; ++index) {
                if (!m_succeeded.contains({run.task.job, run.task.occurrence, earlier, index}) && !spec.steps[earlier].gang) {
                    violate("started before an earlier step: " + describe(run));
                }
            }
        }
        const std::string &label = spec.steps[run.task.step].requiredLabel;
        if (!label.empty() && std::ranges::count(worker.announcement().labels, label) == 0) {
            violateByStart(run, "without the label it requires: " + describe(run) + " on " + worker.announcement().incarnation.worker);
        }
        if (!worker.announcement().capacity.fits(worker.used())) {
            violateByStart(run, "more than the worker has: " + describe(run) + " on " + worker.announcement().incarnation.worker);
        }
        m_runningTasks[run.task] = run;
    };
    observer.onEnd = [this](const RunName &run, RunEnding ending, const PoolWorkerModel &worker) {
        Log::info("model_end",
                  {{"run", describe(run)},
                   {"worker", worker.announcement().incarnation.worker},
                   {"ending", std::string(runEndingName(ending))},
                   {"at", toMilliseconds(m_now().time_since_epoch())}});
        m_runningTasks.erase(run.task);
        m_stops += ending == RunEnding::Stopped ? 1 : 0;
        if (ending == RunEnding::Succeeded) {
            m_succeeded.insert(run.task);
        }
    };
    observer.onAcknowledged = [this](const RunName &run, RunEnding ending, const PoolWorkerModel &worker) {
        Log::info("model_acknowledged",
                  {{"run", describe(run)},
                   {"born", worker.announcement().incarnation.startedUnixMilliseconds},
                   {"at", toMilliseconds(m_now().time_since_epoch())}});
        if (ending == RunEnding::Succeeded) {
            m_doneTasks.insert(run.task);
        }
    };
    observer.presentMembers = [this](const RunName &run) {
        std::uint32_t present = 0;
        for (std::uint32_t index = 0; index < m_specs.at(run.task.job).steps[run.task.step].tasks; ++index) {
            TaskName member = run.task;
            member.index = index;
            const auto running = m_runningTasks.find(member);
            present += running != m_runningTasks.end() && running->second.run == run.run ? 1 : 0;
        }
        return present;
    };
    return observer;
}

ModelTask RunChecks::taskOf(const TaskName &task) const
{
    const auto found = m_specs.find(task.job);
    if (found == m_specs.end()) {
        return {}; // the start is a violation
    }
    const StepSpec &step = found->second.steps[task.step];
    return {step.demand, step.estimate, membersOf(step), step.checkpoints};
}

void RunChecks::violateByStart(const RunName &run, const std::string &text)
{
    violate((m_startedBeforeContact.contains(run.task) ? startBeforeContact : "") + text);
}

void RunChecks::violate(const std::string &text)
{
    m_violations.push_back(std::to_string(toMilliseconds(m_now().time_since_epoch())) + " ms: " + text);
}

bool RunChecks::haveAllSucceeded(const std::string &job) const
{
    const std::vector<StepSpec> &steps = m_specs.at(job).steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        std::uint32_t succeeded = 0;
        for (std::uint32_t index = 0; index < steps[step].tasks; ++index) {
            succeeded += m_succeeded.contains({job, 0, step, index}) ? 1 : 0;
        }
        // One member that ended well stands for its gang.
        if (succeeded < unitsOf(steps[step])) {
            return false;
        }
    }
    return true;
}

std::uint32_t RunChecks::startsOf(const std::string &job) const
{
    const auto found = m_starts.find(job);
    return found == m_starts.end() ? 0 : found->second;
}

std::optional<TimePoint> RunChecks::firstStart(const std::string &job) const
{
    const auto found = m_firstStarts.find(job);
    return found == m_firstStarts.end() ? std::nullopt : std::optional(found->second);
}

} // namespace banyanlock
