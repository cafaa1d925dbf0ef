#include "schedule/JobTable.h"

#include "core/Assert.h"

#include <utility>

namespace banyanlock
{
namespace
{

void adjustTotal(std::uint32_t &total, std::uint32_t amount, bool add)
{
    BANYANLOCK_ASSERT(add || total >= amount);
    total = add ? total + amount : total - amount;
}

} // namespace

void JobTable::updateTotals(const JobRecord &record, bool add)
{
    if (record.state == JobState::Running) {
        adjustTotal(m_runningByWorkspace[record.spec.workspace], totalAccelerators(record.spec), add);
    }
    if (!hasEnded(record.state)) {
        adjustTotal(m_demandByCell[record.cell], totalAccelerators(record.spec), add);
        std::set<std::string> &live = m_liveByCell[record.cell];
        add ? (void)live.insert(record.id) : (void)live.erase(record.id);
    }
}

bool JobTable::adopt(JobRecord record)
{
    JobRecord &known = m_records[record.id];
    if (known.version >= record.version) {
        return false;
    }
    if (known.version != 0) {
        updateTotals(known, false);
    }
    known = std::move(record);
    updateTotals(known, true);
    return true;
}

void JobTable::erase(const std::string &id)
{
    const auto known = m_records.find(id);
    if (known != m_records.end() && hasEnded(known->second.state)) {
        m_records.erase(known);
    }
}

const JobRecord *JobTable::find(const std::string &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::set<std::string> &JobTable::liveJobsIn(std::string_view cell) const
{
    static const std::set<std::string> none;
    const auto found = m_liveByCell.find(cell);
    return found == m_liveByCell.end() ? none : found->second;
}

std::uint32_t JobTable::runningAccelerators(std::string_view workspace) const
{
    const auto found = m_runningByWorkspace.find(workspace);
    return found == m_runningByWorkspace.end() ? 0 : found->second;
}

std::uint32_t JobTable::demandedAccelerators(std::string_view cell) const
{
    const auto found = m_demandByCell.find(cell);
    return found == m_demandByCell.end() ? 0 : found->second;
}

} // namespace banyanlock
