#pragma once

#include "program/ExitCode.h"

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace banyanlock
{

/// Words and options of one command.
struct CommandContext {
    std::string name; ///< Words that name the command, such as `job submit`.
    std::vector<std::string> arguments; ///< What follows these words.

    /// Makes the command's options with those that all commands have.
    /// @param operands Names of the operands, for the help text.
    /// @return Options that the command may add to.
    cxxopts::Options makeOptions(const std::string &operands) const;

    /// Parses the arguments.
    /// @param options Options of the command.
    /// @param operandCount Operands that must be there.
    /// @return What was parsed; help has been printed when `done` is set.
    struct ParsedArguments parse(cxxopts::Options &options, std::size_t operandCount) const;
};

/// Result of parsing a command's arguments.
struct ParsedArguments {
    cxxopts::ParseResult result; ///< Options.
    std::vector<std::string> operands; ///< Operands in order.
    bool done = false; ///< The command is done: help was asked for, or the usage is wrong.
    ExitCode exitCode = ExitCode::Done; ///< Exit code when done.
};

/// Adds the options of commands that call entries.
/// @param options Options to add to.
void addClientOptions(cxxopts::Options &options);

/// @param parsed Parsed options with those of `addClientOptions`.
/// @return Addresses of the entries, from the option or the environment.
std::vector<std::string> entryAddresses(const ParsedArguments &parsed);

/// @param parsed Parsed options with those of `addClientOptions`.
/// @return Whether output shall be JSON.
bool wantsJson(const ParsedArguments &parsed);

/// Reads a whole file.
/// @param path File to read; a dash for standard input.
/// @param text Receives the text.
/// @return Whether it could be read; a message was printed otherwise.
bool readFile(const std::string &path, std::string &text);

} // namespace banyanlock
