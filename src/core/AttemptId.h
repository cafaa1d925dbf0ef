#pragma once

#include <compare>
#include <cstdint>
#include <cstdio>
#include <string>

namespace banyanlock
{

/// Names one attempt at a request, unique over all entries and restarts.
struct AttemptId {
    std::uint64_t entryIncarnation = 0; ///< Random number of the entry process that made it.
    std::uint64_t sequence = 0; ///< Counts the attempts of that process.

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
