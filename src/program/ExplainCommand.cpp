#include "program/Commands.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace banyanlock
{
namespace
{

using Json = nlohmann::ordered_json;

/// One line of a process's log.
struct LogLine {
    std::string time;
    std::string name;
    std::string event;
    std::string otherFields; // remaining fields as JSON
};

/// @return Whether a field of the line is the job's id or a run name, which starts with the job's id.
bool mentionsJob(const Json &line, const std::string &job)
{
    return std::ranges::any_of(line.items(), [&](const auto &field) {
        return field.value().is_string() && field.value().template get<std::string>().starts_with(job);
    });
}

void addLines(std::istream &input, const std::string &job, std::vector<LogLine> &lines, std::size_t &unreadableLines)
{
    std::string text;
    while (std::getline(input, text)) {
        // Process supervisors often put a prefix, such as a time stamp, before a line of the process.
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos || text.find(job) == std::string::npos) {
            continue;
        }
        Json line = Json::parse(text.substr(begin), nullptr, false);
        if (!line.is_object()) {
            ++unreadableLines;
            continue;
        }
        if (!mentionsJob(line, job)) {
            continue;
        }
        LogLine found{line.value("time", ""), line.value("name", ""), line.value("event", ""), {}};
        for (const char *shown : {"time", "level", "role", "name", "event"}) {
            line.erase(shown);
        }
        found.otherFields = line.dump();
        lines.push_back(std::move(found));
    }
}

ExitCode explain(const CommandContext &context)
{
    cxxopts::Options options = context.makeOptions("JOB");
    options.add_options()("log", "Log file of a process; may be given several times", cxxopts::value<std::vector<std::string>>());
    const ParsedArguments parsed = context.parse(options, 1);
    if (parsed.done) {
        return parsed.exitCode;
    }
    if (parsed.result.count("log") == 0) {
        std::cerr << "banyanlock explain: --log is missing\n";
        return ExitCode::BadUsage;
    }
    const std::string &job = parsed.operands[0];
    std::vector<LogLine> lines;
    std::size_t unreadableLines = 0;
    for (const std::string &path : parsed.result["log"].as<std::vector<std::string>>()) {
        std::ifstream input(path);
        if (!input) {
            std::cerr << "banyanlock explain: cannot read " << path << "\n";
            return ExitCode::Failed;
        }
        addLines(input, job, lines, unreadableLines);
    }
    std::ranges::stable_sort(lines, {}, &LogLine::time);
    for (const LogLine &line : lines) {
        std::cout << line.time << "  " << line.name << "  " << line.event << "  " << line.otherFields << "\n";
    }
    if (unreadableLines > 0) {
        std::cerr << "banyanlock explain: " << unreadableLines << " lines that contain the job id are not valid JSON\n";
    }
    if (lines.empty()) {
        std::cerr << "banyanlock explain: no log line mentions " << job << "\n";
        return ExitCode::Failed;
    }
    return ExitCode::Done;
}

} // namespace

std::span<const Command> explainCommands()
{
    static constexpr std::array commands{Command{"explain", "Merge the log lines about a job from several processes", explain}};
    return commands;
}

} // namespace banyanlock
