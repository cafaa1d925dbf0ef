#pragma once

#include "core/SettingKey.h"
#include "program/CommandContext.h"
#include "program/ExitCode.h"

#include <iostream>
#include <span>
#include <string>

namespace banyanlock
{

/// Prints a settings error on standard error.
/// @param error The error.
inline void reportSettingsError(const Error &error)
{
    std::cerr << "banyanlock: error " << static_cast<int>(error.code) << " " << infoOf(error.code).name << ":\n" << error.detail << "\n";
}

/// Reads the settings file that a daemon's command line names.
/// @param context Command line.
/// @param keys All keys of the role.
/// @param settings Receives the settings.
/// @param exitCode Receives the exit code if the daemon must not run.
/// @param path Receives the path of the settings file.
/// @return Whether the daemon is to run.
template <typename Settings>
bool loadSettings(const CommandContext &context, std::span<const SettingKey<Settings>> keys, Settings &settings, ExitCode &exitCode,
                  std::string *path = nullptr)
{
    cxxopts::Options options = context.makeOptions("");
    options.add_options()("settings", "Settings file in YAML", cxxopts::value<std::string>());
    const ParsedArguments parsed = context.parse(options, 0);
    exitCode = parsed.exitCode;
    if (parsed.done) {
        return false;
    }
    exitCode = ExitCode::BadUsage;
    if (parsed.result.count("settings") == 0) {
        std::cerr << "banyanlock " << context.name << ": --settings is missing\n";
        return false;
    }
    Result<Settings> read = readSettings(parsed.result["settings"].as<std::string>(), keys);
    if (!isOk(read)) {
        reportSettingsError(errorOf(read));
        return false;
    }
    settings = std::move(valueOf(read));
    if (path != nullptr) {
        *path = parsed.result["settings"].as<std::string>();
    }
    return true;
}

/// Reports the result of a daemon's run.
/// @param result Done, or the error that ended the run.
/// @return The exit code.
inline ExitCode finishRun(const Result<Done> &result)
{
    if (!isOk(result)) {
        reportSettingsError(errorOf(result));
        return ExitCode::Failed;
    }
    return ExitCode::Done;
}

} // namespace banyanlock
