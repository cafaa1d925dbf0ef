#include "program/Commands.h"

#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace banyanlock;

std::vector<Command> allCommands()
{
    std::vector<Command> commands;
    for (const std::span<const Command> group : {daemonCommands(), poolCommands(), operatorCommands(), workCommands(), explainCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

void printHelp(std::ostream &stream)
{
    stream << "banyanlock: scheduler for multi-accelerator jobs under workspace guarantees\n\nusage: banyanlock COMMAND [options]\n\n";
    for (const Command &command : allCommands()) {
        stream << "  " << command.name << std::string(22 - command.name.size(), ' ') << command.description << "\n";
    }
    stream << "\nEvery command takes --help. Exit codes: 0 done, 1 failed, 2 bad usage, 3 refused and not run, 4 outcome unknown, 5 "
              "unreachable.\n";
}

std::string joinWords(const std::vector<std::string> &words, std::size_t count)
{
    std::string joined;
    for (std::size_t index = 0; index < count; ++index) {
        joined += (index == 0 ? "" : " ") + words[index];
    }
    return joined;
}

int runCommand(const std::vector<std::string> &words)
{
    for (std::size_t count = std::min<std::size_t>(2, words.size()); count > 0; --count) {
        const std::string name = joinWords(words, count);
        for (const Command &command : allCommands()) {
            if (command.name == name) {
                const CommandContext context{name, {words.begin() + static_cast<std::ptrdiff_t>(count), words.end()}};
                return static_cast<int>(command.run(context));
            }
        }
    }
    std::cerr << "banyanlock: unknown command '" << joinWords(words, words.size()) << "'; see --help\n";
    return static_cast<int>(ExitCode::BadUsage);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
    if (words.empty()) {
        printHelp(std::cerr);
        return static_cast<int>(ExitCode::BadUsage);
    }
    if (words[0] == "--help" || words[0] == "-h" || words[0] == "help") {
        printHelp(std::cout);
        return 0;
    }
    for (const std::string &word : words) {
        if (word == "--version") {
            std::cout << "banyanlock " << BANYANLOCK_VERSION << "\n";
            return 0;
        }
    }
    return runCommand(words);
}
