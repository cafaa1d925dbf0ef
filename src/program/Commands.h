#pragma once

#include "program/CommandContext.h"
#include "program/ExitCode.h"

#include <span>
#include <string_view>

namespace banyanlock
{

/// One command of the command line.
struct Command {
    std::string_view name; ///< Words on the command line that select the command.
    std::string_view description; ///< One line for the help text.
    ExitCode (*run)(const CommandContext &); ///< Runs the command.
};

/// @return Commands that run daemons and check settings.
std::span<const Command> daemonCommands();

/// @return Commands that run the daemons of a pool on the outer platform.
std::span<const Command> poolCommands();

/// @return Commands on contracts, failure domains and status.
std::span<const Command> operatorCommands();

/// @return Commands that read logs.
std::span<const Command> explainCommands();

/// @return Commands on requests and jobs.
std::span<const Command> workCommands();

} // namespace banyanlock
