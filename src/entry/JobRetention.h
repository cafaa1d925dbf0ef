#pragma once

#include "core/Counters.h"
#include "entry/CellHost.h"
#include "entry/StoreMirror.h"
#include "schedule/EndedJobs.h"
#include "store/TableClient.h"

#include <string>

namespace banyanlock
{

/// Forgets jobs that ended long ago, and erases the rows of those whose cell this entry owns.
class JobRetention
{
public:
    /// @param loop Loop to run on.
    /// @param mirror Copy of the tables.
    /// @param table Table service.
    /// @param cells The cells of this entry.
    /// @param counters Where erased rows are counted.
    /// @param retentionTime Time for which ended jobs are kept.
    JobRetention(EventLoop &loop, StoreMirror &mirror, TableClient &table, const CellHost &cells, Counters &counters,
                 Duration retentionTime);

    /// Starts to look for old jobs.
    void start();

    /// Takes in a read of the tables.
    /// @param change What changed.
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
