#include "program/CommandContext.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace banyanlock
{

cxxopts::Options CommandContext::makeOptions(const std::string &operands) const
{
    cxxopts::Options options("banyanlock " + name, "See docs/OPERATIONS.md.");
    options.custom_help("[options]");
    options.positional_help(operands);
    options.add_options()("h,help", "Print this help")("operands", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"operands"});
    return options;
}

ParsedArguments CommandContext::parse(cxxopts::Options &options, std::size_t operandCount) const
{
    std::vector<const char *> words{"banyanlock"};
    for (const std::string &argument : arguments) {
        words.push_back(argument.c_str());
    }
    try {
        ParsedArguments parsed{options.parse(static_cast<int>(words.size()), words.data()), {}};
        if (parsed.result.count("help") > 0) {
            std::cout << options.help({""});
            parsed.done = true;
            return parsed;
        }
        if (parsed.result.count("operands") > 0) {
            parsed.operands = parsed.result["operands"].as<std::vector<std::string>>();
        }
        if (parsed.operands.size() != operandCount) {
            std::cerr << "banyanlock " << name << ": expected " << operandCount << " operands, got " << parsed.operands.size()
                      << "; see --help\n";
            parsed.done = true;
            parsed.exitCode = ExitCode::BadUsage;
        }
        return parsed;
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "banyanlock " << name << ": " << error.what() << "; see --help\n";
        return {{}, {}, true, ExitCode::BadUsage};
    }
}

void addClientOptions(cxxopts::Options &options)
{
    options.add_options()("entries", "Addresses of the entries, separated by commas; default from BANYANLOCK_ENTRIES",
                          cxxopts::value<std::string>()->default_value(""))("json", "Print JSON");
}

std::vector<std::string> entryAddresses(const ParsedArguments &parsed)
{
    std::string text = parsed.result["entries"].as<std::string>();
    if (text.empty()) {
        const char *environment = std::getenv("BANYANLOCK_ENTRIES");
        text = environment == nullptr ? "127.0.0.1:8080" : environment;
    }
    std::vector<std::string> addresses;
    std::istringstream stream(text);
    for (std::string address; std::getline(stream, address, ',');) {
        addresses.push_back(address);
    }
    return addresses;
}

bool wantsJson(const ParsedArguments &parsed)
{
    return parsed.result.count("json") > 0;
}

bool readFile(const std::string &path, std::string &text)
{
    if (path == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
        return true;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "banyanlock: " << path << ": cannot be read\n";
        return false;
    }
    text.assign(std::istreambuf_iterator<char>(file), {});
    return true;
}

} // namespace banyanlock
