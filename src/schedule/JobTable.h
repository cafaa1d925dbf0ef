#pragma once

#include "schedule/JobRecord.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Jobs known to an entry, with the accelerator totals of each workspace and cell.
class JobTable
{
public:
    /// Inserts or updates a job. A record that is not newer than the known one is ignored.
    /// @param record Record of the job with the version of its row.
    /// @return Whether the table changed.
    bool adopt(JobRecord record);

    /// Removes a job that has ended; other jobs are kept.
    /// @param id Id of the job.
    void erase(const std::string &id);

    /// @param id Id of a job.
    /// @return Record of the job, or null.
    const JobRecord *find(const std::string &id) const;

    /// @return All records, ordered by id.
    const std::map<std::string, JobRecord> &records() const
    {
        return m_records;
    }

    /// @param cell Cell to look up.
    /// @return Ids of the jobs in the cell that have not ended, ordered.
    const std::set<std::string> &liveJobsIn(std::string_view cell) const;

    /// @param workspace Workspace to add up.
    /// @return Accelerators of its running jobs in all cells.
    std::uint32_t runningAccelerators(std::string_view workspace) const;

    /// @param cell Cell to add up.
    /// @return Accelerators requested by the running and queued jobs of the cell.
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
