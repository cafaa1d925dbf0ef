// Compares routing policies in virtual time on the same seeds: completion times, quotes within their deadline, bytes across regions.

#include "BenchTable.h"
#include "DispatchWorld.h"

#include <future>
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
constexpr std::uint64_t firstSeed = 5;
constexpr std::uint64_t seedCount = 8;
constexpr double capacityPerSecond = agentCount * slots * 1e6 / static_cast<double>(serviceTime.count());

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

/// What the runs of one policy gave, over all seeds.
struct Totals {
    std::vector<double> times; // of good answers, in milliseconds
    double requests = 0;
    double inTime = 0;
    double crossRegionAttempts = 0;
    double runs = 0;

    void add(const TrackedRequest &request)
    {
        const bool good = request.answer && request.answer->outcome == Outcome::Answered && request.answer->status == 200;
        const double milliseconds = static_cast<double>((request.answeredAt - request.sentAt).count()) / 1000;
        ++requests;
        if (good) {
            times.push_back(milliseconds);
        }
        inTime += good && milliseconds <= static_cast<double>(toMilliseconds(quoteDeadline)) ? 1 : 0;
    }
};

DispatchOptions makeOptions()
{
    DispatchOptions options;
    options.entries = 3;
    options.agents = agentCount;
    options.slots = slots;
    options.serviceTime = serviceTime;
    options.crossRegionDelay = fromMilliseconds(20);
    options.network.longestDelay = fromMilliseconds(1);
    return options;
}

/// Waits for a random time.
/// @return The time waited, in microseconds.
double waitGap(DispatchWorld &world, double meanMicroseconds)
{
    const auto gap = static_cast<std::int64_t>(2 * meanMicroseconds * world.random().unit());
    world.run(Duration(gap));
    return static_cast<double>(gap);
}

/// Sends requests at a steady rate with random gaps; a third of them must not run twice.
void runLoad(const PolicyRow &policy, const ScenarioRow &scenario, double load, std::uint64_t seed, Totals &totals)
{
    DispatchOptions options = makeOptions();
    options.policy = policy.policy;
    options.unlimitedRetries = policy.unlimitedRetries;
    options.slowAgent = scenario.slowAgent;
    options.slowdownFactor = 5;
    options.failingAgent = scenario.failingAgent;
    if (scenario.outDomain != nullptr) {
        options.outDomains = {scenario.outDomain};
    }
    DispatchWorld world(seed, options);
    const double meanGap = 1e6 / (capacityPerSecond * load);
    double waited = 0;
    for (int number = 0; waited < static_cast<double>(testLength.count()); ++number) {
        waited += waitGap(world, meanGap);
        world.request(number % 3, number % 3 != 1, "", quoteDeadline);
    }
    world.run(fromMilliseconds(2000));
    for (const TrackedRequest &request : world.requests()) {
        totals.add(request);
    }
    totals.crossRegionAttempts += static_cast<double>(world.counters().value(Counter::CrossRegionAttempts));
    totals.runs += static_cast<double>(world.totalRuns());
}

Totals runSeeds(const PolicyRow &policy, const ScenarioRow &scenario, double load)
{
    Totals totals;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        runLoad(policy, scenario, load, seed, totals);
    }
    return totals;
}

void comparePolicies(const std::vector<double> &loads)
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
    for (const double load : loads) {
        for (const ScenarioRow &scenario : scenarios) {
            // Worlds share nothing, so the policies run side by side.
            std::vector<std::future<Totals>> running;
            running.reserve(policies.size());
            for (const PolicyRow &policy : policies) {
                running.push_back(std::async(std::launch::async, runSeeds, policy, scenario, load));
            }
            for (std::size_t row = 0; row < policies.size(); ++row) {
                const Totals totals = running[row].get();
                BenchTable::addRow({formatNumber(100 * load, 0) + "%", scenario.name, policies[row].name,
                                    formatNumber(percentile(totals.times, 0.5)), formatNumber(percentile(totals.times, 0.99)),
                                    formatNumber(percentile(totals.times, 0.999)), formatNumber(100 * totals.inTime / totals.requests, 2),
                                    formatNumber(100 * totals.crossRegionAttempts / totals.requests),
                                    formatNumber(totals.runs / totals.requests, 3)});
            }
        }
    }
}

/// Quotes at a steady 40% of the capacity, with or without a burst of another workspace's audits, of a tenth of their share.
Totals runBurst(double burstLoad, bool orderByArrival)
{
    constexpr double steadyLoad = 0.4;
    Totals totals;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        DispatchOptions options = makeOptions();
        options.orderByArrival = orderByArrival;
        DispatchWorld world(seed, options);
        const double load = steadyLoad + burstLoad;
        double waited = 0;
        for (int number = 0; waited < static_cast<double>(testLength.count()); ++number) {
            waited += waitGap(world, 1e6 / (capacityPerSecond * load));
            const bool steady = world.random().unit() * load < steadyLoad;
            world.requestOf(steady ? "quotes" : "audits", number % 3, number % 3 != 1, "", fromMilliseconds(1000));
        }
        world.run(fromMilliseconds(2000));
        for (const TrackedRequest &request : world.requests()) {
            if (request.workspace == "quotes") {
                totals.add(request);
            }
        }
    }
    return totals;
}

void measureBursts()
{
    std::printf("\nQuotes (share 10) at 40%% of the capacity while audits (share 1) burst; timeout 1 s.\n\n");
    const BenchTable table({"audits, % of the capacity", "queue", "quotes p50 ms", "p99 ms", "p99.9 ms", "within 250 ms, %"});
    for (const double burst : {0.0, 0.5, 1.0, 2.0}) {
        for (const bool orderByArrival : {false, true}) {
            const Totals totals = runBurst(burst, orderByArrival);
            BenchTable::addRow({formatNumber(100 * burst, 0), orderByArrival ? "order of arrival" : "fair by share",
                                formatNumber(percentile(totals.times, 0.5)), formatNumber(percentile(totals.times, 0.99)),
                                formatNumber(percentile(totals.times, 0.999)), formatNumber(100 * totals.inTime / totals.requests, 2)});
        }
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    // A load may be named, to look at one part of the table, or `burst`.
    const std::string part = argumentCount > 1 ? arguments[1] : "";
    if (part != "burst") {
        comparePolicies(part.empty() ? std::vector<double>{0.5, 0.9, 1.3} : std::vector<double>{std::stod(part)});
    }
    if (part.empty() || part == "burst") {
        measureBursts();
    }
    return 0;
}
