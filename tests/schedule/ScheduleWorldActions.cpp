#include "ScheduleProcesses.h"
#include "schedule/CellTable.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration messageTimeout = fromMilliseconds(1000);
constexpr Duration storeTimeout = fromMilliseconds(2000);

} // namespace

// ---- actions requested by the cells

void ScheduleWorld::performActions(EntryProcess &entry)
{
    for (std::size_t cell = 0; cell < entry.cells.size(); ++cell) {
        for (CellAction &action : entry.cells[cell]->takeActions()) {
            std::visit(
                [&](auto &item) {
                    perform(entry, cell, item);
                },
                action);
        }
    }
}

WorkerReport ScheduleWorld::deliver(WorkerProcess &worker, const WorkerMessage &message)
{
    const std::uint64_t startsBefore = worker.model->starts();
    WorkerReport report = worker.model->onMessage(message, m_network.now() + worker.clockOffset);
    if (report.accepted && message.epoch < worker.highestEpoch) {
        reportViolation(worker.model->info().name + " acted on a message of an earlier owner");
    }
    worker.highestEpoch = std::max(worker.highestEpoch, report.highestEpoch);
    for (const TaskReport &task : report.tasks) {
        if (worker.seenTasks.insert(task.task).second) {
            m_prepared[task.task.job + "/" + std::to_string(task.task.run)].insert(task.task.index);
        }
    }
    if (worker.model->starts() == startsBefore) {
        return report;
    }
    for (const TaskCommand &command : message.commands) {
        if (command.kind == TaskCommandKind::Commit) {
            observeStart(command.task, worker.model->info());
        }
    }
    return report;
}

void ScheduleWorld::perform(EntryProcess &entry, std::size_t cell, SendWorkerMessage &action)
{
    const auto place = std::ranges::find(m_fleet.workers(), action.worker, &WorkerInfo::name);
    const auto target = static_cast<int>(place - m_fleet.workers().begin());
    const std::uint64_t term = entry.cells[cell]->term();
    const auto done = std::make_shared<bool>(false);
    // Either the report or the timeout is delivered, never both.
    const auto complete = [this, cell, term, done, name = action.worker, index = entry.index,
                           incarnation = entry.incarnation](const std::optional<WorkerReport> &report) {
        withEntry(index, incarnation, [this, cell, term, done, name, report](EntryProcess &owner) {
            if (std::exchange(*done, true) || owner.cells[cell]->term() != term) {
                return;
            }
            if (report) {
                owner.cells[cell]->onReport(name, *report, m_network.now());
            } else {
                owner.cells[cell]->onReportTimeout(name, m_network.now());
            }
        });
    };
    NetworkFaults link = m_options.network;
    link.duplication = 0; // HTTP over TCP does not duplicate messages
    const auto arrive = [this, target, link, complete, message = action.message] {
        if (m_network.now() < workerAt(target).partitionedUntil) {
            return;
        }
        withWorker(target, [this, link, complete, message](WorkerProcess &worker) {
            const WorkerReport report = deliver(worker, message);
            if (m_network.now() >= worker.partitionedUntil) {
                m_network.send(link, [complete, report] {
                    complete(report);
                });
            }
        });
    };
    m_network.send(link, arrive);
    m_network.after(messageTimeout, [complete] {
        complete(std::nullopt);
    });
}

void ScheduleWorld::perform(EntryProcess &entry, std::size_t cell, CommitJob &action)
{
    const auto answer
        = [this, cell, job = action.job, index = entry.index, incarnation = entry.incarnation](const CommitResult &result, Duration delay) {
              m_network.after(delay, [this, cell, job, index, incarnation, result] {
                  withEntry(index, incarnation, [this, cell, job, result](EntryProcess &owner) {
                      owner.cells[cell]->onCommit(job, result, m_network.now());
                  });
              });
          };
    if (!storeAnswers(entry)) {
        answer({CommitState::NotSent, 0, {}}, fromMilliseconds(10));
        return;
    }
    if (m_random.chance(m_options.lostRequestProbability)) {
        answer({CommitState::Unknown, 0, {}}, storeTimeout);
        return;
    }
    const Duration delay = storeDelay();
    const bool tooSlow = delay >= storeTimeout;
    if (tooSlow) {
        // The owner's request times out, but the transaction takes effect later.
        answer({CommitState::Unknown, 0, {}}, storeTimeout);
    }
    m_network.after(delay, [this, answer, tooSlow, transaction = action.transaction] {
        const CommitResult result = m_store.commit(transaction);
        if (tooSlow) {
            return;
        }
        const bool lost = m_random.chance(m_options.lostAnswerProbability);
        answer(lost ? CommitResult{CommitState::Unknown, 0, {}} : result, lost ? storeTimeout : Duration(m_random.below(5000)));
    });
}

void ScheduleWorld::perform(EntryProcess &entry, std::size_t cell, RefreshJob &action)
{
    const bool available = storeIsUp();
    const ScanResult scan
        = available ? m_store.scan(std::vector<std::string>{jobTable, ConfigurationRows::table, cellTable}, entry.version) : ScanResult();
    m_network.after(fromMilliseconds(5),
                    [this, cell, available, scan, job = action.job, index = entry.index, incarnation = entry.incarnation] {
                        withEntry(index, incarnation, [this, cell, available, scan, job](EntryProcess &owner) {
                            if (available) {
                                adopt(owner, scan);
                            }
                            owner.cells[cell]->onRefresh(job, available, m_network.now());
                        });
                    });
}

} // namespace banyanlock
