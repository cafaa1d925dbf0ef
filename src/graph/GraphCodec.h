#pragma once

#include "graph/GraphRecord.h"

#include <optional>
#include <string>

namespace banyanlock
{

/// Writes what was asked for and accepted as the text of its row.
/// @param record Job to write.
/// @return JSON text.
std::string encodeGraphSpec(const GraphRecord &record);

/// Reads the row that says what was asked for.
/// @param text Text of the row.
/// @param record Receives spec, terms and time of acceptance.
/// @return Whether the text could be read.
bool decodeGraphSpec(const std::string &text, GraphRecord &record);

/// Writes progress as the text of its row.
/// @param progress Progress to write.
/// @return JSON text.
std::string encodeGraphProgress(const GraphProgress &progress);

/// Reads a progress row.
/// @param text Text of the row.
/// @return The progress, or nothing if the text can't be read.
std::optional<GraphProgress> decodeGraphProgress(const std::string &text);

/// Checks what a caller asks for.
/// @param spec Job to check.
/// @return Empty when it is good, else field and reason.
std::string checkGraphSpec(const GraphSpec &spec);

} // namespace banyanlock
