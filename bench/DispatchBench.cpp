// Compares routing policies in virtual time on the same seeds: completion times, quotes within their deadline, bytes across regions.

#include "BenchTable.h"
#include "DispatchWorld.h"

#include <string>
#include <vector>

namespace
{

using namespace banyanlock;

constexpr int agentCount = 9;
constexpr std::uint16_t slots = 8;
constexpr Duration serviceTime = fromMilliseconds(60);
constexpr Duration quoteDeadline = fromMilliseconds(250);
constexpr Duration testLength = fromMilliseconds(5000);

struct PolicyRow {
    const char *name;
    AnyRoutingPolicy policy;
    bool unlimitedRetries;
};

struct ScenarioRow {
    const char *name;
    int slowAgent;
    int failingAgent;
    const char *outDomain;
};

struct Figures {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double withinDeadline = 0;
    double crossRegionAttempts = 0;
    double runsPerRequest = 0;
};

/// Sends requests at a steady rate with random gaps; a third of them must not run twice.
Figures runLoad(const PolicyRow &policy, const ScenarioRow &scenario, double load, std::uint64_t seed)
{
    DispatchOptions options;
    options.entries = 3;
    options.agents = agentCount;
    options.slots = slots;
    options.serviceTime = serviceTime;
    options.policy = policy.policy;
    options.unlimitedRetries = policy.unlimitedRetries;
    options.crossRegionDelay = fromMilliseconds(20);
    options.network.longestDelay = fromMilliseconds(1);
    options.slowAgent = scenario.slowAgent;
    options.slowness = 5;
    options.failingAgent = scenario.failingAgent;
    if (scenario.outDomain != nullptr) {
        options.outDomains = {scenario.outDomain};
    }
    DispatchWorld world(seed, options);
    const double capacityPerSecond = agentCount * slots * 1e6 / static_cast<double>(serviceTime.count());
    const double meanGap = 1e6 / (capacityPerSecond * load);
    double waited = 0;
    int number = 0;
    while (waited < static_cast<double>(testLength.count())) {
        const auto gap = static_cast<std::int64_t>(2 * meanGap * world.random().unit());
        world.run(Duration(gap));
        waited += static_cast<double>(gap);
        world.request(number % 3, number % 3 != 1, "", quoteDeadline);
        ++number;
    }
    world.run(fromMilliseconds(2000));
    std::vector<double> times;
    double inTime = 0;
    for (const TrackedRequest &request : world.requests()) {
        const bool good = request.answer && request.answer->outcome == Outcome::Answered && request.answer->status == 200;
        const double milliseconds = static_cast<double>((request.answeredAt - request.sentAt).count()) / 1000;
        if (good) {
            times.push_back(milliseconds);
        }
        inTime += good && milliseconds <= static_cast<double>(toMilliseconds(quoteDeadline)) ? 1 : 0;
    }
    const auto total = static_cast<double>(world.requests().size());
    Figures figures;
    figures.p50 = percentile(times, 0.5);
    figures.p99 = percentile(times, 0.99);
    figures.p999 = percentile(times, 0.999);
    figures.withinDeadline = 100 * inTime / total;
    figures.crossRegionAttempts = 100 * static_cast<double>(world.counters().value(Counter::CrossRegionAttempts)) / total;
    figures.runsPerRequest = static_cast<double>(world.totalRuns()) / total;
    return figures;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::vector<PolicyRow> policies{{"completion_time", CompletionTimePolicy(), false},
                                          {"least_connections", LeastConnectionsPolicy(), false},
                                          {"round_robin", RoundRobinPolicy(), false},
                                          {"round_robin, retries without budget", RoundRobinPolicy(), true}};
    const std::vector<ScenarioRow> scenarios{{"all well", -1, -1, nullptr},
                                             {"one server 5 times slower", 0, -1, nullptr},
                                             {"one server fails everything", -1, 0, nullptr},
                                             {"a failure domain out", -1, -1, "fd-0"}};
    const BenchTable table({"load", "scenario", "policy", "p50 ms", "p99 ms", "p99.9 ms", "within 250 ms, %", "attempts across regions, %",
                            "runs per request"});
    // A load may be named, to look at one part of the table.
    const std::vector<double> loads = argumentCount > 1 ? std::vector<double>{std::stod(arguments[1])} : std::vector<double>{0.5, 0.9, 1.3};
    for (const double load : loads) {
        for (const ScenarioRow &scenario : scenarios) {
            for (const PolicyRow &policy : policies) {
                const Figures figures = runLoad(policy, scenario, load, 5);
                BenchTable::addRow({formatNumber(100 * load, 0) + "%", scenario.name, policy.name, formatNumber(figures.p50),
                                    formatNumber(figures.p99), formatNumber(figures.p999), formatNumber(figures.withinDeadline, 2),
                                    formatNumber(figures.crossRegionAttempts), formatNumber(figures.runsPerRequest, 3)});
            }
        }
    }
    return 0;
}
