#pragma once

#include "core/TableTypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace banyanlock
{

/// Rows of a table service in memory, with conditional transactions.
struct RowsModel {
    std::map<std::pair<std::string, std::string>, TableRow> rows; ///< All rows, by table and key; erased ones stay, marked.
    std::uint64_t version = 0; ///< Version of the newest transaction.
    std::uint64_t historyFrom = 0; ///< Changes up to this version are forgotten.
    TableLimits limits; ///< Transactions beyond them are rejected.
    std::uint64_t rejections = 0; ///< Transactions rejected so far.

    /// @param transaction A transaction.
    /// @return Whether it is within the limits.
    bool fits(const TableTransaction &transaction) const;

    /// Commits a transaction.
    /// @param transaction Checks and writes.
    /// @return The result; on a conflict with the checked rows as they are.
    CommitResult commit(const TableTransaction &transaction);

    /// @param table Name of a table.
    /// @param after Version.
    /// @return Rows of the table that changed after the version, oldest change first.
    std::vector<TableRow> changedAfter(const std::string &table, std::uint64_t after) const;
};

} // namespace banyanlock
