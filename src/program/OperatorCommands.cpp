#include "program/Commands.h"
#include "program/OperatorClient.h"
#include "program/ReplyPrinter.h"
#include "program/TablePrinter.h"

#include <array>
#include <iostream>
#include <nlohmann/json.hpp>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

std::string textOf(const Json &json, const char *field)
{
    const auto found = json.find(field);
    if (found == json.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Formats a list of JSON objects as a table with one column per field.
std::string formatTable(const Json &list, const std::vector<std::string> &fields)
{
    TablePrinter table(fields);
    for (const Json &item : list) {
        std::vector<std::string> cells;
        cells.reserve(fields.size());
        for (const std::string &field : fields) {
            cells.push_back(textOf(item, field.c_str()));
        }
        table.addRow(std::move(cells));
    }
    return table.toString();
}

/// Runs a command that fetches one resource with GET and prints it.
template <typename Print>
ExitCode getAndPrint(const CommandContext &context, const std::string &operands, std::size_t operandCount, const char *prefix,
                     const char *suffix, Print print)
{
    cxxopts::Options options = context.makeOptions(operands);
    addClientOptions(options);
    const ParsedArguments parsed = context.parse(options, operandCount);
    if (parsed.done) {
        return parsed.exitCode;
    }
    const std::string operand = operandCount == 0 ? "" : parsed.operands[0];
    const HttpReply reply = OperatorClient(entryAddresses(parsed)).call("GET", prefix + operand + suffix);
    return finishCall(parsed, reply, [&](const Json &json) {
        print(json, reply);
    });
}

ExitCode getContract(const CommandContext &context)
{
    return getAndPrint(context, "WORKSPACE", 1, "/v1/workspaces/", "/contract", [](const Json &json, const HttpReply &reply) {
        std::cout << "version " << reply.entityTag << "\n" << json.dump(2) << "\n";
    });
}

ExitCode listContracts(const CommandContext &context)
{
    return getAndPrint(context, "", 0, "/v1/workspaces", "", [](const Json &json, const HttpReply &) {
        std::cout << formatTable(json["contracts"], {"workspace", "share", "version", "accelerators_running", "limits", "guarantees"});
    });
}

ExitCode putContract(const CommandContext &context)
{
    cxxopts::Options options = context.makeOptions("FILE");
    addClientOptions(options);
    options.add_options()("if-version", "Refuse unless the contract has this version; 0 for a new one", cxxopts::value<std::string>());
    const ParsedArguments parsed = context.parse(options, 1);
    if (parsed.done) {
        return parsed.exitCode;
    }
    std::string text;
    if (!readFile(parsed.operands[0], text)) {
        return ExitCode::BadUsage;
    }
    const Json contract = Json::parse(text, nullptr, false);
    if (!contract.is_object() || !contract.contains("workspace") || !contract["workspace"].is_string()) {
        std::cerr << "banyanlock contract put: " << parsed.operands[0] << " is not a JSON object with the string field 'workspace'\n";
        return ExitCode::BadUsage;
    }
    std::vector<HttpHeader> headers{{"Content-Type", "application/json"}};
    if (parsed.result.count("if-version") > 0) {
        headers.push_back({"If-Match", parsed.result["if-version"].as<std::string>()});
    }
    const std::string path = "/v1/workspaces/" + contract["workspace"].get<std::string>() + "/contract";
    const HttpReply reply = OperatorClient(entryAddresses(parsed)).call("PUT", path, headers, text);
    return finishCall(parsed, reply, [&](const Json &) {
        std::cout << "contract of " << contract["workspace"].get<std::string>() << " accepted as version " << reply.entityTag << "\n";
    });
}

ExitCode listFailureDomains(const CommandContext &context)
{
    return getAndPrint(context, "", 0, "/v1/failure-domains", "", [](const Json &json, const HttpReply &) {
        std::cout << formatTable(json["failure_domains"], {"failure_domain", "out", "owner", "epoch", "workers", "live_jobs"});
    });
}

ExitCode setFailureDomain(const CommandContext &context, const std::string &state)
{
    cxxopts::Options options = context.makeOptions("FAILURE-DOMAIN");
    addClientOptions(options);
    const ParsedArguments parsed = context.parse(options, 1);
    if (parsed.done) {
        return parsed.exitCode;
    }
    const HttpReply reply = OperatorClient(entryAddresses(parsed)).call("POST", "/v1/failure-domains/" + parsed.operands[0] + "/" + state);
    return finishCall(parsed, reply, [&](const Json &json) {
        std::cout << "failure domain " << parsed.operands[0] << " is " << state << ", version " << textOf(json, "version") << "\n";
    });
}

ExitCode takeFailureDomainOut(const CommandContext &context)
{
    return setFailureDomain(context, "out");
}

ExitCode bringFailureDomainIn(const CommandContext &context)
{
    return setFailureDomain(context, "in");
}

ExitCode showStatus(const CommandContext &context)
{
    return getAndPrint(context, "", 0, "/v1/status", "", [](const Json &json, const HttpReply &) {
        std::cout << "entry " << textOf(json, "entry") << ", configuration version " << textOf(json, "configuration_version")
                  << ", table service heard " << textOf(json, "store_contact_age_ms") << " ms ago, " << textOf(json, "requests_in_flight")
                  << " requests in flight\n\n";
        std::cout << formatTable(json["failure_domains"], {"failure_domain", "out", "owner", "epoch", "workers", "live_jobs"}) << "\n";
        std::cout << formatTable(json["peers"], {"entry", "failure_domain", "configuration_version"}) << "\n";
        std::cout << formatTable(json["members"], {"agent", "service", "failure_domain", "slots", "load", "age_ms", "leaving", "healthy"});
        if (!json["guarantee_shortfalls"].empty()) {
            std::cout << "\nguarantees without room:\n" << formatTable(json["guarantee_shortfalls"], {"workspace", "shape", "missing"});
        }
    });
}

} // namespace

std::span<const Command> operatorCommands()
{
    static constexpr std::array commands{
        Command{"contract get", "Show a workspace's contract", getContract},
        Command{"contract put", "Create or replace a contract from a JSON file", putContract},
        Command{"contract list", "List all contracts", listContracts},
        Command{"failure-domain list", "List failure domains with their state", listFailureDomains},
        Command{"failure-domain out", "Take a failure domain out of service", takeFailureDomainOut},
        Command{"failure-domain in", "Bring a failure domain back into service", bringFailureDomainIn},
        Command{"status", "Show an entry's view of the system", showStatus},
    };
    return commands;
}

} // namespace banyanlock
