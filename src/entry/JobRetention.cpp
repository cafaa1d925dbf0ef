#include "entry/JobRetention.h"

namespace banyanlock
{
namespace
{

constexpr Duration eraseInterval = fromMilliseconds(1000);
constexpr std::size_t maxErasedPerInterval = 10; // 10 rows/s are a small share of the several hundred that the table service accepts

} // namespace

JobRetention::JobRetention(EventLoop &loop, StoreMirror &mirror, TableClient &table, const CellHost &cells, Counters &counters,
                           Duration retentionTime)
    : m_loop(loop)
    , m_mirror(mirror)
    , m_table(table)
    , m_cells(cells)
    , m_counters(counters)
    , m_endedJobs(retentionTime)
{
}

void JobRetention::start()
{
    m_loop.repeat(eraseInterval, [this](TimePoint now) {
        eraseExpiredJobs(now);
    });
}

void JobRetention::onRead(const MirrorChange &change, TimePoint now)
{
    for (const std::string &job : change.endedJobs) {
        m_endedJobs.add(job, now);
    }
}

void JobRetention::eraseExpiredJobs(TimePoint now)
{
    for (const std::string &job : m_endedJobs.takeExpired(now, maxErasedPerInterval)) {
        const JobRecord *record = m_mirror.jobs().find(job);
        if (record == nullptr) {
            continue;
        }
        if (m_cells.owns(record->cell)) {
            erase(*record);
        } else {
            m_mirror.jobs().erase(job);
        }
    }
}

void JobRetention::erase(const JobRecord &record)
{
    TableTransaction transaction;
    transaction.changeId = record.id + "/erase/" + std::to_string(record.version);
    transaction.checks.push_back({jobTable, record.id, record.version});
    transaction.writes.push_back({jobTable, record.id, std::nullopt});
    m_table.commit(transaction, [this, job = record.id](const CommitResult &result) {
        const bool isErased = result.state == CommitState::Committed || result.state == CommitState::Conflict;
        if (!isErased) {
            // The erasure is retried after another retention time.
            m_endedJobs.add(job, EventLoop::now());
            return;
        }
        m_counters.add(Counter::JobsErased);
        m_mirror.jobs().erase(job);
    });
}

} // namespace banyanlock
