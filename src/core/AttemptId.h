#pragma once

#include <compare>
#include <cstdint>
#include <cstdio>
#include <string>

namespace banyanlock
{

/// Identifies one attempt at a request, unique across all entries and restarts.
struct AttemptId {
    std::uint64_t entryIncarnation = 0; ///< Incarnation of the entry process that made the attempt.
    std::uint64_t sequence = 0; ///< Number of the attempt within that process.

    /// Orders ids by entry, then by sequence.
    auto operator<=>(const AttemptId &) const = default; // NOLINT(modernize-use-nullptr): false alarm on defaulted comparisons

    /// @return The id as text, for headers and logs.
    std::string toString() const
    {
        char text[40];
        std::snprintf(text, sizeof(text), "%016llx-%llu", static_cast<unsigned long long>(entryIncarnation),
                      static_cast<unsigned long long>(sequence));
        return text;
    }
};

} // namespace banyanlock
