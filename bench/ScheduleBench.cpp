// Compares placement and order of jobs in virtual time on the same seeds: fragmentation, waits, reclaiming, and work done while a failure
// domain leaves and returns.

#include "BenchTable.h"
#include "ScheduleWorld.h"

#include <algorithm>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

namespace
{

using namespace banyanlock;

constexpr Duration runLength = fromMilliseconds(400000);
constexpr std::uint64_t seedCount = 4;
constexpr double largeShare = 0.06;

/// Size of a fleet and of the gangs that take whole workers of one rack of it.
struct FleetSize {
    const char *name;
    int domains;
    int racks;
    int workersPerRack;
    std::uint32_t accelerators;
    std::uint32_t largeTasks;
    std::uint32_t smallAccelerators;

    double total() const
    {
        return static_cast<double>(domains * racks * workersPerRack) * accelerators;
    }
};

constexpr FleetSize today{"today", 3, 4, 3, 8, 3, 4};
constexpr FleetSize letter{"letter, 2 of 18 failure domains", 2, 21, 16, 2, 16, 2};

struct PolicyRow {
    const char *name;
    CellPolicy policy;
};

Contract makeContract(const std::string &workspace, std::uint32_t share, const FleetSize &size, std::vector<GuaranteedShape> guarantees)
{
    Contract contract;
    contract.workspace = workspace;
    contract.share = share;
    contract.limits.accelerators = static_cast<std::uint32_t>(size.total());
    contract.guarantees = std::move(guarantees);
    return contract;
}

/// The small jobs are many and short; the gangs take whole workers of one rack, as the long tracings do.
JobSpec drawJob(Random &random, const FleetSize &size)
{
    JobSpec spec;
    spec.name = "job";
    spec.canCheckpoint = random.chance(0.7);
    const bool large = random.chance(largeShare);
    spec.workspace = large ? "tracing" : (random.chance(0.5) ? "quotes" : "audits");
    spec.shape.tasks = large ? size.largeTasks : 1;
    spec.shape.accelerators = large ? size.accelerators : 1 + random.below(size.smallAccelerators);
    spec.shape.adjacency = large ? Adjacency::Rack : Adjacency::FailureDomain;
    spec.durationHintMilliseconds = large ? 30000 + random.below(60000) : 5000 + random.below(40000);
    return spec;
}

/// Mean accelerator seconds of one drawn job.
double meanWork(const FleetSize &size)
{
    Random random(1);
    double total = 0;
    constexpr int samples = 20000;
    for (int sample = 0; sample < samples; ++sample) {
        const JobSpec spec = drawJob(random, size);
        total += static_cast<double>(spec.shape.tasks * spec.shape.accelerators) * spec.durationHintMilliseconds / 1000;
    }
    return total / samples;
}

ScheduleOptions makeOptions(const CellPolicy &policy, const FleetSize &size)
{
    ScheduleOptions options;
    options.entries = 1;
    options.domains = size.domains;
    options.racksPerDomain = size.racks;
    options.workersPerRack = size.workersPerRack;
    options.accelerators = size.accelerators;
    options.policy = policy;
    options.routeSubmissions = true;
    return options;
}

void start(ScheduleWorld &world, const FleetSize &size)
{
    const auto racks = static_cast<std::uint32_t>(size.domains * size.racks);
    world.putContract(makeContract("quotes", 10, size, {{racks / 2, 1, size.accelerators / 2, Adjacency::Worker}}));
    world.putContract(makeContract("audits", 5, size, {}));
    world.putContract(makeContract("tracing", 5, size, {{racks / 4, size.largeTasks, size.accelerators, Adjacency::Rack}}));
    for (int domain = 0; domain < size.domains; ++domain) {
        world.acquireCell(0, domain);
    }
    world.run(fromMilliseconds(2000));
}

/// Seconds that a job has waited for its first start.
double waitOf(const TrackedJob &job, const ScheduleWorld &world)
{
    return static_cast<double>((job.startedAt.value_or(world.now()) - job.submittedAt).count()) / 1e6;
}

/// What the runs of one policy gave, over all seeds.
struct MixTotals {
    double samples = 0;
    double unusable = 0; ///< Sum of the shares of free accelerators that no large gang could use.
    double idle = 0; ///< Sum of the shares of all accelerators that were free while a large gang waited.
    std::vector<double> smallWaits; // in seconds
    std::vector<double> largeWaits;
    double workDone = 0;
    std::uint64_t preempted = 0;
    std::uint64_t moved = 0;

