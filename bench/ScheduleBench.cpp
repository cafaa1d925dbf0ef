// Compares placement and order of jobs in virtual time on the same seeds: fragmentation, waits, reclaiming, and work done while a failure
// domain leaves and returns.

#include "BenchTable.h"
#include "ScheduleWorld.h"

#include <cstdlib>
#include <string>
#include <vector>

namespace
{

using namespace banyanlock;

constexpr int domains = 3;
constexpr int racks = 4;
constexpr int workersPerRack = 3;
constexpr std::uint32_t acceleratorsPerWorker = 8;
constexpr double totalAccelerators = domains * racks * workersPerRack * acceleratorsPerWorker;
constexpr Duration runLength = fromMilliseconds(400000);
constexpr std::uint32_t largeGangTasks = 3;

struct PolicyRow {
    const char *name;
    CellPolicy policy;
};

Contract makeContract(const std::string &workspace, std::uint32_t share, std::vector<GuaranteedShape> guarantees)
{
    Contract contract;
    contract.workspace = workspace;
    contract.share = share;
    contract.limits.accelerators = static_cast<std::uint32_t>(totalAccelerators);
    contract.guarantees = std::move(guarantees);
    return contract;
}

/// The small jobs are many and short; the gangs take whole workers of one rack, as the long tracings do.
JobSpec drawJob(Random &random)
{
    JobSpec spec;
    spec.name = "job";
    spec.canCheckpoint = random.chance(0.7);
    const bool large = random.chance(0.06);
    spec.workspace = large ? "tracing" : (random.chance(0.5) ? "quotes" : "audits");
    spec.shape.tasks = large ? largeGangTasks : 1;
    spec.shape.accelerators = large ? acceleratorsPerWorker : 1 + random.below(4);
    spec.shape.adjacency = large ? Adjacency::Rack : Adjacency::FailureDomain;
    spec.durationHintMilliseconds = large ? 30000 + random.below(60000) : 5000 + random.below(40000);
    return spec;
}

/// Mean accelerator seconds of one drawn job.
double meanWork()
{
    Random random(1);
    double total = 0;
    constexpr int samples = 20000;
    for (int sample = 0; sample < samples; ++sample) {
        const JobSpec spec = drawJob(random);
        total += static_cast<double>(spec.shape.tasks * spec.shape.accelerators) * spec.durationHintMilliseconds / 1000;
    }
    return total / samples;
}

ScheduleOptions makeOptions(const CellPolicy &policy)
{
    ScheduleOptions options;
    options.entries = 1;
    options.domains = domains;
    options.racksPerDomain = racks;
    options.workersPerRack = workersPerRack;
    options.policy = policy;
    options.routeSubmissions = true;
    return options;
}

void start(ScheduleWorld &world)
{
    world.putContract(makeContract("quotes", 10, {{6, 1, 4, Adjacency::Worker}}));
    world.putContract(makeContract("audits", 5, {}));
    world.putContract(makeContract("tracing", 5, {{3, 3, 8, Adjacency::Rack}}));
    for (int domain = 0; domain < domains; ++domain) {
        world.takeCell(0, domain);
    }
    world.run(fromMilliseconds(2000));
}

/// Whether any rack of free accelerators could hold a large gang.
struct FragmentationMeter {
    double samples = 0;
    double lost = 0;

