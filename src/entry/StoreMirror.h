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

/// Owner of a cell, from its row.
struct CellRow {
    std::string entry; ///< Name of the owner; empty when given up.
    std::uint64_t incarnation = 0; ///< Process of the owner.
    std::uint64_t version = 0; ///< Version of the row: the epoch.
};

/// What changed with a read.
struct MirrorChange {
    bool configuration = false; ///< The configuration changed.
    bool fleet = false; ///< Workers came, changed or went.
    std::vector<std::string> changedCells; ///< Failure domains whose workers changed.
    std::vector<std::string> endedJobs; ///< Jobs whose rows say that they have ended.
};

/// This entry's copy of the platform's tables, kept up to date by one read at a time of what changed.
class StoreMirror
{
public:
    /// @param loop Loop to run on.
    /// @param table Table service.
    /// @param counters Counters.
    /// @param pollInterval Time between two reads.
    StoreMirror(EventLoop &loop, TableClient &table, Counters &counters, Duration pollInterval);

    /// Starts to read.
    void start();

    /// Sets what is called after each successful read.
    /// @param onRead Listener.
    void setListener(std::function<void(const MirrorChange &, TimePoint)> onRead)
    {
        m_onRead = std::move(onRead);
    }

    /// Reads at once.
    /// @param done Called after the read, with whether it succeeded; may be empty.
    void refresh(std::function<void(bool)> done);

    /// Takes in a row that was read by other means.
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
    /// @return Its row; empty when it has none.
    CellRow cell(const std::string &failureDomain) const;

    /// @return The row that every change of the configuration writes.
    const TableRow &configurationVersionRow() const
    {
        return m_configurationVersionRow;
    }

    /// @return Version of the last read.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @return When the table service last answered.
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
