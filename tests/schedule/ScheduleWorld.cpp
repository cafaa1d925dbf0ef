#include "ScheduleWorld.h"

#include "contract/ContractCodec.h"
#include "schedule/CellTable.h"
#include "schedule/JobCodec.h"
#include "schedule/JobRouter.h"
#include "support/Freezable.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration pollInterval = fromMilliseconds(500);
constexpr Duration tickInterval = fromMilliseconds(10);
constexpr Duration workerTick = fromMilliseconds(50);
constexpr Duration messageTimeout = fromMilliseconds(1000);
constexpr Duration storeTimeout = fromMilliseconds(2000);

} // namespace

struct ScheduleWorld::EntryProcess : Freezable {
    int index = 0;
    std::uint64_t incarnation = 0;
    TimerService timers;
    std::unique_ptr<Configuration> configuration;
    std::unique_ptr<ReservationPlan> plan;
    JobTable jobs;
    std::vector<std::unique_ptr<Cell>> cells;
    std::uint64_t version = 0;
    TimePoint lastPoll{};
    TimePoint readsStaleUntil{};
    TimePoint storeCutUntil{};
    ScanResult oldScan;
};

struct ScheduleWorld::WorkerProcess : Freezable {
    int index = 0;
    std::unique_ptr<WorkerModel> model;
    Duration clockOffset{};
    TimePoint cutUntil{};
    std::set<TaskKey> known;
    std::uint64_t highestEpoch = 0;
};

ScheduleWorld::ScheduleWorld(std::uint64_t seed, ScheduleOptions options)
    : m_random(seed)
    , m_options(options)
    , m_network(m_random)
{
    std::vector<WorkerInfo> infos;
    for (int domain = 0; domain < options.domains; ++domain) {
        for (int worker = 0; worker < options.racksPerDomain * options.workersPerRack; ++worker) {
            WorkerInfo info;
            info.failureDomain = domainName(domain);
            info.rack = info.failureDomain + "-r" + std::to_string(worker / options.workersPerRack);
            info.name = info.rack + "-w" + std::to_string(worker);
            info.accelerators = options.accelerators;
            info.processors = 128;
            info.memoryMegabytes = 262144;
            infos.push_back(info);
        }
    }
    m_fleet = Fleet(infos);
    m_workers.resize(infos.size());
    for (int index = 0; index < workerCount(); ++index) {
        startWorker(index);
    }
    m_entries.resize(static_cast<std::size_t>(options.entries));
    for (int index = 0; index < options.entries; ++index) {
        startEntry(index);
    }
    tickWorkers();
}

ScheduleWorld::~ScheduleWorld() = default;

std::string ScheduleWorld::domainName(int domain) const
{
    return "fd-" + std::to_string(domain);
}

void ScheduleWorld::violate(const std::string &text)
{
    m_violations.push_back(std::to_string(toMilliseconds(m_network.now().time_since_epoch())) + " ms: " + text);
}

void ScheduleWorld::run(Duration length)
{
    m_network.runUntil(m_network.now() + length);
}

bool ScheduleWorld::storeIsUp() const
{
    return m_network.now() >= m_storeDownUntil;
}

bool ScheduleWorld::storeAnswers(const EntryProcess &entry) const
{
    return storeIsUp() && m_network.now() >= entry.storeCutUntil;
}

// ---- processes

void ScheduleWorld::startEntry(int index)
{
    auto entry = std::make_unique<EntryProcess>();
    entry->index = index;
    entry->incarnation = ++m_lastIncarnation;
    entry->configuration = std::make_unique<Configuration>(m_counters);
    entry->plan = std::make_unique<ReservationPlan>(m_fleet, std::span<const Contract>(), std::span<const std::string>());
    for (int domain = 0; domain < m_options.domains; ++domain) {
        const CellContext context{entry->timers, m_counters, m_fleet, *entry->configuration, *entry->plan, entry->jobs};
        const std::string name = "entry-" + std::to_string(index) + "-" + std::to_string(entry->incarnation);
        entry->cells.push_back(std::make_unique<Cell>(domainName(domain), name, context, m_options.policy, m_options.times));
    }
    const std::uint64_t incarnation = entry->incarnation;
    m_entries[static_cast<std::size_t>(index)] = std::move(entry);
    tickEntry(index, incarnation);
}

