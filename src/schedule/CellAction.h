#pragma once

#include "core/TableTypes.h"
#include "schedule/WorkerMessage.h"

#include <cstdint>
#include <string>
#include <variant>

namespace banyanlock
{

/// Sends a message to a worker. Its report or a report timeout is returned as an event.
struct SendWorkerMessage {
    std::string worker; ///< Name of the worker.
    std::string address; ///< IP address and port of its interface.
    WorkerMessage message; ///< The message.
};

/// Commits a transaction on the row of a job. The result is returned as an event.
struct CommitJob {
    std::string job; ///< Id of the job.
    TableTransaction transaction; ///< The transaction.
};

/// Reads the row of a job again. The row is returned as an event.
struct RefreshJob {
    std::string job; ///< Id of the job.
};

/// Logs a state change of a gang for operators.
struct LogGangEvent {
    const char *event = ""; ///< Name of the log event.
    std::string job; ///< Id of the job.
    std::uint32_t run = 0; ///< Run of the job.
    std::string reason; ///< Human-readable reason; may be empty.
};

/// Action that a cell requests from its host daemon.
using CellAction = std::variant<SendWorkerMessage, CommitJob, RefreshJob, LogGangEvent>;

} // namespace banyanlock
