#include "Standins.h"

#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

namespace
{

using namespace banyanlock;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("banyanlock-standins",
                             "Stand-ins for the platform, for development only: table, objects, workers, backend, load");
    options.add_options()("h,help", "Print this help");
    options.add_options()("role", "table, objects, workers, backend or load", cxxopts::value<std::string>());
    options.add_options()("listen", "Address of the service", cxxopts::value<std::string>()->default_value("127.0.0.1:9000"));
    options.add_options()("control", "Address on which faults are set", cxxopts::value<std::string>()->default_value("127.0.0.1:9001"));
    options.add_options()("service-time-us", "Time that a backend server takes", cxxopts::value<long>()->default_value("0"));
    options.add_options()("failure-domain", "Failure domain of the workers", cxxopts::value<std::string>()->default_value("fd-a"));
    options.add_options()("count", "Workers", cxxopts::value<int>()->default_value("3"));
    options.add_options()("table-url", "Table service", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("object-url", "Object store", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("targets", "Addresses for the load", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("path", "Path of the load's requests",
                          cxxopts::value<std::string>()->default_value("/v1/services/quote/requests"));
    options.add_options()("workspace", "Workspace of the load", cxxopts::value<std::string>()->default_value("quotes"));
    options.add_options()("callers", "Callers at once", cxxopts::value<int>()->default_value("1"));
    options.add_options()("requests", "Requests in all", cxxopts::value<int>()->default_value("100"));
    options.add_options()("timeout-ms", "Limit for each answer", cxxopts::value<long>()->default_value("5000"));
    options.add_options()("prefix", "Start of each body", cxxopts::value<std::string>()->default_value("load"));
    options.add_options()("outcomes", "File for outcome and body of each request", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("idempotent", "Requests may run more than once");
    options.parse_positional({"role"});
    options.positional_help("ROLE");
    return options;
}

std::vector<std::string> splitAddresses(const std::string &text)
{
    std::vector<std::string> addresses;
    std::istringstream stream(text);
    for (std::string address; std::getline(stream, address, ',');) {
        addresses.push_back(address);
    }
    return addresses;
}

int runWorkers(const cxxopts::ParseResult &parsed, const Endpoint &first)
{
    WorkerStandinOptions options;
    options.failureDomain = parsed["failure-domain"].as<std::string>();
    options.count = static_cast<std::uint16_t>(parsed["count"].as<int>());
    options.firstEndpoint = first;
    options.tableUrl = parsed["table-url"].as<std::string>();
    options.objectUrl = parsed["object-url"].as<std::string>();
    return runWorkerStandins(options);
}

int runLoadTool(const cxxopts::ParseResult &parsed)
{
    LoadOptions options;
    options.targets = splitAddresses(parsed["targets"].as<std::string>());
    options.path = parsed["path"].as<std::string>();
    options.workspace = parsed["workspace"].as<std::string>();
    options.callers = parsed["callers"].as<int>();
    options.requests = parsed["requests"].as<int>();
    options.timeoutMilliseconds = parsed["timeout-ms"].as<long>();
    options.idempotent = parsed.count("idempotent") > 0;
    options.outcomesPath = parsed["outcomes"].as<std::string>();
    options.bodyPrefix = parsed["prefix"].as<std::string>();
    return runLoad(options);
}

int runRole(const cxxopts::ParseResult &parsed)
{
    const std::string role = parsed["role"].as<std::string>();
    const std::optional<Endpoint> service = Endpoint::parse(parsed["listen"].as<std::string>());
    const std::optional<Endpoint> control = Endpoint::parse(parsed["control"].as<std::string>());
    if (!service || !control) {
        std::cerr << "banyanlock-standins: --listen and --control take an IP number with a port\n";
        return 2;
    }
    if (role == "table") {
        return runTableStandin(*service, *control);
    }
    if (role == "objects") {
        return runObjectStandin(*service, *control);
    }
    if (role == "backend") {
        return runBackendStandin(*service, *control, Duration(parsed["service-time-us"].as<long>()));
    }
    if (role == "workers") {
        return runWorkers(parsed, *service);
    }
    if (role == "load") {
        return runLoadTool(parsed);
    }
    std::cerr << "banyanlock-standins: unknown role " << role << "\n";
    return 2;
}

} // namespace

namespace banyanlock
{

int runStandin(EventLoop &loop, StandinServer &server, const Endpoint &service, const Endpoint &control)
{
    const Result<Done> listening = server.listen(service, control);
    if (!isOk(listening)) {
        std::cerr << errorOf(listening).detail << "\n";
        return 1;
    }
    loop.onShutdown([&] {
        loop.stop();
    });
    loop.run();
    return 0;
}

} // namespace banyanlock

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0 || parsed.count("role") == 0) {
            std::cout << options.help();
            return parsed.count("help") > 0 ? 0 : 2;
        }
        return runRole(parsed);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "banyanlock-standins: " << error.what() << "\n";
        return 2;
    }
}
