#pragma once

#include "core/TableTypes.h"
#include "schedule/WorkerMessage.h"

#include <cstdint>
#include <string>
#include <variant>

namespace banyanlock
{

/// Sends a message to a worker; its report or its silence comes back as an event.
struct SendWorkerMessage {
    std::string worker; ///< Name of the worker.
    std::string address; ///< IP number and port of its interface.
    WorkerMessage message; ///< The message.
};

/// Commits a transaction on a job's row; its result comes back as an event.
struct CommitJob {
    std::string job; ///< Id of the job.
    TableTransaction transaction; ///< The transaction.
};

/// Reads a job's row again; the row comes back as an event.
struct RefreshJob {
    std::string job; ///< Id of the job.
};

/// Tells operators of a gang's step.
struct LogGangEvent {
    const char *event = ""; ///< Name of the log line's event.
    std::string job; ///< Id of the job.
    std::uint32_t run = 0; ///< Run of the job.
    std::string reason; ///< Why, for people; may be empty.
};

/// What a cell asks its shell to do.
using CellAction = std::variant<SendWorkerMessage, CommitJob, RefreshJob, LogGangEvent>;

} // namespace banyanlock
