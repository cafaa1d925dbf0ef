#pragma once

#include "core/TableTypes.h"

#include <map>
#include <span>
#include <string>
#include <utility>

namespace banyanlock
{

/// The platform's table service in memory: serial transactions over versioned rows.
class TableModel
{
public:
    /// Applies a transaction if all its checks hold.
    /// @param transaction The transaction.
    /// @return Committed with the version, or a conflict.
    CommitResult commit(const TableTransaction &transaction);

    /// @param table Table of the row.
    /// @param key Key of the row.
    /// @return The row, if it exists.
    RowResult read(const std::string &table, const std::string &key) const;

    /// @param tables Tables to read.
    /// @param since Rows written after this version are read.
    /// @return The rows.
    ScanResult scan(std::span<const std::string> tables, std::uint64_t since) const;

    /// @return Rows written since the start.
    std::uint64_t rowsWritten() const
    {
        return m_rowsWritten;
    }

private:
    std::uint64_t versionOf(const std::string &table, const std::string &key) const;

    std::map<std::pair<std::string, std::string>, TableRow> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_rowsWritten = 0;
};

} // namespace banyanlock
