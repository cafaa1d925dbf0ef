#pragma once

#include "core/TableTypes.h"
#include "graph/GraphRecord.h"
#include "pool/EarlyCancellations.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace banyanlock
{

/// In-memory copy of all jobs, built from their rows in the table service.
class GraphTable
{
public:
    /// Applies a row of a job. A row that is not newer than the known version is ignored.
    /// @param row The row.
    /// @param ownsProgress Whether this entry is the writer of progress rows, so that its in-memory progress is newer than the rows.
    /// @return Id of the job if the job changed, else empty.
    std::string adopt(const TableRow &row, bool ownsProgress);

    /// Decodes the progress of all open jobs, before this entry becomes its writer.
    void decodeOpen();

    /// Removes all jobs, before all rows are read again.
    void clear();

    /// @param id Id of a job.
    /// @return Its record with all progress if its specification and progress rows are known and valid, else null.
    GraphRecord *find(const std::string &id);

    /// @param id Id of a job.
    /// @return Its record, possibly without the progress of its units, if its specification and progress rows are known, else null.
    const GraphRecord *find(const std::string &id) const;

    /// @return The jobs that have not ended according to their progress, by id; a cancelled job is included until its tasks have ended.
    /// The records stay where they are until their jobs are erased.
    const std::map<std::string, GraphRecord *> &open() const
    {
        return m_open;
    }

    /// @return Ids of the open jobs that are cancelled.
    const std::set<std::string> &cancelledOpen() const
    {
        return m_cancelledOpen;
    }

    /// @return Ids of the jobs that have ended.
    const std::set<std::string> &ended() const
    {
        return m_ended;
    }

    /// Moves a job from the open to the ended jobs.
    /// @param id Id of the job.
    void close(const std::string &id)
    {
        m_open.erase(id);
        m_cancelledOpen.erase(id);
        m_ended.insert(id);
    }

    /// Removes a job whose rows were erased.
    /// @param id Id of the job.
    void erase(const std::string &id)
    {
        m_open.erase(id);
        m_cancelledOpen.erase(id);
        m_ended.erase(id);
        m_records.erase(id);
    }

    /// @return The recorded cancellations of jobs that did not exist.
    EarlyCancellations &earlyCancellations()
    {
        return m_earlyCancellations;
    }

    /// @param queue Name of a queue.
    /// @return Number of accepted jobs of the queue of which no task has started.
    std::uint32_t countPending(const std::string &queue) const;

private:
    bool adoptSpec(GraphRecord &record, const TableRow &row);
    bool adoptProgress(GraphRecord &record, const TableRow &row, bool ownsProgress);
    void adoptContinuation(const TableRow &row, const std::string &job, std::uint32_t number);
    bool decodeUnits(GraphRecord &record);

    std::map<std::string, GraphRecord> m_records;
    std::map<std::string, GraphRecord *> m_open;
    std::set<std::string> m_cancelledOpen;
    std::set<std::string> m_ended;
    EarlyCancellations m_earlyCancellations;
};

} // namespace banyanlock
