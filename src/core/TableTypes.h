#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// A row of the platform's table service. Versions are the service's commit sequence and only rise.
struct TableRow {
    std::string table; ///< Table of the row.
    std::string key; ///< Key of the row.
    std::uint64_t version = 0; ///< Commit that last wrote it.
    std::string value; ///< Its text.
    bool erased = false; ///< The row was erased at that version; only where changes are followed.
};

/// Condition of a transaction.
struct RowCheck {
    std::string table; ///< Table of the row.
    std::string key; ///< Key of the row.
    std::uint64_t version = 0; ///< Version that the row must have; zero when it must not exist.
};

/// Write of a transaction.
struct RowWrite {
    std::string table; ///< Table of the row.
    std::string key; ///< Key of the row.
    std::optional<std::string> value; ///< New text, or nothing to erase the row.
};

/// Checks and writes that take effect together or not at all.
struct TableTransaction {
    std::string changeId; ///< Unique id, to settle a lost answer.
    std::vector<RowCheck> checks; ///< Conditions.
    std::vector<RowWrite> writes; ///< Writes.
};

/// How a transaction ended.
enum class CommitState : std::uint8_t {
    Committed, ///< It took effect.
    Conflict, ///< A check failed; nothing was written.
    NotSent, ///< The service could not be reached; nothing was written.
    Unknown, ///< The answer was lost; it may have taken effect.
};

/// Result of a transaction.
struct CommitResult {
    CommitState state = CommitState::Unknown; ///< How it ended.
    std::uint64_t version = 0; ///< Version of the written rows, when committed.
    std::vector<TableRow> rows; ///< Present rows of the conditions, on a conflict, where the service tells them.
};

/// Result of a read of one row.
struct RowResult {
    bool available = false; ///< Whether the service answered.
    std::optional<TableRow> row; ///< The row, or nothing if it does not exist.
};

/// Result of a read of the rows that changed.
struct ScanResult {
    bool available = false; ///< Whether the service answered.
    std::uint64_t version = 0; ///< The service's commit sequence at the read.
    std::vector<TableRow> rows; ///< Rows written after the version that was named.
};

} // namespace banyanlock