    void observe(const ScheduleWorld &world, const FleetSize &size)
    {
        const double free = world.freeAccelerators();
        const double usable = world.freeInWholeRacks(size.largeTasks, size.accelerators);
        ++samples;
        unusable += free > 0 ? 1 - usable / free : 0;
        const bool waiting = std::ranges::any_of(world.jobs(), [&](const auto &entry) {
            return entry.second.spec.shape.tasks == size.largeTasks && !entry.second.startedAt;
        });
        idle += waiting ? free / size.total() : 0;
    }

    void finish(const ScheduleWorld &world, const FleetSize &size)
    {
        for (const auto &[id, job] : world.jobs()) {
            (job.spec.shape.tasks == size.largeTasks ? largeWaits : smallWaits).push_back(waitOf(job, world));
        }
        workDone += world.workDone() / (size.total() * static_cast<double>(runLength.count()));
        preempted += world.counters().value(Counter::GangsPreempted);
        moved += world.counters().value(Counter::GangsMoved);
    }
};

void runMix(const CellPolicy &policy, const FleetSize &size, double load, std::uint64_t seed, MixTotals &totals)
{
    ScheduleWorld world(seed, makeOptions(policy, size));
    start(world, size);
    const double meanGap = 1e6 * meanWork(size) / (size.total() * load);
    double nextSample = 0;
    double waited = 0;
    Random random(seed + 100);
    while (waited < static_cast<double>(runLength.count())) {
        const auto gap = static_cast<std::int64_t>(2 * meanGap * random.unit());
        world.run(Duration(gap));
        waited += static_cast<double>(gap);
        world.submit(drawJob(random, size));
        if (waited >= nextSample) {
            totals.observe(world, size);
            nextSample = waited + 1e6;
        }
    }
    totals.finish(world, size);
}

MixTotals runSeeds(const CellPolicy &policy, const FleetSize &size, double load)
{
    MixTotals totals;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        runMix(policy, size, load, seed, totals);
    }
    return totals;
}

void comparePolicies(const FleetSize &size)
{
    CellPolicy firstFit;
    firstFit.order = PlacementOrder::FirstFit;
    firstFit.respectReservations = false;
    firstFit.compact = false;
    CellPolicy bestFit;
    bestFit.respectReservations = false;
    bestFit.compact = false;
    CellPolicy arrival;
    arrival.orderByArrival = true;
    arrival.compact = false;
    CellPolicy still;
    still.compact = false;
    const std::vector<PolicyRow> policies{{"chosen", CellPolicy()},
                                          {"chosen, nothing moved", still},
                                          {"best fit without reservations", bestFit},
                                          {"first fit without reservations", firstFit},
                                          {"order of arrival", arrival}};
    std::printf("\n%s: %.0f accelerators, %llu seeds\n\n", size.name, size.total(), static_cast<unsigned long long>(seedCount));
    const BenchTable table({"load", "policy", "free accelerators no large gang can use, %", "idle while one waits, % of all",
                            "large gangs wait p50 s", "p99 s", "small jobs wait p50 s", "p99 s", "work done, %", "gangs preempted",
                            "moved"});
    for (const double load : {0.7, 0.9, 1.0}) {
        // Worlds share nothing, so the policies run side by side.
        std::vector<std::future<MixTotals>> running;
        running.reserve(policies.size());
        for (const PolicyRow &row : policies) {
            running.push_back(std::async(std::launch::async, runSeeds, row.policy, size, load));
        }
        for (std::size_t row = 0; row < policies.size(); ++row) {
            const MixTotals totals = running[row].get();
            BenchTable::addRow({formatNumber(100 * load, 0) + "%", policies[row].name, formatNumber(100 * totals.unusable / totals.samples),
                                formatNumber(100 * totals.idle / totals.samples), formatNumber(percentile(totals.largeWaits, 0.5)),
                                formatNumber(percentile(totals.largeWaits, 0.99)), formatNumber(percentile(totals.smallWaits, 0.5)),
                                formatNumber(percentile(totals.smallWaits, 0.99)), formatNumber(100 * totals.workDone / seedCount),
                                std::to_string(totals.preempted), std::to_string(totals.moved)});
        }
    }
}

