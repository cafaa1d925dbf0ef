#pragma once

namespace banyanlock
{

/// Exit codes of the command line, for scripts.
enum class ExitCode : int {
    Done = 0, ///< Done as asked.
    Failed = 1, ///< It ran and ended with an error of its own.
    BadUsage = 2, ///< The command line or a file it names is wrong; nothing was sent.
    NotRun = 3, ///< Refused, with proof that it has not run.
    Unknown = 4, ///< It may have run.
    Unreachable = 5, ///< No entry could be reached; nothing was sent.
};

} // namespace banyanlock
