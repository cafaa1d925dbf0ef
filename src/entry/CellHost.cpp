#include "entry/CellHost.h"

#include "core/Log.h"
#include "schedule/CellTable.h"
#include "schedule/WorkerCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace banyanlock
{
namespace
{

constexpr Duration checkInterval = fromMilliseconds(250);
constexpr Duration peerDiscoveryTime = fromMilliseconds(1500); // the first heartbeats of the peers arrive within this time
constexpr Duration takeoverDelay
    = fromMilliseconds(3500); // after a start, an owner may be known only from its row until its first heartbeat
constexpr Duration storeContactTimeout = fromMilliseconds(2500);
constexpr long workerTimeoutMilliseconds = 1000;

std::uint64_t rendezvousWeight(const std::string &failureDomain, const std::string &entry)
{
    const std::string text = failureDomain + "/" + entry;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

CellHost::CellHost(EntryIdentity identity, EventLoop &loop, StoreMirror &mirror, TableClient &table, HttpClient &http,
                   const PeerTable &peers, std::size_t peerCount, Counters &counters)
    : m_identity(std::move(identity))
    , m_loop(loop)
    , m_mirror(mirror)
    , m_table(table)
    , m_http(http)
    , m_peers(peers)
    , m_peerCount(peerCount)
    , m_counters(counters)
{
}

void CellHost::start()
{
    m_startedAt = EventLoop::now();
    m_lastUpToDateAt = m_startedAt;
    m_loop.repeat(checkInterval, [this](TimePoint now) {
        checkCells(now);
    });
}

Cell *CellHost::find(const std::string &failureDomain) const
{
    const auto position = std::ranges::find(m_cellNames, failureDomain);
    return position == m_cellNames.end() ? nullptr : m_cells[static_cast<std::size_t>(position - m_cellNames.begin())].get();
}

Cell &CellHost::findOrCreate(const std::string &failureDomain)
{
    if (Cell *cell = find(failureDomain)) {
        return *cell;
    }
    const CellContext context{m_loop.timers(), m_counters, m_mirror.fleet(), m_mirror.configuration(), m_mirror.plan(), m_mirror.jobs()};
    m_cellNames.push_back(failureDomain);
    m_cells.push_back(std::make_unique<Cell>(failureDomain, m_identity.name, context));
    return *m_cells.back();
}

// ---- ownership

std::string CellHost::preferredEntry(const std::string &failureDomain, TimePoint now) const
{
    std::vector<PeerHeartbeat> entries = m_peers.servingPeers(now);
    if (!m_draining) {
        entries.push_back({m_identity.name, m_identity.incarnation, m_identity.failureDomain, m_identity.region, 0, 0, false});
    }
    const PeerHeartbeat *best = nullptr;
    for (const PeerHeartbeat &entry : entries) {
        if (best == nullptr) {
            best = &entry;
            continue;
        }
        // An entry in the cell's failure domain is preferred, since it stays connected to the workers longest; the rendezvous hash
        // distributes the other cells evenly.
        const bool sameDomain = entry.failureDomain == failureDomain;
        const bool bestSameDomain = best->failureDomain == failureDomain;
        const bool hasHigherWeight = rendezvousWeight(failureDomain, entry.entry) > rendezvousWeight(failureDomain, best->entry);
        if ((sameDomain && !bestSameDomain) || (sameDomain == bestSameDomain && hasHigherWeight)) {
            best = &entry;
        }
    }
    return best == nullptr ? "" : best->entry;
}

void CellHost::checkCells(TimePoint now)
{
    updateRenewalPermission(now);
    if (m_draining) {
        releaseAllCells(now);
        return;
    }
    if (now - m_startedAt < peerDiscoveryTime || !m_mirror.configuration().isReady()) {
        return;
    }
    for (const std::string &failureDomain : m_mirror.fleet().failureDomains()) {
        checkCell(failureDomain, now);
    }
}

void CellHost::checkCell(const std::string &failureDomain, TimePoint now)
{
    if (m_rowWritesInFlight.contains(failureDomain)) {
        return;
    }
    const CellRow row = m_mirror.cell(failureDomain);
    const bool isOwnRow = row.entry == m_identity.name && row.incarnation == m_identity.incarnation;
    Cell *cell = find(failureDomain);
    if (cell != nullptr && cell->isOwned() && (!isOwnRow || cell->epoch() != row.version)) {
        Log::warning("cell_lost", {{"cell", failureDomain}});
        m_counters.add(Counter::CellsLost);
        cell->releaseOwnership();
    }
    const bool preferred = preferredEntry(failureDomain, now) == m_identity.name;
    if (isOwnRow) {
        if (cell == nullptr || !cell->isOwned()) {
            Log::info("cell_taken", {{"cell", failureDomain}, {"epoch", static_cast<std::int64_t>(row.version)}});
            m_counters.add(Counter::CellsTaken);
            findOrCreate(failureDomain).acquireOwnership(row.version, now);
        } else if (!preferred) {
            releaseCell(failureDomain, row);
        }
        return;
    }
    const bool hasNoOwner = row.entry.empty();
    const bool ownerLost
        = !hasNoOwner && !m_peers.isIncarnationServing(row.entry, row.incarnation, now) && now - m_startedAt >= takeoverDelay;
    const bool ownedBeforeRestart = row.entry == m_identity.name;
    if (preferred && (hasNoOwner || ownerLost || ownedBeforeRestart)) {
        acquireCell(failureDomain, row);
    }
}

void CellHost::writeCellRow(const std::string &failureDomain, const CellRow &row, const std::string &owner, std::function<void()> done)
{
    const nlohmann::json json = {{"entry", owner}, {"incarnation", owner.empty() ? 0 : m_identity.incarnation}};
    TableTransaction transaction;
    transaction.changeId
        = m_identity.name + "/" + std::to_string(m_identity.incarnation) + "/" + failureDomain + "/" + std::to_string(row.version);
    transaction.checks.push_back({cellTable, failureDomain, row.version});
    transaction.writes.push_back({cellTable, failureDomain, json.dump()});
    m_rowWritesInFlight.insert(failureDomain);
    m_table.commit(transaction, [this, failureDomain, done = std::move(done)](const CommitResult &) {
        // The row is authoritative for the owner, whatever the outcome of the transaction.
        m_mirror.refresh([this, failureDomain, done](bool) {
            m_rowWritesInFlight.erase(failureDomain);
            done();
        });
    });
}

void CellHost::acquireCell(const std::string &failureDomain, const CellRow &row)
{
    writeCellRow(failureDomain, row, m_identity.name, [this] {
        checkCells(EventLoop::now());
    });
}

void CellHost::releaseCell(const std::string &failureDomain, const CellRow &row)
{
    // The cell stays owned until its row names no owner or another one, so that its leases don't expire when the row can't be written.
    writeCellRow(failureDomain, row, "", [this, failureDomain] {
        if (m_mirror.cell(failureDomain).entry != m_identity.name) {
            Log::info("cell_released", {{"cell", failureDomain}});
            find(failureDomain)->releaseOwnership();
        }
    });
}

void CellHost::drain()
{
    m_draining = true;
    releaseAllCells(EventLoop::now());
}

void CellHost::releaseAllCells(TimePoint now)
{
    for (std::size_t index = 0; index < m_cells.size(); ++index) {
        const std::string &name = m_cellNames[index];
        if (!m_cells[index]->isOwned() || m_rowWritesInFlight.contains(name)) {
            continue;
        }
        const CellRow row = m_mirror.cell(name);
        if (row.version != m_cells[index]->epoch()) {
            m_cells[index]->releaseOwnership();
        } else if (isStoreReachable(now)) {
            releaseCell(name, row);
        } else if (!m_storeWaitLogged) {
            m_storeWaitLogged = true;
            Log::warning("stop_waits_for_store", {{"cell", name}});
        }
    }
}

bool CellHost::mayStop() const
{
    return m_draining && std::ranges::none_of(m_cells, [](const std::unique_ptr<Cell> &cell) {
               return cell->isOwned();
           });
}

bool CellHost::owns(const std::string &failureDomain) const
{
    const Cell *cell = find(failureDomain);
    return cell != nullptr && cell->isOwned();
}

bool CellHost::isStoreReachable(TimePoint now) const
{
    return now - m_mirror.lastContact() <= storeContactTimeout;
}

void CellHost::updateRenewalPermission(TimePoint now)
{
    // The mirror counts as up to date while the store answers, or while all peers are reachable and none has seen a newer version.
    // Renewals stop when neither has been true for the time limit of a disconnected owner.
    const std::vector<PeerHeartbeat> peers = m_peers.reachablePeers(now);
    const bool noPeerHasNewerVersion = peers.size() >= m_peerCount && std::ranges::all_of(peers, [this](const PeerHeartbeat &peer) {
                                           return peer.storeVersion <= m_mirror.version();
                                       });
    if (isStoreReachable(now) || noPeerHasNewerVersion) {
        m_lastUpToDateAt = now;
    }
    const bool renewalsAllowed = now - m_lastUpToDateAt <= CellTiming().detachedRenewalLimit;
    for (const std::unique_ptr<Cell> &cell : m_cells) {
        cell->setRenewalsAllowed(renewalsAllowed);
    }
}

// ---- events

void CellHost::onRead(const MirrorChange &change, TimePoint now)
{
    for (std::size_t index = 0; index < m_cells.size(); ++index) {
        Cell &cell = *m_cells[index];
        if (!cell.isOwned()) {
            continue;
        }
        if (std::ranges::find(change.changedCells, m_cellNames[index]) != change.changedCells.end()) {
            // The workers have been renumbered, so the cell recovers its state from worker reports again.
            cell.acquireOwnership(cell.epoch(), now);
        }
        cell.onJobsRead(m_mirror.version(), now);
    }
}

void CellHost::flush()
{
    for (const std::unique_ptr<Cell> &cell : m_cells) {
        for (CellAction &action : cell->takeActions()) {
            std::visit(
                [&](auto &item) {
                    execute(*cell, item);
                },
                action);
        }
    }
}

void CellHost::execute(Cell &cell, SendWorkerMessage &action)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + action.address + "/v1/messages";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = encodeWorkerMessage(action.message);
    request.timeoutMilliseconds = workerTimeoutMilliseconds;
    m_http.send(std::move(request), [this, &cell, worker = action.worker, term = cell.term()](HttpReply reply) {
        m_loop.post([&cell, worker, term, reply = std::move(reply)] {
            if (cell.term() != term) {
                return;
            }
            const Result<WorkerReport> report = decodeWorkerReport(reply.body);
            if (reply.delivery == HttpDelivery::Complete && isOk(report)) {
                cell.onReport(worker, valueOf(report), EventLoop::now());
            } else {
                cell.onReportTimeout(worker, EventLoop::now());
            }
        });
    });
}

void CellHost::execute(Cell &cell, LogGangEvent &action)
{
    Log::info(
        action.event,
        {{"cell", cell.failureDomain()}, {"job", action.job}, {"run", static_cast<std::int64_t>(action.run)}, {"reason", action.reason}});
}

void CellHost::execute(Cell &cell, CommitJob &action)
{
    m_table.commit(action.transaction, [&cell, job = action.job](const CommitResult &result) {
        cell.onCommit(job, result, EventLoop::now());
    });
}

void CellHost::execute(Cell &cell, RefreshJob &action)
{
    m_mirror.refresh([&cell, job = action.job](bool available) {
        cell.onRefresh(job, available, EventLoop::now());
    });
}

} // namespace banyanlock
