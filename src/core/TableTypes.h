#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// A row of the platform's table service. Versions are commit sequence numbers of the service and only increase.
struct TableRow {
    std::string table; ///< Table of the row.
    std::string key; ///< Key of the row.
    std::uint64_t version = 0; ///< Sequence number of the commit that last wrote the row.
    std::string value; ///< Text of the row.
    bool erased = false; ///< The row was erased at that version; set only in reads of changes.
};

/// Condition that a transaction checks.
struct RowCheck {
    std::string table; ///< Table of the row.
    std::string key; ///< Key of the row.
    std::uint64_t version = 0; ///< Version that the row must have; zero when it must not exist.
};

/// Write that a transaction makes.
struct RowWrite {
    std::string table; ///< Table of the row.
    std::string key; ///< Key of the row.
    std::optional<std::string> value; ///< New text, or an empty value to erase the row.
};

/// Checks and writes that are applied atomically.
struct TableTransaction {
    std::string changeId; ///< Unique id, to find out the outcome after a lost answer.
    std::vector<RowCheck> checks; ///< Conditions.
    std::vector<RowWrite> writes; ///< Writes.
};

/// Limits of the table service.
struct TableLimits {
    std::size_t rowBytes = 49152; ///< Size of a row's text: 64 KB in Base64.
    std::size_t transactionBytes = 700'000; ///< Size of all texts of a transaction: 1 MB in Base64, with room for their keys.
    std::size_t transactionEntries = 100; ///< Number of checks and writes of a transaction.
};

/// How a transaction ended.
enum class CommitState : std::uint8_t {
    Committed, ///< The transaction took effect.
    Conflict, ///< A check failed; nothing was written.
    NotSent, ///< The service could not be reached; nothing was written.
    Rejected, ///< The service rejects the transaction as such: nothing was written, and no repetition can succeed.
    Unknown, ///< The answer was lost; it may have taken effect.
};

/// Result of a transaction.
struct CommitResult {
    CommitState state = CommitState::Unknown; ///< How it ended.
    std::uint64_t version = 0; ///< Version of the written rows, when committed.
    std::vector<TableRow> rows; ///< On a conflict: current rows of the checks, if the service reports them.
};

/// Result of a read of one row.
struct RowResult {
    bool available = false; ///< Whether the service answered.
    std::optional<TableRow> row; ///< The row, or an empty value if it does not exist.
};

/// Result of a read of changed rows.
struct ScanResult {
    bool available = false; ///< Whether the service answered.
    std::uint64_t version = 0; ///< The service's commit sequence at the read.
    std::vector<TableRow> rows; ///< Rows written after the requested version.
};

} // namespace banyanlock
