#pragma once

#include "graph/GraphRecord.h"

#include <optional>
#include <string>

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

/// Encodes progress as the text of its row.
/// @param progress Progress to encode.
/// @return JSON text.
std::string encodeGraphProgress(const GraphProgress &progress);

/// Decodes a progress row.
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
