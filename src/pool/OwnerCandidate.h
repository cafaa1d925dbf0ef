#pragma once

#include "core/Time.h"
#include "pool/OwnerRow.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyanlock
{

/// An entry as a possible owner of the pool.
struct EntryIdentity {
    std::string name; ///< Unique name of the entry.
    std::uint64_t incarnation = 0; ///< Incarnation number of its process.
    std::int64_t processors = 0; ///< Processor time that its instance provides, in thousandths of a core; zero if unknown.
};

/// The row in which an entry asks the owner of the pool to hand it over.
struct OwnerCandidate {
    std::string name; ///< Name of the entry.
    std::uint64_t incarnation = 0; ///< Incarnation number of its process.
    std::uint64_t epoch = 0; ///< Epoch of the owner that it asks.
    std::int64_t processors = 0; ///< Its processor time, in thousandths of a core.

    /// Compares all fields.
    bool operator==(const OwnerCandidate &) const = default;
};

/// @param candidate Row to encode.
/// @return JSON text of the row.
std::string encodeOwnerCandidate(const OwnerCandidate &candidate);

/// @param text Text of the row.
/// @return The row, or nothing if the text is not a valid candidate.
std::optional<OwnerCandidate> decodeOwnerCandidate(const std::string &text);

/// Delays that let the strongest entries try first and keep others from writing at the same time.
struct AttemptDelays {
    Duration slot = fromMilliseconds(40); ///< Offset between entries; an attempt and the news of it take 25 to 50 ms.
    std::uint32_t slots = 8; ///< Number of offsets; with 18 entries of the same strength two or three share one.
    Duration weaker = fromMilliseconds(700); ///< Wait for entries that are as strong as the previous owner; more than all slots.
    Duration successor = fromMilliseconds(600); ///< Wait for the entry that the previous owner has named.
    Duration firstStart = fromMilliseconds(1500); ///< Wait of the weakest entry at the first start, when the entries don't know each other.
};

/// @param processors Processor time of an entry, in thousandths of a core.
/// @param other Processor time of another one.
/// @return Whether the first has at least twice as much. Smaller differences do not pay for a hand-over.
bool isClearlyStronger(std::int64_t processors, std::int64_t other);

/// @param entry An entry that does not own the pool.
/// @param row Row of the previous owner, which has released the pool or fallen silent.
/// @param delays Delays.
/// @return Time for which the entry waits before it tries to acquire the pool.
Duration attemptDelay(const EntryIdentity &entry, const OwnerRow &row, const AttemptDelays &delays = {});

} // namespace banyanlock