    void observe(const ScheduleWorld &world)
    {
        const double free = world.freeAccelerators();
        const double usable = world.freeInWholeRacks(largeGangTasks, acceleratorsPerWorker);
        if (free > 0) {
            ++samples;
            lost += 1 - usable / free;
        }
    }
};

void runMix(const PolicyRow &row, double load)
{
    ScheduleWorld world(3, makeOptions(row.policy));
    start(world);
    const double meanGap = 1e6 * meanWork() / (totalAccelerators * load);
    FragmentationMeter meter;
    double nextSample = 0;
    double waited = 0;
    Random random(17);
    while (waited < static_cast<double>(runLength.count())) {
        const auto gap = static_cast<std::int64_t>(2 * meanGap * random.unit());
        world.run(Duration(gap));
        waited += static_cast<double>(gap);
        world.submit(drawJob(random));
        if (waited >= nextSample) {
            meter.observe(world);
            nextSample = waited + 1e6;
        }
    }
    std::vector<double> smallWaits;
    std::vector<double> largeWaits;
    for (const auto &[id, job] : world.jobs()) {
        const TimePoint started = job.startedAt.value_or(world.now());
        const double seconds = static_cast<double>((started - job.submittedAt).count()) / 1e6;
        (job.spec.shape.tasks == largeGangTasks ? largeWaits : smallWaits).push_back(seconds);
    }
    BenchTable::addRow({formatNumber(100 * load, 0) + "%", row.name, formatNumber(100 * meter.lost / std::max(1.0, meter.samples)),
                        formatNumber(percentile(largeWaits, 0.5)), formatNumber(percentile(largeWaits, 0.99)),
                        formatNumber(percentile(smallWaits, 0.5)), formatNumber(percentile(smallWaits, 0.99)),
                        formatNumber(100 * world.workDone() / 1e6 / (totalAccelerators * static_cast<double>(runLength.count()) / 1e6)),
                        std::to_string(world.counters().value(Counter::GangsPreempted))});
}

/// Fills the fleet with one workspace's work, then asks for another's guarantee and for an urgent job.
void runReclaim()
{
    ScheduleWorld world(5, makeOptions(CellPolicy()));
    start(world);
    JobSpec filler;
    filler.workspace = "audits";
    filler.name = "filler";
    filler.shape = {1, 4, 1, 0, Adjacency::Worker};
    filler.canCheckpoint = true;
    filler.durationHintMilliseconds = 3600000;
    for (int job = 0; job < static_cast<int>(totalAccelerators) / 4; ++job) {
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
        const TrackedJob &job = world.jobs().at(id);
        last = std::max(last, static_cast<double>((job.startedAt.value_or(world.now()) - job.submittedAt).count()) / 1e6);
    }
    const TrackedJob &job = world.jobs().at(urgentId);
    const double urgentWait = static_cast<double>((job.startedAt.value_or(world.now()) - job.submittedAt).count()) / 1e6;
    std::printf("\nFleet filled to %.0f of %.0f accelerators by borrowed work; full guarantee of three racks running after %.2f s; urgent "
                "job after "
                "%.2f s (bound 2.8 s).\n",
                filled, totalAccelerators, last, urgentWait);
}

/// Work done while a failure domain is out for a minute, against what the rest could do.
void runDomainOut()
{
    ScheduleWorld world(7, makeOptions(CellPolicy()));
    start(world);
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
    const double restCapacity = totalAccelerators * (domains - 1) / domains * 60e6;
    std::printf("Work done in the minute with a failure domain out: %.1f%% of what the rest could do; in the minute after its return: "
                "%.1f%% of the whole.\n",
                100 * during / restCapacity, 100 * after / (totalAccelerators * 60e6));
}

} // namespace

int main()
{
    CellPolicy firstFit;
    firstFit.order = PlacementOrder::FirstFit;
    firstFit.respectReservations = false;
    CellPolicy bestFit;
    bestFit.respectReservations = false;
    CellPolicy arrival;
    arrival.orderByArrival = true;
    const std::vector<PolicyRow> policies{{"chosen", CellPolicy()},
                                          {"best fit without reservations", bestFit},
                                          {"first fit without reservations", firstFit},
                                          {"order of arrival", arrival}};
    const BenchTable table({"load", "policy", "free accelerators no large gang can use, %", "large gangs wait p50 s", "p99 s",
                            "small jobs wait p50 s", "p99 s", "work done, %", "gangs preempted"});
    for (const double load : {0.7, 0.9, 1.0}) {
        for (const PolicyRow &row : policies) {
            runMix(row, load);
        }
    }
    runReclaim();
    runDomainOut();
    return 0;
}