void ScheduleWorld::startWorker(int index)
{
    auto worker = std::make_unique<WorkerProcess>();
    worker->index = index;
    worker->clockOffset = fromMilliseconds(m_random.below(1000000));
    WorkerBehaviour behaviour;
    behaviour.failStarts = m_random.chance(m_options.failStarts);
    worker->model = std::make_unique<WorkerModel>(m_fleet.workers()[static_cast<std::size_t>(index)], m_random.bits() | 1U, behaviour);
    worker->model->setProgressStore(
        [this](const TaskKey &task, Duration progress) {
            m_progress[{task.job, 0, task.index}] = progress;
        },
        [this](const TaskKey &task) {
            const auto saved = m_progress.find({task.job, 0, task.index});
            return saved == m_progress.end() ? Duration::zero() : saved->second;
        });
    m_workers[static_cast<std::size_t>(index)] = std::move(worker);
}

void ScheduleWorld::withEntry(int index, std::uint64_t incarnation, const std::function<void(EntryProcess &)> &event)
{
    EntryProcess &entry = *m_entries[static_cast<std::size_t>(index)];
    if (entry.incarnation != incarnation) {
        return;
    }
    if (entry.isFrozen(m_network.now())) {
        entry.keep([this, index, incarnation, event] {
            withEntry(index, incarnation, event);
        });
        return;
    }
    entry.timers.advanceTo(m_network.now());
    settle(entry);
    event(entry);
    settle(entry);
}

void ScheduleWorld::withWorker(int index, const std::function<void(WorkerProcess &)> &event)
{
    WorkerProcess &worker = *m_workers[static_cast<std::size_t>(index)];
    if (worker.isFrozen(m_network.now())) {
        worker.keep([this, index, event] {
            withWorker(index, event);
        });
        return;
    }
    event(worker);
}

void ScheduleWorld::tickEntry(int index, std::uint64_t incarnation)
{
    if (m_entries[static_cast<std::size_t>(index)]->incarnation != incarnation) {
        return;
    }
    if (!m_entries[static_cast<std::size_t>(index)]->isFrozen(m_network.now())) {
        withEntry(index, incarnation, [this](EntryProcess &entry) {
            if (m_network.now() - entry.lastPoll >= pollInterval) {
                entry.lastPoll = m_network.now();
                poll(entry);
            }
        });
    }
    m_network.after(tickInterval, [this, index, incarnation] {
        tickEntry(index, incarnation);
    });
}

void ScheduleWorld::tickWorkers()
{
    for (const std::unique_ptr<WorkerProcess> &worker : m_workers) {
        worker->model->advance(m_network.now() + worker->clockOffset);
    }
    m_workDone += static_cast<double>(acceleratorsInUse()) * static_cast<double>(workerTick.count());
    observeGangs();
    observeEnds();
    m_network.after(workerTick, [this] {
        tickWorkers();
    });
}

// ---- the store

void ScheduleWorld::poll(EntryProcess &entry)
{
    if (!storeAnswers(entry) || m_network.now() < entry.readsStaleUntil) {
        return;
    }
    const std::vector<std::string> tables{ConfigurationRows::table, jobTable, cellTable};
    const ScanResult scan = m_store.scan(tables, entry.version);
    m_network.after(Duration(m_random.below(5000)), [this, scan, index = entry.index, incarnation = entry.incarnation] {
        withEntry(index, incarnation, [this, scan](EntryProcess &reader) {
            adopt(reader, scan);
        });
    });
}

