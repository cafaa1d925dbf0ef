#pragma once

#include "core/Result.h"
#include "core/TableTypes.h"
#include "schedule/JobRecord.h"

#include <string>

namespace banyanlock
{

/// Parses a submission and validates every field.
/// @param text JSON text.
/// @return Job specification, or `InvalidJob` with the field and the reason.
Result<JobSpec> decodeJobSpec(const std::string &text);

/// @param record Record to encode.
/// @return JSON text, as stored in the row and returned to callers.
std::string encodeJobRecord(const JobRecord &record);

/// @param row Row of the job table.
/// @return Record with the version of the row, or `InvalidJob`.
Result<JobRecord> decodeJobRecord(const TableRow &row);

} // namespace banyanlock
