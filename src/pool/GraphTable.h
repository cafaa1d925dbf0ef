#pragma once

#include "core/TableTypes.h"
#include "graph/GraphRecord.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace banyanlock
{

/// All jobs that an entry knows, from their rows.
class GraphTable
{
public:
    /// Takes in a row of a job. An older version than the known one changes nothing.
    /// @param row The row.
    /// @param ownsProgress Whether this entry is the one that writes progress, so that its memory is newer than the rows.
    /// @return Id of the job if something changed, else empty.
    std::string adopt(const TableRow &row, bool ownsProgress);

    /// Forgets everything, before all rows are read anew.
    void clear();

    /// @param id Id of a job.
    /// @return Its record if both its rows are known, else null.
    GraphRecord *find(const std::string &id);

    /// @param id Id of a job.
    /// @return Its record if both its rows are known, else null.
    const GraphRecord *find(const std::string &id) const;

    /// @return Ids of the jobs that have not ended by their progress; cancelled ones are among them until their tasks are gone.
    const std::set<std::string> &open() const
    {
        return m_open;
    }

    /// @return Ids of the jobs that have ended.
    const std::set<std::string> &ended() const
    {
        return m_ended;
    }

    /// Notes that a job has nothing left to do.
    /// @param id Id of the job.
    void close(const std::string &id)
    {
        m_open.erase(id);
        m_ended.insert(id);
    }

    /// Forgets a job whose rows were erased.
    /// @param id Id of the job.
    void erase(const std::string &id)
    {
        m_open.erase(id);
        m_ended.erase(id);
        m_records.erase(id);
    }

    /// @param queue Name of a queue.
    /// @return Its accepted jobs that no task of has started.
    std::uint32_t countPending(const std::string &queue) const;

private:
    bool adoptSpec(GraphRecord &record, const TableRow &row);
    bool adoptProgress(GraphRecord &record, const TableRow &row, bool ownsProgress);

    std::map<std::string, GraphRecord> m_records;
    std::set<std::string> m_open;
    std::set<std::string> m_ended;
};

} // namespace banyanlock
