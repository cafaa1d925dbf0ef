#pragma once

#include "entry/PeerTable.h"
#include "entry/StoreMirror.h"
#include "runtime/HttpClient.h"
#include "schedule/Cell.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace banyanlock
{

/// Identity of an entry process.
struct EntryIdentity {
    std::string name; ///< Name of the entry.
    std::uint64_t incarnation = 0; ///< Random number that distinguishes the process from its predecessors.
    std::string failureDomain; ///< Failure domain that the process runs in.
    std::string region; ///< Region of the failure domain.
};

/// Acquires and releases ownership of cells, and performs the I/O of the cells that this entry owns.
class CellHost
{
public:
    /// @param identity Identity of this entry.
    /// @param loop Event loop to run on.
    /// @param mirror Copy of the tables.
    /// @param table Table service.
    /// @param http HTTP client for the workers.
    /// @param peers The other entries.
    /// @param peerCount Number of other entries in the settings.
    /// @param counters Counters.
    CellHost(EntryIdentity identity, EventLoop &loop, StoreMirror &mirror, TableClient &table, HttpClient &http, const PeerTable &peers,
             std::size_t peerCount, Counters &counters);

    /// Starts the periodic ownership checks.
    void start();

    /// Handles a completed read of the tables.
    /// @param change Changes found by the read.
    /// @param now Current time.
    void onRead(const MirrorChange &change, TimePoint now);

    /// Executes the pending actions of the cells.
    void flush();

    /// Releases all cells and stops acquiring cells. While the table service is unreachable, cells stay owned and their leases are renewed,
    /// since no other entry could acquire them.
    void drain();

    /// @return Whether the entry is draining and owns no cell.
    bool mayStop() const;

    /// @param failureDomain Failure domain of a cell.
    /// @return Whether this entry owns the cell.
    bool owns(const std::string &failureDomain) const;

    /// @return The cells that this entry owns or has owned since its start.
    const std::vector<std::unique_ptr<Cell>> &cells() const
    {
        return m_cells;
    }

private:
    void checkCells(TimePoint now);
    void checkCell(const std::string &failureDomain, TimePoint now);
    std::string preferredEntry(const std::string &failureDomain, TimePoint now) const;
    void acquireCell(const std::string &failureDomain, const CellRow &row);
    void releaseCell(const std::string &failureDomain, const CellRow &row);
    void releaseAllCells(TimePoint now);
    bool isStoreReachable(TimePoint now) const;
    void writeCellRow(const std::string &failureDomain, const CellRow &row, const std::string &owner, std::function<void()> done);
    void updateRenewalPermission(TimePoint now);
    Cell *find(const std::string &failureDomain) const;
    Cell &findOrCreate(const std::string &failureDomain);
    void execute(Cell &cell, SendWorkerMessage &action);
    void execute(Cell &cell, CommitJob &action);
    void execute(Cell &cell, RefreshJob &action);
    static void execute(Cell &cell, LogGangEvent &action);

    EntryIdentity m_identity;
    EventLoop &m_loop;
    StoreMirror &m_mirror;
    TableClient &m_table;
    HttpClient &m_http;
    const PeerTable &m_peers;
    std::size_t m_peerCount;
    Counters &m_counters;
    std::vector<std::unique_ptr<Cell>> m_cells;
    std::vector<std::string> m_cellNames;
    std::set<std::string> m_rowWritesInFlight;
    TimePoint m_startedAt{};
    TimePoint m_lastUpToDateAt{};
    bool m_draining = false;
    bool m_storeWaitLogged = false;
};

} // namespace banyanlock
