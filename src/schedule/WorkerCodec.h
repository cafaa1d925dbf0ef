#pragma once

#include "core/Result.h"
#include "schedule/WorkerMessage.h"

#include <string>

namespace banyanlock
{

/// @param message Message to write.
/// @return Its JSON text.
std::string encodeWorkerMessage(const WorkerMessage &message);

/// @param text JSON text of a message.
/// @return The message, or `MalformedRequest`.
Result<WorkerMessage> decodeWorkerMessage(const std::string &text);

/// @param report Report to write.
/// @return Its JSON text.
std::string encodeWorkerReport(const WorkerReport &report);

/// @param text JSON text of a report.
/// @return The report, or `MalformedRequest`.
Result<WorkerReport> decodeWorkerReport(const std::string &text);

/// @param worker Worker to write.
/// @return Text of its row in the table of workers.
std::string encodeWorkerInfo(const WorkerInfo &worker);

/// @param text Text of a row in the table of workers.
/// @return The worker, or `MalformedRequest`.
Result<WorkerInfo> decodeWorkerInfo(const std::string &text);

/// Table of the platform's workers.
inline constexpr const char *workerTable = "workers";

} // namespace banyanlock
