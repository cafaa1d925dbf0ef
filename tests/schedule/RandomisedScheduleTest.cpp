#include "ScheduleWorld.h"
#include "support/Seeds.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

constexpr std::uint64_t defaultSeedCount = 200;
constexpr std::uint64_t slowStoreSeedCount = 100;

ScheduleOptions randomOptions(Random &random)
{
    ScheduleOptions options;
    options.network.loss = random.chance(0.5) ? 0.05 : 0;
    options.network.stragglers = random.chance(0.5) ? 0.1 : 0;
    options.lostAnswerProbability = random.chance(0.4) ? 0.2 : 0;
    options.lostRequestProbability = random.chance(0.3) ? 0.1 : 0;
    options.staleReadProbability = random.chance(0.5) ? 0.3 : 0;
    options.failStarts = random.chance(0.2) ? 0.2 : 0;
    return options;
}

Contract makeContract(const std::string &workspace, std::uint32_t share, std::vector<GuaranteedShape> guarantees)
{
    Contract contract;
    contract.workspace = workspace;
    contract.share = share;
    contract.limits.accelerators = 64;
    contract.guarantees = std::move(guarantees);
    return contract;
}

void putContracts(ScheduleWorld &world)
{
    world.putContract(makeContract("quotes", 10, {{1, 2, 4, Adjacency::Rack}}));
    world.putContract(makeContract("audits", 5, {{2, 1, 4, Adjacency::Worker}}));
    world.putContract(makeContract("tracing", 1, {}));
}

JobSpec randomJob(Random &random)
{
    static const std::array<const char *, 3> workspaces{"quotes", "audits", "tracing"};
    JobSpec spec;
    spec.workspace = workspaces[random.below(3)];
    spec.name = "job";
    spec.shape.tasks = 1 + random.below(4);
    spec.shape.accelerators = 1 + random.below(4);
    spec.shape.adjacency = random.chance(0.5) ? Adjacency::Rack : Adjacency::FailureDomain;
    spec.canCheckpoint = random.chance(0.6);
    spec.urgency = random.chance(0.1) ? Urgency::Urgent : Urgency::Normal;
    spec.durationHintMilliseconds = 200 + random.below(8000);
    return spec;
}

void injectFault(ScheduleWorld &world, Random &random)
{
    const auto entry = static_cast<int>(random.below(2));
    const auto domain = static_cast<int>(random.below(2));
    const auto worker = static_cast<int>(random.below(static_cast<std::uint32_t>(world.workerCount())));
    const Duration length = fromMilliseconds(random.below(20000));
    switch (random.below(11)) {
    case 0:
    case 1:
        world.acquireCell(entry, domain);
        break;
    case 2:
        world.freezeEntry(entry, length);
        break;
    case 3:
        world.rebootWorker(worker);
        break;
    case 4:
        world.freezeWorker(worker, length);
        break;
    case 5:
        world.partitionWorker(worker, length);
        break;
    case 6:
        world.interruptStore(length);
        break;
    case 7:
        world.partitionEntryFromStore(entry, length);
        break;
    case 8:
        world.makeReadsStale(entry, length);
        break;
    case 9:
        world.setOut(domain, random.chance(0.5));
        break;
    default:
        world.restartEntry(entry);
        world.acquireCell(entry, domain);
        break;
    }
}

/// Events of all runs, used to check that the runs exercise the invariants.
struct EventCounts {
    std::uint64_t succeeded = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t failed = 0;
    std::uint64_t preempted = 0;
    std::uint64_t requeued = 0;
    std::uint64_t released = 0;
};

void count(const ScheduleWorld &world, EventCounts &counts)
{
    for (const auto &[id, job] : world.jobs()) {
        counts.succeeded += world.stateOf(id) == JobState::Succeeded ? 1 : 0;
        counts.cancelled += world.stateOf(id) == JobState::Cancelled ? 1 : 0;
        counts.failed += world.stateOf(id) == JobState::Failed ? 1 : 0;
    }
    counts.preempted += world.counters().value(Counter::GangsPreempted);
    counts.requeued += world.counters().value(Counter::GangsRequeued);
    counts.released += world.counters().value(Counter::GangsReleased);
}

void runSeed(std::uint64_t seed, EventCounts &counts, double slowStoreProbability = 0)
{
    Random random(seed * 2 + 1);
    ScheduleOptions options = randomOptions(random);
    options.slowStoreProbability = slowStoreProbability;
    ScheduleWorld world(seed, options);
    putContracts(world);
    world.acquireCell(0, 0);
    world.acquireCell(1, 1);
    std::vector<std::string> jobs;
    for (int round = 0; round < 25; ++round) {
        for (std::uint32_t count = random.below(4); count > 0; --count) {
            jobs.push_back(world.submit(randomJob(random)));
        }
        if (!jobs.empty() && random.chance(0.2)) {
            world.cancel(jobs[random.below(static_cast<std::uint32_t>(jobs.size()))]);
        }
        if (random.chance(0.5)) {
            injectFault(world, random);
        }
        world.run(fromMilliseconds(random.below(3000)));
    }
    world.run(fromMilliseconds(10000));
    world.clearFaults();
    world.setOut(0, false);
    world.setOut(1, false);
    world.acquireCell(0, 0);
    world.acquireCell(1, 1);
    world.run(fromMilliseconds(400000));
    world.checkAllJobsEnded();
    count(world, counts);
    for (const std::string &violation : world.violations()) {
        BOOST_ERROR("seed " << seed << ": " << violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomisedSchedule)

BOOST_AUTO_TEST_CASE(invariantsHoldUnderAllFaults)
{
    EventCounts counts;
    const SeedRange seeds = seedRange(defaultSeedCount);
    BOOST_TEST_MESSAGE("seeds " << seeds.first << " to " << seeds.first + seeds.count - 1);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        runSeed(seed, counts);
    }
    BOOST_TEST_MESSAGE("succeeded " << counts.succeeded << ", cancelled " << counts.cancelled << ", failed " << counts.failed
                                    << "; preempted " << counts.preempted << ", requeued " << counts.requeued << ", released "
                                    << counts.released);
    // Each event must have occurred; otherwise the runs do not cover it.
    BOOST_TEST(counts.succeeded > seeds.count);
    BOOST_TEST(counts.preempted > 0U);
    BOOST_TEST(counts.requeued > seeds.count);
    BOOST_TEST(counts.released > 0U);
}

BOOST_AUTO_TEST_CASE(previouslyFailingSeedsHold)
{
    EventCounts counts;
    for (const std::uint64_t seed : {1082, 1154, 1463, 1628, 1825, 1907, 2117, 2150, 2833}) {
        runSeed(seed, counts);
    }
    BOOST_TEST(counts.succeeded > 0U);
}

BOOST_AUTO_TEST_CASE(invariantsHoldWithSlowStore)
{
    EventCounts counts;
    const SeedRange seeds = seedRange(slowStoreSeedCount);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        runSeed(seed, counts, 0.3);
    }
    BOOST_TEST(counts.succeeded > seeds.count);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
