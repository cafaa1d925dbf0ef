#include "ScheduleProcesses.h"

#include "contract/ContractCodec.h"
#include "schedule/CellTable.h"
#include "schedule/JobCodec.h"
#include "schedule/JobRouter.h"

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

} // namespace

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

void ScheduleWorld::reportViolation(const std::string &text)
{
    m_violations.push_back(std::to_string(toMilliseconds(m_network.now().time_since_epoch())) + " ms: " + text);
}

void ScheduleWorld::run(Duration length)
{
    m_network.runUntil(m_network.now() + length);
}

Duration ScheduleWorld::storeDelay()
{
    const bool slow = m_options.slowStoreProbability > 0 && m_random.chance(m_options.slowStoreProbability);
    return slow ? fromMilliseconds(m_random.below(3000)) : Duration(m_random.below(5000));
}

bool ScheduleWorld::storeIsUp() const
{
    return m_network.now() >= m_storeDownUntil;
}

bool ScheduleWorld::storeAnswers(const EntryProcess &entry) const
{
    return storeIsUp() && m_network.now() >= entry.storePartitionedUntil;
}

// ---- processes

ScheduleWorld::EntryProcess &ScheduleWorld::entryAt(int index) const
{
    return *m_entries[static_cast<std::size_t>(index)];
}

ScheduleWorld::WorkerProcess &ScheduleWorld::workerAt(int index) const
{
    return *m_workers[static_cast<std::size_t>(index)];
}

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
        entry->cells.push_back(std::make_unique<Cell>(domainName(domain), name, context, m_options.policy, m_options.timing));
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
    EntryProcess &entry = entryAt(index);
    if (entry.incarnation != incarnation) {
        return;
    }
    const bool deferred = entry.keepIfFrozen(m_network.now(), [this, index, incarnation, event] {
        withEntry(index, incarnation, event);
    });
    if (deferred) {
        return;
    }
    entry.timers.advanceTo(m_network.now());
    performActions(entry);
    event(entry);
    performActions(entry);
}

void ScheduleWorld::withWorker(int index, const std::function<void(WorkerProcess &)> &event)
{
    WorkerProcess &worker = workerAt(index);
    const bool deferred = worker.keepIfFrozen(m_network.now(), [this, index, event] {
        withWorker(index, event);
    });
    if (deferred) {
        return;
    }
    event(worker);
}

void ScheduleWorld::tickEntry(int index, std::uint64_t incarnation)
{
    if (entryAt(index).incarnation != incarnation) {
        return;
    }
    if (!entryAt(index).isFrozen(m_network.now())) {
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
    m_network.after(storeDelay(), [this, scan, index = entry.index, incarnation = entry.incarnation] {
        withEntry(index, incarnation, [this, scan](EntryProcess &reader) {
            adopt(reader, scan);
        });
    });
}

void ScheduleWorld::adopt(EntryProcess &entry, const ScanResult &scan)
{
    if (!entry.staleScan.rows.empty() && m_random.chance(m_options.staleReadProbability)) {
        entry.configuration->adopt(entry.staleScan.rows);
    }
    if (!scan.rows.empty()) {
        entry.staleScan = scan;
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
                cell.releaseOwnership();
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

void ScheduleWorld::putLimit(const std::string &workspace, std::uint32_t accelerators)
{
    Contract contract;
    contract.workspace = workspace;
    contract.limits.accelerators = accelerators;
    putContract(contract);
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

void ScheduleWorld::acquireCell(int entry, int domain)
{
    if (!storeIsUp()) {
        return;
    }
    withEntry(entry, entryAt(entry).incarnation, [this, domain](EntryProcess &owner) {
        TableTransaction transaction;
        transaction.writes.push_back({cellTable, domainName(domain), "entry-" + std::to_string(owner.index)});
        const CommitResult result = m_store.commit(transaction);
        owner.cells[static_cast<std::size_t>(domain)]->acquireOwnership(result.version, m_network.now());
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
        record.cell = JobRouter(m_fleet, *entry.configuration, *entry.plan, entry.jobs).chooseCell(spec, "").value_or(record.cell);
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
    freezeFor(m_network, length, [this, entry, incarnation = entryAt(entry).incarnation]() -> Freezable * {
        return entryAt(entry).incarnation == incarnation ? &entryAt(entry) : nullptr;
    });
}

void ScheduleWorld::rebootWorker(int worker)
{
    startWorker(worker);
}

void ScheduleWorld::freezeWorker(int worker, Duration length)
{
    freezeFor(m_network, length, [this, worker]() -> Freezable * {
        return &workerAt(worker);
    });
}

void ScheduleWorld::partitionWorker(int worker, Duration length)
{
    workerAt(worker).partitionedUntil = m_network.now() + length;
}

void ScheduleWorld::partitionEntryFromStore(int entry, Duration length)
{
    entryAt(entry).storePartitionedUntil = m_network.now() + length;
}

void ScheduleWorld::makeReadsStale(int entry, Duration length)
{
    entryAt(entry).readsStaleUntil = m_network.now() + length;
}

void ScheduleWorld::interruptStore(Duration length)
{
    m_storeDownUntil = m_network.now() + length;
}

void ScheduleWorld::loseStoreAnswers(Duration length)
{
    m_options.lostAnswerProbability = 1;
    m_network.after(length, [this] {
        m_options.lostAnswerProbability = 0;
    });
}

void ScheduleWorld::clearFaults()
{
    m_options.network = NetworkFaults();
    m_options.lostAnswerProbability = 0;
    m_options.lostRequestProbability = 0;
    m_options.slowStoreProbability = 0;
    m_options.staleReadProbability = 0;
    m_storeDownUntil = m_network.now();
    for (const std::unique_ptr<WorkerProcess> &worker : m_workers) {
        worker->model->setBehaviour(WorkerBehaviour());
    }
}

} // namespace banyanlock
