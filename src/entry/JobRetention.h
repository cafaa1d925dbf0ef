#pragma once

#include "core/Counters.h"
#include "entry/CellHost.h"
#include "entry/StoreMirror.h"
#include "schedule/EndedJobs.h"
#include "store/TableClient.h"

#include <string>

namespace banyanlock
{

/// Drops ended jobs from the mirror after their retention time, and erases the rows of jobs whose cell this entry owns.
class JobRetention
{
public:
    /// @param loop Event loop to run on.
    /// @param mirror Copy of the tables.
    /// @param table Table service.
    /// @param cells The cells of this entry.
    /// @param counters Counters for erased rows.
    /// @param retentionTime Retention time of ended jobs.
    JobRetention(EventLoop &loop, StoreMirror &mirror, TableClient &table, const CellHost &cells, Counters &counters,
                 Duration retentionTime);

    /// Starts to erase expired jobs periodically.
    void start();

    /// Handles a completed read of the tables.
    /// @param change Changes found by the read.
    /// @param now Current time.
    void onRead(const MirrorChange &change, TimePoint now);

private:
    void eraseExpiredJobs(TimePoint now);
    void erase(const JobRecord &record);

    EventLoop &m_loop;
    StoreMirror &m_mirror;
    TableClient &m_table;
    const CellHost &m_cells;
    Counters &m_counters;
    EndedJobs m_endedJobs;
};

} // namespace banyanlock
