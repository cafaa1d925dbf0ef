#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// Work, or work per second, of both kinds of resources.
struct BacklogWork {
    std::int64_t processors = 0; ///< Thousandths of a core-second.
    std::int64_t accelerators = 0; ///< Thousandths of an accelerator-second.

    /// Compares both fields.
    bool operator==(const BacklogWork &) const = default;
};

/// Waiting work of one priority.
struct PriorityBacklog {
    BacklogWork waiting; ///< Forecast work of the units that wait.
    BacklogWork drained; ///< Forecast work of the units that started lately, per second.

    /// Compares both fields.
    bool operator==(const PriorityBacklog &) const = default;
};

/// What the owner of a pool publishes about waiting work.
struct BacklogFigure {
    std::uint64_t epoch = 0; ///< Epoch of the owner that published the figure.
    std::int64_t ownedMilliseconds = 0; ///< Time since this owner took over.
    BacklogWork capacity; ///< Work that the usable workers can do per second.
    std::vector<PriorityBacklog> priorities; ///< By priority, from the highest; at most `maxBacklogPriorities`.

    /// Compares all fields.
    bool operator==(const BacklogFigure &) const = default;
};

/// Maximum number of priorities in a figure. Submissions of a lower priority are not refused because of load.
inline constexpr std::size_t maxBacklogPriorities = 8;

/// Maximum length of an encoded figure, in bytes.
inline constexpr std::size_t maxBacklogBytes = 1024;

/// @param figure Figure to encode. Values out of range are replaced by the nearest allowed ones; further priorities are left out.
/// @return JSON text of at most `maxBacklogBytes`.
std::string encodeBacklog(const BacklogFigure &figure);

/// @param text JSON text; unknown fields are ignored.
/// @return The figure, or nothing if the text is too long or a value is missing or out of range.
std::optional<BacklogFigure> decodeBacklog(const std::string &text);

} // namespace banyanlock
