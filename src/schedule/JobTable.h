#pragma once

#include "schedule/JobRecord.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace banyanlock
{

/// All jobs that an entry has read, with the accelerators that each workspace and cell uses.
class JobTable
{
public:
    /// Takes in a row; an older version than the known one changes nothing.
    /// @param record The row's record.
    /// @return Whether the record was news.
    bool adopt(JobRecord record);

    /// Drops the record of a job that has ended.
    /// @param id Id of the job.
    void erase(const std::string &id);

    /// @param id Id of a job.
    /// @return Its record, or null.
    const JobRecord *find(const std::string &id) const;

    /// @return All records by id.
    const std::map<std::string, JobRecord> &records() const
    {
        return m_records;
    }

    /// @param cell Cell to look up.
    /// @return Ids of its jobs that have not ended, ordered.
    const std::set<std::string> &liveJobsIn(std::string_view cell) const;

    /// @param workspace Workspace to add up.
    /// @return Accelerators of its running jobs, in all cells.
    std::uint32_t runningAccelerators(std::string_view workspace) const;

    /// @param cell Cell to add up.
    /// @return Accelerators that running and queued jobs of the cell ask for.
    std::uint32_t demandedAccelerators(std::string_view cell) const;

private:
    using Totals = std::map<std::string, std::uint32_t, std::less<>>;

    void updateTotals(const JobRecord &record, bool add);

    std::map<std::string, JobRecord> m_records;
    Totals m_runningByWorkspace;
    Totals m_demandByCell;
    std::map<std::string, std::set<std::string>, std::less<>> m_liveByCell;
};

} // namespace banyanlock
