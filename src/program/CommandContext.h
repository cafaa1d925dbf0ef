#pragma once

#include "program/ExitCode.h"

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace banyanlock
{

/// Name and arguments of the command that runs.
struct CommandContext {
    std::string name; ///< Words that name the command, such as `job submit`.
    std::vector<std::string> arguments; ///< Arguments after the name.

    /// Creates the command's option parser with the options that all commands share.
    /// @param operands Names of the operands, for the help text.
    /// @return The parser; the command may add options.
    cxxopts::Options makeOptions(const std::string &operands) const;

    /// Parses the arguments.
    /// @param options Options of the command.
    /// @param operandCount Required number of operands.
    /// @return The parsed arguments; if `done` is set, help or a usage error has been printed.
    struct ParsedArguments parse(cxxopts::Options &options, std::size_t operandCount) const;
};

/// Result of parsing a command's arguments.
struct ParsedArguments {
    cxxopts::ParseResult result; ///< Options.
    std::vector<std::string> operands; ///< Operands in order.
    bool done = false; ///< The command must not run: help was requested, or the usage is wrong.
    ExitCode exitCode = ExitCode::Done; ///< Exit code if `done` is set.
};

/// Adds the options of commands that call entries.
/// @param options Options to add to.
void addClientOptions(cxxopts::Options &options);

/// @param parsed Parsed options with those of `addClientOptions`.
/// @return Addresses of the entries, from the option `--entries`, else BANYANLOCK_ENTRIES, else 127.0.0.1:8080.
std::vector<std::string> entryAddresses(const ParsedArguments &parsed);

/// @param parsed Parsed options with those of `addClientOptions`.
/// @return Whether to print JSON.
bool wantsJson(const ParsedArguments &parsed);

/// Reads a whole file.
/// @param path File to read; a dash for standard input.
/// @param text Receives the text.
/// @return Whether the file could be read; if not, an error message has been printed.
bool readFile(const std::string &path, std::string &text);

} // namespace banyanlock