void ScheduleWorld::adopt(EntryProcess &entry, const ScanResult &scan)
{
    if (!entry.oldScan.rows.empty() && m_random.chance(m_options.staleReads)) {
        entry.configuration->adopt(entry.oldScan.rows);
    }
    if (!scan.rows.empty()) {
        entry.oldScan = scan;
    }
    entry.version = std::max(entry.version, scan.version);
    const bool changed = entry.configuration->adopt(scan.rows);
    for (const TableRow &row : scan.rows) {
        if (row.table == jobTable) {
            entry.jobs.adopt(valueOf(decodeJobRecord(row)));
        }
        for (std::size_t domain = 0; domain < entry.cells.size(); ++domain) {
            Cell &cell = *entry.cells[domain];
            if (row.table == cellTable && row.key == domainName(static_cast<int>(domain)) && cell.isOwned() && row.version > cell.epoch()) {
                cell.disown();
            }
        }
    }
    if (changed) {
        std::vector<Contract> contracts;
        for (const ContractRecord &record : entry.configuration->contracts()) {
            contracts.push_back(record.contract);
        }
        *entry.plan = ReservationPlan(m_fleet, contracts, entry.configuration->outDomains());
    }
    for (const std::unique_ptr<Cell> &cell : entry.cells) {
        if (cell->isOwned()) {
            cell->onJobsRead(entry.version, m_network.now());
        }
    }
}

CommitResult ScheduleWorld::writeConfiguration(const std::string &key, const std::string &value)
{
    TableTransaction transaction;
    transaction.writes.push_back({ConfigurationRows::table, key, value});
    return m_store.commit(transaction);
}

void ScheduleWorld::putContract(const Contract &contract)
{
    writeConfiguration(ConfigurationRows::contractKey(contract.workspace), encodeContract(contract));
}

void ScheduleWorld::setOut(int domain, bool out)
{
    writeConfiguration(ConfigurationRows::failureDomainKey(domainName(domain)), out ? "out" : "in");
    if (!out) {
        m_outSince.erase(domainName(domain));
    } else {
        m_outSince.try_emplace(domainName(domain), m_network.now());
    }
}

void ScheduleWorld::takeCell(int entry, int domain)
{
    if (!storeIsUp()) {
        return;
    }
    withEntry(entry, m_entries[static_cast<std::size_t>(entry)]->incarnation, [this, domain](EntryProcess &taking) {
        TableTransaction transaction;
        transaction.writes.push_back({cellTable, domainName(domain), "entry-" + std::to_string(taking.index)});
        const CommitResult result = m_store.commit(transaction);
        taking.cells[static_cast<std::size_t>(domain)]->own(result.version, m_network.now());
    });
}

std::string ScheduleWorld::submit(const JobSpec &spec)
{
    JobRecord record;
    record.id = "job-" + std::to_string(m_nextJob++);
    record.spec = spec;
    record.submitted = m_nextJob;
    record.cell = domainName(static_cast<int>(m_random.below(static_cast<std::uint32_t>(m_options.domains))));
    if (m_options.routeSubmissions) {
        const EntryProcess &entry = *m_entries.front();
        record.cell = JobRouter(m_fleet, *entry.configuration, *entry.plan, entry.jobs).choose(spec, "").value_or(record.cell);
    }
    TableTransaction transaction;
    transaction.writes.push_back({jobTable, record.id, encodeJobRecord(record)});
    m_store.commit(transaction);
    m_jobs[record.id] = {record.id, spec, m_network.now(), {}, {}, {}, {}};
    return record.id;
}

JobState ScheduleWorld::stateOf(const std::string &id) const
{
    return valueOf(decodeJobRecord(*m_store.read(jobTable, id).row)).state;
}

std::uint32_t ScheduleWorld::runOf(const std::string &id) const
{
    return valueOf(decodeJobRecord(*m_store.read(jobTable, id).row)).run;
}

std::string ScheduleWorld::stepOf(const std::string &id) const
{
    for (const std::unique_ptr<EntryProcess> &entry : m_entries) {
        for (const std::unique_ptr<Cell> &cell : entry->cells) {
            const auto gang = std::ranges::find(cell->gangs(), id, &Gang::job);
            if (gang != cell->gangs().end()) {
                return gangPhaseName(gang->phase);
            }
        }
    }
    return stateOf(id) == JobState::Queued ? "queued" : "";
}

