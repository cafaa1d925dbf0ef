#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace banyanlock
{

/// The row that records the owner of the pool. Every transaction of the owner checks its version and rewrites it, so the owner's
/// transactions are totally ordered, and an owner that has been replaced can't write.
struct OwnerRow {
    std::string owner; ///< Name of the owning entry; empty after ownership was released.
    std::uint64_t incarnation = 0; ///< Incarnation number of the owner's process.
    std::uint64_t epoch = 0; ///< Fencing token; increases with each change of the owner and is at most the row's version.
    bool earlierOwnersExpired = true; ///< No earlier owner can renew leases any more.
    std::int64_t renewalMilliseconds = 0; ///< Maximum interval between the owner's writes while the table service responds normally.
    std::uint64_t writeNumber = 0; ///< Number of the owner's transaction; distinguishes its own writes.
    std::int64_t processors = 0; ///< Processor time of the latest owner, in thousandths of a core; zero if unknown.
    std::int64_t lagMilliseconds = 0; ///< How far the owner is behind with its work.
    std::string successor; ///< Entry that a released pool is handed over to; empty for any.

    /// Compares all fields.
    bool operator==(const OwnerRow &) const = default;
};

/// @param row Row to encode.
/// @return JSON text of the row.
std::string encodeOwnerRow(const OwnerRow &row);

/// @param text Text of the row.
/// @param version Version of the row. Each epoch was acquired in a transaction of its own, so no epoch exceeds it.
/// @return The row, or nothing if the text is not a valid owner row of that version.
std::optional<OwnerRow> decodeOwnerRow(const std::string &text, std::uint64_t version);

} // namespace banyanlock
