#include "WorkerModel.h"

#include "core/Assert.h"
#include "core/Guard.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration prepareHold = fromMilliseconds(10000);

} // namespace

WorkerModel::WorkerModel(WorkerInfo info, std::uint64_t boot, WorkerBehaviour behaviour)
    : m_info(std::move(info))
    , m_boot(boot)
    , m_behaviour(behaviour)
    , m_save([](const TaskKey &, Duration) {
    })
    , m_load([](const TaskKey &) {
        return Duration::zero();
    })
{
}

void WorkerModel::setProgressStore(SaveProgress save, LoadProgress load)
{
    m_save = std::move(save);
    m_load = std::move(load);
}

bool WorkerModel::isAcceptable(const WorkerMessage &message, TimePoint now) const
{
    if (message.boot != 0 && message.boot != m_boot) {
        return false;
    }
    if (message.epoch < m_highestEpoch && isEnabled(Guard::WorkerEpoch)) {
        return false;
    }
    return message.boot == 0 || now <= message.validUntil || !isEnabled(Guard::TaskStartBy);
}

WorkerReport WorkerModel::onMessage(const WorkerMessage &message, TimePoint now)
{
    advance(now);
    const bool accepted = isAcceptable(message, now);
    if (!accepted) {
        return answer(message, false, now);
    }
    m_highestEpoch = std::max(m_highestEpoch, message.epoch);
    if (message.boot != 0) {
        for (auto &[key, task] : m_tasks) {
            if (task.state == TaskState::Running && message.lease > Duration::zero()) {
                task.until = now + message.lease;
            }
        }
        for (const TaskCommand &command : message.commands) {
            apply(command, message, now);
        }
    }
    return answer(message, true, now);
}

WorkerReport WorkerModel::answer(const WorkerMessage &message, bool accepted, TimePoint now)
{
    WorkerReport full = report(accepted, now);
    if (full.tasks != m_reportedTasks) {
        m_reportedTasks = full.tasks;
        ++m_tasksNumber;
    }
    full.tasksNumber = m_tasksNumber;
    full.tasksOmitted = message.boot == m_boot && message.knownTasks == m_tasksNumber;
    if (full.tasksOmitted) {
        full.tasks.clear();
    }
    return full;
}

bool WorkerModel::hasRoomFor(const TaskCommand &command) const
{
    AcceleratorMask held = 0;
    std::uint32_t processors = command.processors;
    std::uint32_t memory = command.memoryMegabytes;
    for (const auto &[key, task] : m_tasks) {
        if (holdsResources(task.state)) {
            BANYANLOCK_ASSERT((held & task.command.accelerators) == 0);
            held |= task.command.accelerators;
            processors += task.command.processors;
            memory += task.command.memoryMegabytes;
        }
    }
    const bool inside = (command.accelerators & ~allAccelerators(m_info)) == 0;
    return inside && (held & command.accelerators) == 0 && processors <= m_info.processors && memory <= m_info.memoryMegabytes;
}

void WorkerModel::prepare(const TaskCommand &command, TimePoint now)
{
    if (m_tasks.contains(command.task) || !hasRoomFor(command)) {
        return;
    }
    Task task;
    task.command = command;
    task.until = now + prepareHold;
    if (command.fromCheckpoint) {
        task.progressAtStart = m_load(command.task);
    }
    m_tasks.emplace(command.task, std::move(task));
}

void WorkerModel::start(Task &task, const WorkerMessage &message, TimePoint now)
{
    if (task.state != TaskState::Prepared) {
        return;
    }
    ++m_starts;
    const double declared = static_cast<double>(fromMilliseconds(task.command.durationHintMilliseconds).count());
    const Duration whole(static_cast<std::int64_t>(declared * m_behaviour.durationFactor));
    task.state = m_behaviour.failStarts ? TaskState::Failed : TaskState::Running;
    task.startedAt = now;
    task.endsAt = now + std::max(Duration::zero(), whole - task.progressAtStart);
    task.until = now + message.lease;
}

void WorkerModel::apply(const TaskCommand &command, const WorkerMessage &message, TimePoint now)
{
    if (command.kind == TaskCommandKind::Prepare) {
        prepare(command, now);
        return;
    }
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end()) {
        return;
    }
    Task &task = found->second;
    switch (command.kind) {
    case TaskCommandKind::Prepare:
        break;
    case TaskCommandKind::Commit:
        start(task, message, now);
        break;
    case TaskCommandKind::Checkpoint:
        if (task.state == TaskState::Running && !task.checkpointing) {
            task.checkpointing = true;
            task.checkpointAt = now + m_behaviour.checkpointTime;
        }
        break;
    case TaskCommandKind::Stop:
        task.state = holdsResources(task.state) ? TaskState::Stopped : task.state;
        break;
    case TaskCommandKind::Forget:
        if (!holdsResources(task.state)) {
            m_tasks.erase(found);
        }
        break;
    }
}

void WorkerModel::advance(TimePoint now)
{
    std::erase_if(m_tasks, [&](const auto &entry) {
        return entry.second.state == TaskState::Prepared && now > entry.second.until;
    });
    for (auto &[key, task] : m_tasks) {
        if (task.state != TaskState::Running) {
            continue;
        }
        if (now > task.until) {
            task.state = TaskState::Stopped;
        } else if (now >= task.endsAt) {
            task.state = TaskState::Succeeded;
        } else if (task.checkpointing && now >= task.checkpointAt) {
            task.state = TaskState::Checkpointed;
            m_save(key, task.progressAtStart + (now - task.startedAt));
        }
    }
}

WorkerReport WorkerModel::report(bool accepted, TimePoint now) const
{
    WorkerReport report;
    report.boot = m_boot;
    report.clock = now;
    report.highestEpoch = m_highestEpoch;
    report.accepted = accepted;
    for (const auto &[key, task] : m_tasks) {
        report.tasks.push_back({key, task.state, task.command.accelerators});
    }
    return report;
}

std::vector<TaskKey> WorkerModel::runningTasks() const
{
    std::vector<TaskKey> keys;
    for (const auto &[key, task] : m_tasks) {
        if (task.state == TaskState::Running) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace banyanlock
