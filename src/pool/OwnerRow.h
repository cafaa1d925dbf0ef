#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace banyanlock
{

/// The row that says who owns the pool. Every transaction of the owner checks and rewrites it, so transactions of the owner form one
/// chain, and whoever has lost the row can't write.
struct OwnerRow {
    std::string owner; ///< Name of the owning entry; empty when it was given up.
    std::uint64_t incarnation = 0; ///< Process of the owner.
    std::uint64_t epoch = 0; ///< Fencing token; rises with each change of the owner.
    bool earlierOwnersExpired = true; ///< No earlier owner can renew leases any more.
    std::int64_t renewalMilliseconds = 0; ///< Time after which the owner writes again at the latest, if the table service answers as usual.
    std::uint64_t writeNumber = 0; ///< Number of the owner's transaction; tells its own writes apart.

    /// Compares all fields.
    bool operator==(const OwnerRow &) const = default;
};

/// @param row Row to write.
/// @return Its text.
std::string encodeOwnerRow(const OwnerRow &row);

/// @param text Text of the row.
/// @return The row, or nothing if the text can't be read.
std::optional<OwnerRow> decodeOwnerRow(const std::string &text);

} // namespace banyanlock
