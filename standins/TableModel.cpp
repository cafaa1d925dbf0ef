#include "TableModel.h"

#include <algorithm>

namespace banyanlock
{

std::uint64_t TableModel::versionOf(const std::string &table, const std::string &key) const
{
    const auto row = m_rows.find({table, key});
    return row == m_rows.end() ? 0 : row->second.version;
}

CommitResult TableModel::commit(const TableTransaction &transaction)
{
    const bool holds = std::ranges::all_of(transaction.checks, [this](const RowCheck &check) {
        return versionOf(check.table, check.key) == check.version;
    });
    if (!holds) {
        return {CommitState::Conflict, 0, {}};
    }
    ++m_version;
    for (const RowWrite &write : transaction.writes) {
        ++m_rowsWritten;
        if (write.value) {
            m_rows[{write.table, write.key}] = {write.table, write.key, m_version, *write.value};
        } else {
            m_rows.erase({write.table, write.key});
        }
    }
    return {CommitState::Committed, m_version, {}};
}

RowResult TableModel::read(const std::string &table, const std::string &key) const
{
    const auto row = m_rows.find({table, key});
    return {true, row == m_rows.end() ? std::nullopt : std::optional(row->second)};
}

ScanResult TableModel::scan(std::span<const std::string> tables, std::uint64_t since) const
{
    ScanResult result{true, m_version, {}};
    for (const auto &[key, row] : m_rows) {
        if (row.version > since && std::ranges::find(tables, row.table) != tables.end()) {
            result.rows.push_back(row);
        }
    }
    return result;
}

} // namespace banyanlock
