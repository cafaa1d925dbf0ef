#pragma once

#include "contract/Configuration.h"
#include "core/Counters.h"
#include "placement/Fleet.h"
#include "placement/ReservationPlan.h"
#include "runtime/EventLoop.h"
#include "schedule/JobTable.h"
#include "store/TableClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace banyanlock
{

/// Ownership of a cell, decoded from its row.
struct CellRow {
    std::string entry; ///< Name of the owner; empty after a release.
    std::uint64_t incarnation = 0; ///< Incarnation of the owner.
    std::uint64_t version = 0; ///< Version of the row, used as the cell's epoch.
};

/// Changes found by a read of the tables.
struct MirrorChange {
    bool configuration = false; ///< Whether the configuration changed.
    bool fleet = false; ///< Whether worker rows were added or changed.
    std::vector<std::string> changedCells; ///< Failure domains whose workers changed.
    std::vector<std::string> endedJobs; ///< Jobs in the read rows that have ended.
};

/// This entry's copy of the platform's tables. It is updated by incremental scans, one at a time.
class StoreMirror
{
public:
    /// @param loop Event loop to run on.
    /// @param table Table service.
    /// @param counters Counters.
    /// @param pollInterval Interval between scans.
    StoreMirror(EventLoop &loop, TableClient &table, Counters &counters, Duration pollInterval);

    /// Starts to poll the tables.
    void start();

    /// Sets the listener that is called after each successful read.
    /// @param onRead Receives the changes and the current time.
    void setListener(std::function<void(const MirrorChange &, TimePoint)> onRead)
    {
        m_onRead = std::move(onRead);
    }

    /// Scans the tables without waiting for the next poll.
    /// @param done Called after the scan, with whether the table service answered; may be empty.
    void refresh(std::function<void(bool)> done);

    /// Applies a row of the job table.
    /// @param row The row.
    void adoptJobRow(const TableRow &row);

    /// @return Adopted configuration.
    const Configuration &configuration() const
    {
        return m_configuration;
    }

    /// @return All workers.
    const Fleet &fleet() const
    {
        return m_fleet;
    }

    /// @return Reservations of the guarantees.
    const ReservationPlan &plan() const
    {
        return m_plan;
    }

    /// @return All jobs.
    JobTable &jobs()
    {
        return m_jobs;
    }

    /// @return All jobs.
    const JobTable &jobs() const
    {
        return m_jobs;
    }

    /// @param failureDomain Failure domain of a cell.
    /// @return Ownership of the cell; default-constructed if the cell has no row.
    CellRow cell(const std::string &failureDomain) const;

    /// @return The row that every change of the configuration writes.
    const TableRow &configurationVersionRow() const
    {
        return m_configurationVersionRow;
    }

    /// @return Version of the tables at the last read.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @return Time of the table service's last answer.
    TimePoint lastContact() const
    {
        return m_lastContact;
    }

    /// @return All contracts, ordered by workspace.
    std::vector<Contract> contracts() const;

private:
    void poll();
    void onScan(const ScanResult &result);
    void adoptRows(const std::vector<TableRow> &rows, MirrorChange &change);
    void recordEndedJob(const std::string &job, MirrorChange &change) const;
    void adoptWorkerRow(const TableRow &row, MirrorChange &change);
    void adoptCellRow(const TableRow &row);
    void rebuildPlan(bool fleetChanged);

    EventLoop &m_loop;
    TableClient &m_table;
    Counters &m_counters;
    Duration m_pollInterval;
    Configuration m_configuration;
    std::map<std::string, WorkerInfo> m_workers;
    Fleet m_fleet;
    ReservationPlan m_plan;
    JobTable m_jobs;
    std::map<std::string, CellRow> m_cells;
    TableRow m_configurationVersionRow;
    std::function<void(const MirrorChange &, TimePoint)> m_onRead;
    std::vector<std::function<void(bool)>> m_refreshCallbacks;
    std::uint64_t m_version = 0;
    TimePoint m_lastContact{};
    bool m_scanInFlight = false;
    bool m_rescanNeeded = false;
};

} // namespace banyanlock
