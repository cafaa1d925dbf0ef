#include "entry/StoreMirror.h"

#include "core/JsonInput.h"
#include "core/Log.h"
#include "schedule/CellTable.h"
#include "schedule/JobCodec.h"
#include "schedule/WorkerCodec.h"

#include <utility>

namespace banyanlock
{

StoreMirror::StoreMirror(EventLoop &loop, TableClient &table, Counters &counters, Duration pollInterval)
    : m_loop(loop)
    , m_table(table)
    , m_counters(counters)
    , m_pollInterval(pollInterval)
    , m_configuration(counters)
    , m_plan(m_fleet, {}, {})
{
}

void StoreMirror::start()
{
    poll();
    m_loop.repeat(m_pollInterval, [this](TimePoint) {
        poll();
    });
}

void StoreMirror::refresh(std::function<void(bool)> done)
{
    if (done) {
        m_refreshCallbacks.push_back(std::move(done));
    }
    m_rescanNeeded = m_scanInFlight;
    poll();
}

void StoreMirror::poll()
{
    if (m_scanInFlight) {
        return;
    }
    m_scanInFlight = true;
    m_table.scan({ConfigurationRows::table, jobTable, cellTable, workerTable}, m_version, [this](const ScanResult &result) {
        onScan(result);
    });
}

void StoreMirror::onScan(const ScanResult &result)
{
    m_scanInFlight = false;
    if (result.available) {
        m_lastContact = EventLoop::now();
    }
    if (result.available && result.version < m_version) {
        m_counters.add(Counter::ConfigurationStaleIgnored);
    } else if (result.available) {
        m_version = result.version;
        MirrorChange change;
        adoptRows(result.rows, change);
        if (change.fleet || change.configuration) {
            rebuildPlan(change.fleet);
        }
        if (m_onRead) {
            m_onRead(change, EventLoop::now());
        }
    }
    if (std::exchange(m_rescanNeeded, false)) {
        poll();
        return;
    }
    for (const auto &done : std::exchange(m_refreshCallbacks, {})) {
        done(result.available);
    }
}

void StoreMirror::adoptRows(const std::vector<TableRow> &rows, MirrorChange &change)
{
    change.configuration = m_configuration.adopt(rows);
    for (const TableRow &row : rows) {
        if (row.table == ConfigurationRows::table && row.key == ConfigurationRows::versionKey) {
            m_configurationVersionRow = row;
        } else if (row.table == jobTable) {
            adoptJobRow(row);
            recordEndedJob(row.key, change);
        } else if (row.table == cellTable) {
            adoptCellRow(row);
        } else if (row.table == workerTable) {
            adoptWorkerRow(row, change);
        }
    }
}

void StoreMirror::adoptJobRow(const TableRow &row)
{
    Result<JobRecord> record = decodeJobRecord(row);
    if (!isOk(record)) {
        Log::warning("job_row_unreadable", {{"job", row.key}, {"detail", errorOf(record).detail}});
        return;
    }
    m_jobs.adopt(std::move(valueOf(record)));
}

void StoreMirror::recordEndedJob(const std::string &job, MirrorChange &change) const
{
    const JobRecord *record = m_jobs.find(job);
    if (record != nullptr && hasEnded(record->state)) {
        change.endedJobs.push_back(job);
    }
}

void StoreMirror::adoptWorkerRow(const TableRow &row, MirrorChange &change)
{
    const Result<WorkerInfo> worker = decodeWorkerInfo(row.value);
    if (!isOk(worker)) {
        Log::warning("worker_row_unreadable", {{"worker", row.key}, {"detail", errorOf(worker).detail}});
        return;
    }
    WorkerInfo &stored = m_workers[row.key];
    if (stored == valueOf(worker)) {
        // A worker that returns unchanged invalidates neither the plan nor the recovered state of its cell.
        return;
    }
    stored = valueOf(worker);
    change.fleet = true;
    change.changedCells.push_back(valueOf(worker).failureDomain);
}

void StoreMirror::adoptCellRow(const TableRow &row)
{
    CellRow &stored = m_cells[row.key];
    if (row.version <= stored.version) {
        return;
    }
    try {
        const nlohmann::json json = parseJson(row.value);
        CellRow cell{json.at("entry").get<std::string>(), 0, row.version};
        readField(json, "incarnation", cell.incarnation);
        stored = std::move(cell);
    } catch (const nlohmann::json::exception &error) {
        // The cell has no known owner, and its epoch, the version of its row, has risen.
        Log::warning("cell_row_unreadable", {{"cell", row.key}, {"reason", std::string(error.what())}});
        stored = {"", 0, row.version};
    }
}

std::vector<Contract> StoreMirror::contracts() const
{
    std::vector<Contract> contracts;
    for (const ContractRecord &record : m_configuration.contracts()) {
        contracts.push_back(record.contract);
    }
    return contracts;
}

void StoreMirror::rebuildPlan(bool fleetChanged)
{
    if (fleetChanged) {
        std::vector<WorkerInfo> workers;
        for (const auto &[name, worker] : m_workers) {
            workers.push_back(worker);
        }
        m_fleet = Fleet(std::move(workers));
    }
    const std::vector<std::string> outDomains = m_configuration.outDomains();
    m_plan = ReservationPlan(m_fleet, contracts(), outDomains);
    for (const Shortfall &shortfall : m_plan.shortfalls()) {
        m_counters.add(Counter::GuaranteeShortfalls);
        Log::warning(
            "guarantee_shortfall",
            {{"workspace", shortfall.workspace}, {"shape", std::int64_t(shortfall.shape)}, {"missing", std::int64_t(shortfall.missing)}});
    }
}

CellRow StoreMirror::cell(const std::string &failureDomain) const
{
    const auto stored = m_cells.find(failureDomain);
    return stored == m_cells.end() ? CellRow() : stored->second;
}

} // namespace banyanlock
