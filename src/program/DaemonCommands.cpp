#include "agent/AgentDaemon.h"
#include "core/Log.h"
#include "entry/EntryDaemon.h"
#include "poolhost/PoolSettings.h"
#include "program/Commands.h"
#include "program/DaemonSettings.h"

#include <array>
#include <csignal>
#include <iostream>

namespace banyanlock
{
namespace
{

Result<AnyRoutingPolicy> parseRoutingPolicy(const EntrySettings &settings)
{
    std::optional<AnyRoutingPolicy> policy = routingPolicyFromName(settings.routingPolicy);
    if (!policy) {
        return Error{ResultCode::InvalidSettings, "routing_policy: '" + settings.routingPolicy + "' is not a known policy"};
    }
    return *policy;
}

ExitCode runEntry(const CommandContext &context)
{
    EntrySettings settings;
    ExitCode exitCode = ExitCode::Done;
    if (!loadSettings(context, entrySettingKeys(), settings, exitCode)) {
        return exitCode;
    }
    const Result<AnyRoutingPolicy> policy = parseRoutingPolicy(settings);
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

/// Checks for a top-level key. checkSettings() tells the roles apart by an address setting that only that role has.
bool hasKey(const SettingsDocument &document, std::string_view key)
{
    return std::ranges::any_of(document.entries, [&](const SettingsEntry &entry) {
        return entry.key == key;
    });
}

ExitCode checkSettings(const CommandContext &context)
{
    cxxopts::Options options = context.makeOptions("FILE");
    const ParsedArguments parsed = context.parse(options, 1);
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
    if (hasKey(valueOf(document), "http_address")) {
        const Result<EntrySettings> settings = readSettings(path, entrySettingKeys());
        const Result<AnyRoutingPolicy> policy = isOk(settings) ? parseRoutingPolicy(valueOf(settings)) : errorOf(settings);
        error = isOk(policy) ? std::nullopt : std::optional(errorOf(policy));
    } else if (hasKey(valueOf(document), "caller_address")) {
        const Result<PoolEntrySettings> settings = readSettings(path, poolEntrySettingKeys());
        error = isOk(settings) ? std::nullopt : std::optional(errorOf(settings));
    } else if (hasKey(valueOf(document), "announce_address")) {
        const Result<PoolAgentSettings> settings = readSettings(path, poolAgentSettingKeys());
        error = isOk(settings) ? std::nullopt : std::optional(errorOf(settings));
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
              << describeSettings("agent", agentSettingKeys()) << "\n"
              << describeSettings("pool entry", poolEntrySettingKeys()) << "\n"
              << describeSettings("pool agent", poolAgentSettingKeys());
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
