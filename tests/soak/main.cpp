#include "Soak.h"

#include "core/Log.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace banyanlock;
    cxxopts::Options options("banyanlock-soak", "Runs the real programs under random faults and checks what callers were promised.");
    options.add_options()("program", "path of the banyanlock program", cxxopts::value<std::string>());
    options.add_options()("directory", "where settings and logs are written", cxxopts::value<std::string>());
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("seconds", "seconds of faults", cxxopts::value<int>()->default_value("12"));
    options.add_options()("entries", "number of entries", cxxopts::value<std::size_t>()->default_value("3"));
    options.add_options()("workers", "number of workers", cxxopts::value<std::size_t>()->default_value("6"));
    options.add_options()("port", "first port", cxxopts::value<std::uint16_t>()->default_value("26000"));
    options.add_options()("cut-answers", "half of the workers' answers are lost with their connection, and workers refuse starts");
    options.add_options()("after-contact", "late calls reach a new worker incarnation only after its agent's first call");
    options.add_options()("log", "writes what the workers see");
    try {
        const cxxopts::ParseResult given = options.parse(argc, argv);
        if (given.count("log") > 0) {
            Log::start("soak", "workers", LogLevel::Info);
        }
        const std::uint64_t first = given["seed"].as<std::uint64_t>();
        const std::uint64_t count = given["seeds"].as<std::uint64_t>();
        std::uint64_t failed = 0;
        for (std::uint64_t seed = first; seed < first + count; ++seed) {
            SoakOptions soak;
            soak.seed = seed;
            soak.program = given["program"].as<std::string>();
            soak.directory = given["directory"].as<std::string>() + "/seed-" + std::to_string(seed);
            soak.firstPort = given["port"].as<std::uint16_t>();
            soak.entries = given["entries"].as<std::size_t>();
            soak.workers = given["workers"].as<std::size_t>();
            soak.cutAnswers = given.count("cut-answers") != 0;
            soak.callsBeforeContact = given.count("after-contact") == 0;
            soak.faultTime = std::chrono::seconds(given["seconds"].as<int>());
            std::filesystem::create_directories(soak.directory);
            Soak run(soak);
            const std::vector<std::string> violations = run.run();
            std::cout << "seed " << seed << ": " << run.acceptedJobs() << " jobs accepted, " << violations.size() << " violations"
                      << std::endl;
            for (const std::string &violation : violations) {
                std::cout << "seed " << seed << ": " << violation << "\n";
            }
            failed += violations.empty() ? 0 : 1;
            if (violations.empty()) {
                std::filesystem::remove_all(soak.directory);
            }
        }
        std::cout << count - failed << " of " << count << " seeds kept every promise\n";
        return failed == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n" << options.help() << "\n";
        return 2;
    }
}
