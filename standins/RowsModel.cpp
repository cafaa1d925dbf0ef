#include "RowsModel.h"

#include <algorithm>

namespace banyanlock
{

bool RowsModel::fits(const TableTransaction &transaction) const
{
    std::size_t bytes = 0;
    for (const RowWrite &write : transaction.writes) {
        const std::size_t size = write.value.value_or("").size();
        if (size > limits.rowBytes) {
            return false;
        }
        bytes += size;
    }
    return bytes <= limits.transactionBytes && transaction.checks.size() + transaction.writes.size() <= limits.transactionEntries;
}

CommitResult RowsModel::commit(const TableTransaction &transaction)
{
    CommitResult result;
    if (!fits(transaction)) {
        ++rejections;
        result.state = CommitState::Rejected;
        return result;
    }
    bool holds = true;
    for (const RowCheck &check : transaction.checks) {
        const auto found = rows.find({check.table, check.key});
        const bool exists = found != rows.end() && !found->second.erased;
        holds = holds && (exists ? found->second.version : 0) == check.version;
        if (exists) {
            result.rows.push_back(found->second);
        }
    }
    if (!holds) {
        result.state = CommitState::Conflict;
        return result;
    }
    ++version;
    for (const RowWrite &write : transaction.writes) {
        rows[{write.table, write.key}] = {write.table, write.key, version, write.value.value_or(""), !write.value.has_value()};
    }
    result.rows.clear();
    result.state = CommitState::Committed;
    result.version = version;
    return result;
}

std::vector<TableRow> RowsModel::changedAfter(const std::string &table, std::uint64_t after) const
{
    std::vector<TableRow> changed;
    for (const auto &[key, row] : rows) {
        if (row.table == table && row.version > after) {
            changed.push_back(row);
        }
    }
    std::ranges::stable_sort(changed, {}, &TableRow::version);
    return changed;
}

} // namespace banyanlock