/// Fills the fleet with one workspace's work, then asks for another's guarantee and for an urgent job.
void runReclaim()
{
    ScheduleWorld world(5, makeOptions(CellPolicy(), today));
    start(world, today);
    JobSpec filler;
    filler.workspace = "audits";
    filler.name = "filler";
    filler.shape = {1, 4, 1, 0, Adjacency::Worker};
    filler.canCheckpoint = true;
    filler.durationHintMilliseconds = 3600000;
    for (int job = 0; job < static_cast<int>(today.total()) / 4; ++job) {
        world.submit(filler);
    }
    world.run(fromMilliseconds(120000));
    const double filled = world.acceleratorsInUse();
    JobSpec guaranteed = filler;
    guaranteed.workspace = "tracing";
    guaranteed.shape = {3, 8, 1, 0, Adjacency::Rack};
    constexpr int guaranteedGangs = 3;
    std::vector<std::string> ids;
    ids.reserve(guaranteedGangs);
    for (int gang = 0; gang < guaranteedGangs; ++gang) {
        ids.push_back(world.submit(guaranteed));
    }
    JobSpec urgent = filler;
    urgent.workspace = "quotes";
    urgent.urgency = Urgency::Urgent;
    urgent.shape = {1, 2, 1, 0, Adjacency::Worker};
    const std::string urgentId = world.submit(urgent);
    world.run(fromMilliseconds(60000));
    double last = 0;
    for (const std::string &id : ids) {
        last = std::max(last, waitOf(world.jobs().at(id), world));
    }
    const double urgentWait = waitOf(world.jobs().at(urgentId), world);
    std::printf("\nFleet filled to %.0f of %.0f accelerators by borrowed work; full guarantee of three racks running after %.2f s; urgent "
                "job after "
                "%.2f s (bound 2.8 s).\n",
                filled, today.total(), last, urgentWait);
}

/// Work done while a failure domain is out for a minute, against what the rest could do.
void runDomainOut()
{
    ScheduleWorld world(7, makeOptions(CellPolicy(), today));
    start(world, today);
    JobSpec spec;
    spec.workspace = "audits";
    spec.name = "steady";
    spec.shape = {1, 2, 1, 0, Adjacency::Worker};
    spec.canCheckpoint = true;
    spec.durationHintMilliseconds = 20000;
    const auto feed = [&](Duration length) {
        const TimePoint end = world.now() + length;
        while (world.now() < end) {
            for (int job = 0; job < 8; ++job) {
                world.submit(spec);
            }
            world.run(fromMilliseconds(1000));
        }
    };
    feed(fromMilliseconds(60000));
    const double before = world.workDone();
    world.setOut(0, true);
    feed(fromMilliseconds(60000));
    const double during = world.workDone() - before;
    world.setOut(0, false);
    const double atReturn = world.workDone();
    feed(fromMilliseconds(60000));
    const double after = world.workDone() - atReturn;
    const double restCapacity = today.total() * (today.domains - 1) / today.domains * 60e6;
    std::printf("Work done in the minute with a failure domain out: %.1f%% of what the rest could do; in the minute after its return: "
                "%.1f%% of the whole.\n",
                100 * during / restCapacity, 100 * after / (today.total() * 60e6));
}

} // namespace

int main(int argumentCount, char **arguments)
{
    // `today`, `letter` or `reclaim` runs one part.
    const std::string part = argumentCount > 1 ? arguments[1] : "";
    if (part.empty() || part == "today") {
        comparePolicies(today);
    }
    if (part.empty() || part == "letter") {
        comparePolicies(letter);
    }
    if (part.empty() || part == "reclaim") {
        runReclaim();
        runDomainOut();
    }
    return 0;
}
