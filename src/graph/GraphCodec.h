#pragma once

#include "graph/GraphRecord.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// Encodes the specification, terms and acceptance time of a job as the text of its row.
/// @param record Job to encode.
/// @return JSON text.
std::string encodeGraphSpec(const GraphRecord &record);

/// Decodes a specification row.
/// @param text Text of the row.
/// @param record Receives specification, terms and acceptance time.
/// @return Whether the text is a valid specification.
bool decodeGraphSpec(const std::string &text, GraphRecord &record);

/// Encodes progress as one text.
/// @param progress Progress to encode.
/// @return JSON text.
std::string encodeGraphProgress(const GraphProgress &progress);

/// Texts of the rows that hold a job's progress.
struct ProgressRows {
    std::string head; ///< Progress row; instead of the units it names the number of continuation rows, if there are any.
    std::vector<std::string> continuations; ///< The text of the units in slices; empty if the progress row holds it.

    /// @return Total size in bytes.
    std::size_t bytes() const;
};

/// Encodes progress as the texts of its rows.
/// @param progress Progress to encode.
/// @param maxRowBytes Maximum size of a row.
/// @return The texts.
ProgressRows encodeProgressRows(const GraphProgress &progress, std::size_t maxRowBytes);

/// Joins the rows that hold a job's progress.
/// @param head Progress row that names continuation rows.
/// @param continuations Their texts, in order.
/// @return Text as `encodeGraphProgress` returns it.
std::string joinProgressRows(const std::string &head, const std::vector<std::string> &continuations);

/// @param head Text of a progress row.
/// @return Number of continuation rows that it names; zero if it holds all units.
std::uint32_t continuationCountOf(const std::string &head);

/// Decodes a progress row that holds all units.
/// @param text Text of the row.
/// @return The progress, or nothing if the text is not valid.
std::optional<GraphProgress> decodeGraphProgress(const std::string &text);

/// Decodes a progress row without its units, which are almost all of its text.
/// @param text Text of the row.
/// @return The progress without units, or nothing if that part of the text is not valid.
std::optional<GraphProgress> decodeGraphProgressHead(const std::string &text);

/// Validates the specification of a job.
/// @param spec Specification to validate.
/// @return Empty if it is valid, else the reason, with the step that is invalid if any.
std::string checkGraphSpec(const GraphSpec &spec);

/// @param progress Progress of a job.
/// @param spec Specification of the job.
/// @return Whether all units are units of the specification and have as many places as tasks, or none.
bool matches(const GraphProgress &progress, const GraphSpec &spec);

} // namespace banyanlock