void ScheduleWorld::cancel(const std::string &id)
{
    const TableRow row = *m_store.read(jobTable, id).row;
    JobRecord record = valueOf(decodeJobRecord(row));
    if (hasEnded(record.state)) {
        return;
    }
    record.cancelRequested = true;
    if (record.state == JobState::Queued) {
        record.state = JobState::Cancelled;
        m_jobs[id].cancelledWhileQueued = m_network.now();
    }
    TableTransaction transaction;
    transaction.writes.push_back({jobTable, id, encodeJobRecord(record)});
    m_store.commit(transaction);
}

// ---- faults

void ScheduleWorld::restartEntry(int entry)
{
    m_deadEntries.push_back(std::move(m_entries[static_cast<std::size_t>(entry)]));
    startEntry(entry);
}

void ScheduleWorld::freezeEntry(int entry, Duration length)
{
    EntryProcess &process = *m_entries[static_cast<std::size_t>(entry)];
    process.freeze(m_network.now() + length);
    m_network.after(length, [this, entry, incarnation = process.incarnation] {
        EntryProcess &thawed = *m_entries[static_cast<std::size_t>(entry)];
        if (thawed.incarnation == incarnation) {
            thawed.thaw();
        }
    });
}

void ScheduleWorld::rebootWorker(int worker)
{
    startWorker(worker);
}

void ScheduleWorld::freezeWorker(int worker, Duration length)
{
    m_workers[static_cast<std::size_t>(worker)]->freeze(m_network.now() + length);
    m_network.after(length, [this, worker] {
        m_workers[static_cast<std::size_t>(worker)]->thaw();
    });
}

void ScheduleWorld::cutWorker(int worker, Duration length)
{
    m_workers[static_cast<std::size_t>(worker)]->cutUntil = m_network.now() + length;
}

void ScheduleWorld::cutEntryFromStore(int entry, Duration length)
{
    m_entries[static_cast<std::size_t>(entry)]->storeCutUntil = m_network.now() + length;
}

void ScheduleWorld::makeReadsStale(int entry, Duration length)
{
    m_entries[static_cast<std::size_t>(entry)]->readsStaleUntil = m_network.now() + length;
}

void ScheduleWorld::breakStore(Duration length)
{
    m_storeDownUntil = m_network.now() + length;
}

void ScheduleWorld::loseStoreAnswers(Duration length)
{
    m_options.storeLosesAnswer = 1;
    m_network.after(length, [this] {
        m_options.storeLosesAnswer = 0;
    });
}

void ScheduleWorld::calm()
{
    m_options.network = NetworkFaults();
    m_options.storeLosesAnswer = 0;
    m_options.storeLosesRequest = 0;
    m_options.staleReads = 0;
    m_storeDownUntil = m_network.now();
    for (const std::unique_ptr<WorkerProcess> &worker : m_workers) {
        worker->model->setBehaviour(WorkerBehaviour());
    }
}

// ---- actions of the cells

void ScheduleWorld::settle(EntryProcess &entry)
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

