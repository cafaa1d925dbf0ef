#pragma once

#include "core/Result.h"
#include "schedule/WorkerMessage.h"

#include <string>

namespace banyanlock
{

/// @param message Message to encode.
/// @return JSON text.
std::string encodeWorkerMessage(const WorkerMessage &message);

/// @param text JSON text of a message.
/// @return Message, or `MalformedRequest`.
Result<WorkerMessage> decodeWorkerMessage(const std::string &text);

/// @param report Report to encode.
/// @return JSON text.
std::string encodeWorkerReport(const WorkerReport &report);

/// @param text JSON text of a report.
/// @return Report, or `MalformedRequest`.
Result<WorkerReport> decodeWorkerReport(const std::string &text);

/// @param worker Worker to encode.
/// @return JSON text of its row in the worker table.
std::string encodeWorkerInfo(const WorkerInfo &worker);

/// @param text JSON text of a row in the worker table.
/// @return Worker, or `MalformedRequest`.
Result<WorkerInfo> decodeWorkerInfo(const std::string &text);

/// Table that holds the workers of the platform.
inline constexpr const char *workerTable = "workers";

} // namespace banyanlock
