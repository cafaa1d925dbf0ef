#pragma once

namespace banyanlock
{

/// Exit codes of the command line, for scripts.
enum class ExitCode : int {
    Done = 0, ///< Success.
    Failed = 1, ///< The command, request or job ran and failed.
    BadUsage = 2, ///< The command line, or a file that it names, is invalid; nothing was sent.
    NotRun = 3, ///< Refused; it is guaranteed that the operation has not run.
    Unknown = 4, ///< Outcome unknown: the operation may have run.
    Unreachable = 5, ///< No entry could be reached; nothing was sent.
};

} // namespace banyanlock