void ScheduleWorld::perform(EntryProcess &entry, std::size_t cell, SendWorkerMessage &action)
{
    const auto place = std::ranges::find(m_fleet.workers(), action.worker, &WorkerInfo::name);
    const auto target = static_cast<int>(place - m_fleet.workers().begin());
    const std::uint64_t term = entry.cells[cell]->term();
    const auto done = std::make_shared<bool>(false);
    // Exactly one of report and silence comes back.
    const auto comeBack = [this, cell, term, done, name = action.worker, index = entry.index,
                           incarnation = entry.incarnation](const std::optional<WorkerReport> &report) {
        withEntry(index, incarnation, [this, cell, term, done, name, report](EntryProcess &owner) {
            if (std::exchange(*done, true) || owner.cells[cell]->term() != term) {
                return;
            }
            if (report) {
                owner.cells[cell]->onReport(name, *report, m_network.now());
            } else {
                owner.cells[cell]->onSilence(name, m_network.now());
            }
        });
    };
    NetworkFaults link = m_options.network;
    link.duplication = 0; // HTTP over TCP delivers a message once
    const auto deliver = [this, target, link, comeBack, message = action.message] {
        if (m_network.now() < m_workers[static_cast<std::size_t>(target)]->cutUntil) {
            return;
        }
        withWorker(target, [this, link, comeBack, message](WorkerProcess &worker) {
            const std::uint64_t startsBefore = worker.model->starts();
            const WorkerReport report = worker.model->onMessage(message, m_network.now() + worker.clockOffset);
            if (report.accepted && message.epoch < worker.highestEpoch) {
                violate(worker.model->info().name + " acted on a message of an earlier owner");
            }
            worker.highestEpoch = std::max(worker.highestEpoch, report.highestEpoch);
            for (const TaskReport &task : report.tasks) {
                if (worker.known.insert(task.task).second) {
                    m_prepared[task.task.job + "/" + std::to_string(task.task.run)].insert(task.task.index);
                }
            }
            if (worker.model->starts() != startsBefore) {
                for (const TaskCommand &command : message.commands) {
                    if (command.kind == TaskCommandKind::Commit) {
                        observeStart(command.task, worker.model->info());
                    }
                }
            }
            if (m_network.now() >= worker.cutUntil) {
                m_network.send(link, [comeBack, report] {
                    comeBack(report);
                });
            }
        });
    };
    m_network.send(link, deliver);
    m_network.after(messageTimeout, [comeBack] {
        comeBack(std::nullopt);
    });
}

void ScheduleWorld::perform(EntryProcess &entry, std::size_t cell, CommitJob &action)
{
    const auto answer
        = [this, cell, job = action.job, index = entry.index, incarnation = entry.incarnation](CommitResult result, Duration delay) {
              m_network.after(delay, [this, cell, job, index, incarnation, result] {
                  withEntry(index, incarnation, [this, cell, job, result](EntryProcess &owner) {
                      owner.cells[cell]->onCommit(job, result, m_network.now());
                  });
              });
          };
    if (!storeAnswers(entry)) {
        answer({CommitState::NotSent, 0}, fromMilliseconds(10));
        return;
    }
    if (m_random.chance(m_options.storeLosesRequest)) {
        answer({CommitState::Unknown, 0}, storeTimeout);
        return;
    }
    m_network.after(Duration(m_random.below(5000)), [this, answer, transaction = action.transaction] {
        const CommitResult result = m_store.commit(transaction);
        const bool lost = m_random.chance(m_options.storeLosesAnswer);
        answer(lost ? CommitResult{CommitState::Unknown, 0} : result, lost ? storeTimeout : Duration(m_random.below(5000)));
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

// ---- promises

void ScheduleWorld::observeStart(const TaskKey &task, const WorkerInfo &worker)
{
    TrackedJob &job = m_jobs[task.job];
    if (!job.startedAt) {
        job.startedAt = m_network.now();
    }
    const auto out = m_outSince.find(worker.failureDomain);
    if (out != m_outSince.end() && m_network.now() - out->second > outBound) {
        violate(task.job + " started in " + worker.failureDomain + " though it is out");
    }
    if (job.cancelledWhileQueued) {
        violate(task.job + " started though it was cancelled");
    }
    if (m_prepared[task.job + "/" + std::to_string(task.run)].size() != job.spec.shape.tasks) {
        violate(task.job + " started before its whole gang had prepared");
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
            violate(id + " has two runs at once");
        }
        const bool partial = runs != running.end() && runs->second.begin()->second.size() < job.spec.shape.tasks;
        if (!partial) {
            job.partialSince.reset();
        } else if (!job.partialSince) {
            job.partialSince = m_network.now();
        } else if (m_network.now() - *job.partialSince > partialBound) {
            violate("a part of " + id + " runs without the rest");
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

void ScheduleWorld::checkEnd()
{
    for (const auto &[id, job] : m_jobs) {
        const JobRecord record = valueOf(decodeJobRecord(*m_store.read(jobTable, id).row));
        if (!hasEnded(record.state)) {
            violate(id + " has not ended: " + jobStateName(record.state) + " in " + record.cell + ", " + record.reason);
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
