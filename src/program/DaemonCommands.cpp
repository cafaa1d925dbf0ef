#include "agent/AgentDaemon.h"
#include "core/Log.h"
#include "entry/EntryDaemon.h"
#include "program/Commands.h"

#include <array>
#include <csignal>
#include <iostream>

namespace banyanlock
{
namespace
{

void reportSettingsError(const Error &error)
{
    std::cerr << "banyanlock: error " << static_cast<int>(error.code) << " " << infoOf(error.code).name << ":\n" << error.detail << "\n";
}

Result<AnyRoutingPolicy> readPolicy(const EntrySettings &settings)
{
    std::optional<AnyRoutingPolicy> policy = routingPolicyFromName(settings.routingPolicy);
    if (!policy) {
        return Error{ResultCode::InvalidSettings, "routing_policy: '" + settings.routingPolicy + "' is not a known policy"};
    }
    return *policy;
}

template <typename Settings>
bool loadSettings(const CommandContext &context, std::span<const SettingKey<Settings>> keys, Settings &settings, ExitCode &exitCode)
{
    cxxopts::Options options = context.makeOptions("");
    options.add_options()("settings", "Settings file in YAML", cxxopts::value<std::string>());
    const Parsed parsed = context.parse(options, 0);
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
    return true;
}

ExitCode finishRun(const Result<Done> &result)
{
    if (!isOk(result)) {
        reportSettingsError(errorOf(result));
        return ExitCode::Failed;
    }
    return ExitCode::Done;
}

ExitCode runEntry(const CommandContext &context)
{
    EntrySettings settings;
    ExitCode exitCode = ExitCode::Done;
    if (!loadSettings(context, entrySettingKeys(), settings, exitCode)) {
        return exitCode;
    }
    const Result<AnyRoutingPolicy> policy = readPolicy(settings);
    if (!isOk(policy)) {
        reportSettingsError(errorOf(policy));
        return ExitCode::BadUsage;
    }
    Log::start("entry", settings.name, Log::levelFromName(settings.logLevel));
    return finishRun(EntryDaemon(settings, valueOf(policy)).run());
}

ExitCode runAgent(const CommandContext &context)
{
    AgentSettings settings;
    ExitCode exitCode = ExitCode::Done;
    if (!loadSettings(context, agentSettingKeys(), settings, exitCode)) {
        return exitCode;
    }
    Log::start("agent", settings.name, Log::levelFromName(settings.logLevel));
    return finishRun(AgentDaemon(settings).run());
}

/// An entry's settings file names an HTTP address, an agent's never does.
bool isEntryDocument(const SettingsDocument &document)
{
    return std::ranges::any_of(document.entries, [](const SettingsEntry &entry) {
        return entry.key == "http_address";
    });
}

ExitCode checkSettings(const CommandContext &context)
{
    cxxopts::Options options = context.makeOptions("FILE");
    const Parsed parsed = context.parse(options, 1);
    if (parsed.done) {
        return parsed.exitCode;
    }
    const std::string &path = parsed.operands[0];
    const Result<SettingsDocument> document = SettingsDocument::load(path);
    if (!isOk(document)) {
        reportSettingsError(errorOf(document));
        return ExitCode::BadUsage;
    }
    std::optional<Error> error;
    if (isEntryDocument(valueOf(document))) {
        const Result<EntrySettings> settings = readSettings(path, entrySettingKeys());
        const Result<AnyRoutingPolicy> policy = isOk(settings) ? readPolicy(valueOf(settings)) : errorOf(settings);
        error = isOk(policy) ? std::nullopt : std::optional(errorOf(policy));
    } else {
        const Result<AgentSettings> settings = readSettings(path, agentSettingKeys());
        error = isOk(settings) ? std::nullopt : std::optional(errorOf(settings));
    }
    if (error) {
        reportSettingsError(*error);
        return ExitCode::BadUsage;
    }
    std::cout << path << ": good\n";
    return ExitCode::Done;
}

ExitCode documentSettings(const CommandContext &)
{
    std::cout << "# Settings\n\nMade by `banyanlock settings document`. Unknown keys are refused.\n\n"
              << describeSettings("entry", entrySettingKeys()) << "\n"
              << describeSettings("agent", agentSettingKeys());
    return ExitCode::Done;
}

ExitCode documentResultCodes(const CommandContext &)
{
    std::cout << "# Result codes\n\nMade by `banyanlock result-codes`. Numbers are never used again.\n\n"
              << "| number | name | outcome | HTTP status | meaning |\n|---|---|---|---|---|\n";
    for (const ResultCodeInfo &info : resultCodeTable()) {
        std::cout << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | " << outcomeName(info.outcome) << " | "
                  << info.httpStatus << " | " << info.meaning << " |\n";
    }
    return ExitCode::Done;
}

} // namespace

std::span<const Command> daemonCommands()
{
    static constexpr std::array commands{
        Command{"entry", "Run an entry", runEntry},
        Command{"agent", "Run an agent beside a backend server", runAgent},
        Command{"settings check", "Check a settings file", checkSettings},
        Command{"settings document", "Print the page of all settings", documentSettings},
        Command{"result-codes", "Print the page of all result codes", documentResultCodes},
    };
    return commands;
}

} // namespace banyanlock
