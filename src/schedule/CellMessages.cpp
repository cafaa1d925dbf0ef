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
    const ObservedState observed = observedState(gang, task, now);
    switch (gang.phase) {
    case GangPhase::Preparing:
        return observed == ObservedState::NotReported ? std::optional(TaskCommandKind::Prepare) : std::nullopt;
    case GangPhase::Starting:
        if (observed != ObservedState::Prepared || (now >= gang.startDeadline && isEnabled(Guard::TaskStartBy))) {
            return std::nullopt;
        }
        return TaskCommandKind::Commit;
    case GangPhase::Stopping:
        if (observed == ObservedState::Prepared) {
            return TaskCommandKind::Stop;
        }
        if (observed == ObservedState::Running) {
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

std::vector<Cell::MessagePlan> Cell::planMessages(TimePoint now) const
{
    std::vector<MessagePlan> plans(m_workers.all().size());
    for (MessagePlan &plan : plans) {
        plan.validUntil = now + m_timing.messageValidity;
    }
    if (!m_recovered) {
        return plans;
    }
    for (const Gang &gang : m_gangs) {
        for (std::uint32_t task = 0; task < gang.placement.size(); ++task) {
            const std::uint32_t worker = gang.placement[task].worker;
            const WorkerState &state = m_workers.all()[worker];
            MessagePlan &plan = plans[worker];
            plan.reportNeeded
                = plan.reportNeeded || (gang.phase == GangPhase::Stopping && state.answeredMessageSentAt < gang.stoppingSince);
            const std::optional<TaskCommandKind> kind = commandKindFor(gang, task, now);
            if (!kind || state.boot == 0) {
                continue;
            }
            plan.commands.push_back(makeCommand(*kind, gang, task));
            if (*kind == TaskCommandKind::Commit) {
                plan.validUntil = std::min(plan.validUntil, gang.startDeadline);
            }
        }
    }
    for (std::uint32_t worker = 0; worker < plans.size(); ++worker) {
        addOrphanCommands(plans[worker].commands, m_workers.all()[worker]);
    }
    return plans;
}

bool Cell::isMessageDue(const WorkerState &worker, const MessagePlan &plan, TimePoint now) const
{
    if (worker.messageInFlight) {
        return false;
    }
    const Duration sinceSent = now - worker.lastSent;
    const bool newCommands = !plan.commands.empty() && plan.commands != worker.lastCommands;
    const bool repeat = !plan.commands.empty() && sinceSent >= repeatInterval;
    // The first message cannot name the worker's process and so renews no lease. Leases renewed by the previous owner may expire soon, so
    // the first renewal is sent at once.
    const bool firstRenewal = worker.boot != 0 && !worker.renewed && m_renewalsAllowed;
    return sinceSent >= m_timing.heartbeat || newCommands || plan.reportNeeded || repeat || firstRenewal;
}

void Cell::sendMessages(TimePoint now)
{
    std::vector<MessagePlan> plans = planMessages(now);
    for (std::uint32_t index = 0; index < plans.size(); ++index) {
        WorkerState &worker = m_workers.all()[index];
        MessagePlan &plan = plans[index];
        if (!isMessageDue(worker, plan, now)) {
            continue;
        }
        const bool renews = worker.boot != 0 && m_renewalsAllowed && m_workers.hasReportedRecently(worker, now);
        WorkerMessage message;
        message.cell = m_failureDomain;
        message.epoch = m_epoch;
        message.boot = worker.boot;
        message.validUntil = worker.clock + (plan.validUntil - worker.clockReadAt);
        message.lease = renews ? m_timing.lease : Duration::zero();
        message.knownTasks = worker.tasksNumber;
        message.commands = plan.commands;
        worker.lastCommands = std::move(plan.commands);
        worker.messageInFlight = true;
        worker.lastSent = now;
        if (renews) {
            worker.renewed = true;
            worker.lastRenewal = std::max(worker.lastRenewal, now);
        }
        m_context.counters.add(Counter::WorkerMessages);
        m_actions.emplace_back(SendWorkerMessage{worker.info.name, worker.info.address, std::move(message)});
    }
}

} // namespace banyanlock
