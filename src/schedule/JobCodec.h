#pragma once

#include "core/Result.h"
#include "core/TableTypes.h"
#include "schedule/JobRecord.h"

#include <string>

namespace banyanlock
{

/// Parses a submission and checks every field.
/// @param text JSON text.
/// @return The job, or `InvalidJob` with the field and the reason.
Result<JobSpec> decodeJobSpec(const std::string &text);

/// @param record Record to write.
/// @return JSON text, for the row and for callers.
std::string encodeJobRecord(const JobRecord &record);

/// @param row Row of the job table.
/// @return The record with the row's version, or `InvalidJob`.
Result<JobRecord> decodeJobRecord(const TableRow &row);

} // namespace banyanlock
