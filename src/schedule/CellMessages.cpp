#include "schedule/Cell.h"

#include "core/Assert.h"
#include "core/Guard.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration repeatInterval = fromMilliseconds(200);

} // namespace

TaskCommand Cell::makeCommand(TaskCommandKind kind, const Gang &gang, std::uint32_t task) const
{
    const JobRecord &record = *m_context.jobs.find(gang.job);
    TaskCommand command;
    command.kind = kind;
    command.task = {gang.job, gang.run, task};
    command.accelerators = gang.placement[task].accelerators;
    command.processors = record.spec.shape.processors;
    command.memoryMegabytes = record.spec.shape.memoryMegabytes;
    command.durationHintMilliseconds = record.spec.durationHintMilliseconds;
    command.fromCheckpoint = record.fromCheckpoint;
    return command;
}

std::optional<TaskCommandKind> Cell::commandKindFor(const Gang &gang, std::uint32_t task, TimePoint now) const
{
    const Presence presence = presenceOf(gang, task, now);
    switch (gang.phase) {
    case GangPhase::Preparing:
        return presence == Presence::Unseen ? std::optional(TaskCommandKind::Prepare) : std::nullopt;
    case GangPhase::Starting:
        if (presence != Presence::Prepared || (now >= gang.startBy && isEnabled(Guard::TaskStartBy))) {
            return std::nullopt;
        }
        return TaskCommandKind::Commit;
    case GangPhase::Stopping:
        if (presence == Presence::Prepared) {
            return TaskCommandKind::Stop;
        }
        if (presence == Presence::Running) {
            return gang.useCheckpoint && now < gang.deadline ? TaskCommandKind::Checkpoint : TaskCommandKind::Stop;
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

void Cell::addOrphanCommands(std::vector<TaskCommand> &commands, const WorkerState &worker) const
{
    for (const TaskReport &report : worker.tasks) {
        const Gang *gang = findGang(report.task.job);
        if (gang != nullptr && gang->run == report.task.run) {
            continue;
        }
        TaskCommand command;
        command.kind = holdsResources(report.state) ? TaskCommandKind::Stop : TaskCommandKind::Forget;
        command.task = report.task;
        commands.push_back(std::move(command));
    }
}

std::vector<TaskCommand> Cell::commandsFor(std::uint32_t worker, TimePoint now) const
{
    std::vector<TaskCommand> commands;
    const WorkerState &state = m_workers.all()[worker];
    if (!m_learned || state.boot == 0) {
        return commands;
    }
    for (const Gang &gang : m_gangs) {
        for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
            if (gang.placement[task].worker != worker) {
                continue;
            }
            if (const std::optional<TaskCommandKind> kind = commandKindFor(gang, task, now)) {
                commands.push_back(makeCommand(*kind, gang, task));
            }
        }
    }
    addOrphanCommands(commands, state);
    return commands;
}

TimePoint Cell::validUntil(std::uint32_t worker, TimePoint now) const
{
    TimePoint until = now + m_times.validity;
    for (const Gang &gang : m_gangs) {
        const bool starts = gang.phase == GangPhase::Starting && now < gang.startBy
            && std::ranges::any_of(gang.placement, [&](const TaskPlacement &task) {
                                return task.worker == worker;
                            });
        until = starts ? std::min(until, gang.startBy) : until;
    }
    return until;
}

bool Cell::isMessageDue(const WorkerState &worker, const std::vector<TaskCommand> &commands, TimePoint now) const
{
    if (worker.messageUnderWay) {
        return false;
    }
    const Duration sinceSent = now - worker.lastSent;
    if (sinceSent >= m_times.heartbeat) {
        return true;
    }
    const bool newCommands = !commands.empty() && commands != worker.lastCommands;
    // A stop waits for a report that is newer than itself.
    const bool reportWanted = std::ranges::any_of(m_gangs, [&](const Gang &gang) {
        return gang.phase == GangPhase::Stopping && worker.reportSentAt < gang.stopSince
            && std::ranges::any_of(gang.placement, [&](const TaskPlacement &task) {
                   return &m_workers.all()[task.worker] == &worker;
               });
    });
    return newCommands || reportWanted || (!commands.empty() && sinceSent >= repeatInterval);
}

void Cell::sendMessages(TimePoint now)
{
    for (std::uint32_t index = 0; index < m_workers.all().size(); ++index) {
        WorkerState &worker = m_workers.all()[index];
        std::vector<TaskCommand> commands = commandsFor(index, now);
        if (!isMessageDue(worker, commands, now)) {
            continue;
        }
        WorkerMessage message;
        message.cell = m_failureDomain;
        message.epoch = m_epoch;
        message.boot = worker.boot;
        message.validUntil = worker.clock + (validUntil(index, now) - worker.clockReadAt);
        const bool renews = m_renewalsAllowed && m_workers.isHeard(worker, now);
        message.lease = renews ? m_times.lease : Duration::zero();
        message.commands = commands;
        worker.lastCommands = std::move(commands);
        worker.messageUnderWay = true;
        worker.lastSent = now;
        if (renews) {
            worker.lastRenewal = std::max(worker.lastRenewal, now);
        }
        m_context.counters.add(Counter::WorkerMessages);
        m_actions.emplace_back(SendWorkerMessage{worker.info.name, worker.info.address, std::move(message)});
    }
}

} // namespace banyanlock
