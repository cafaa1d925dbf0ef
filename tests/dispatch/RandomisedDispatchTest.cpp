#include "DispatchWorld.h"
#include "support/Seeds.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

constexpr std::uint64_t fixedSeeds = 300;
constexpr std::uint64_t slowStoreSeeds = 100;

/// Selects the faults of one run at random; most runs have two or three kinds.
DispatchOptions randomOptions(Random &random)
{
    DispatchOptions options;
    options.network.loss = random.chance(0.5) ? 0.05 : 0;
    options.network.duplication = random.chance(0.5) ? 0.1 : 0;
    options.network.stragglers = random.chance(0.5) ? 0.1 : 0;
    options.truncationChance = random.chance(0.3) ? 0.1 : 0;
    options.backendFailureChance = random.chance(0.3) ? 0.1 : 0;
    options.storeUnavailableChance = random.chance(0.3) ? 0.3 : 0;
    options.lostStoreAnswerChance = random.chance(0.3) ? 0.2 : 0;
    return options;
}

void injectFault(DispatchWorld &world, Random &random)
{
    const auto agent = static_cast<int>(random.below(4));
    const auto entry = static_cast<int>(random.below(2));
    const Duration length = fromMilliseconds(random.below(3000));
    switch (random.below(6)) {
    case 0:
        world.restartAgent(agent);
        break;
    case 1:
        world.restartEntry(entry);
        break;
    case 2:
        world.drainAgent(agent);
        break;
    case 3:
        world.freezeEntry(entry, length);
        break;
    case 4:
        world.freezeAgent(agent, length);
        break;
    default:
        world.breakBackend(agent, length);
        break;
    }
}

void sendBurst(DispatchWorld &world, Random &random)
{
    const std::uint32_t count = random.below(20);
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto entry = static_cast<int>(random.below(2));
        const bool idempotent = random.chance(0.3);
        // Only a few keys, so that repeats coincide; only non-idempotent requests have keys.
        const std::string key = !idempotent && random.chance(0.3) ? std::to_string(random.below(30)) : "";
        world.request(entry, idempotent, key, fromMilliseconds(50 + random.below(500)));
        world.run(Duration(random.below(2000)));
    }
}

/// Outcomes of all runs, to check that the runs exercise each outcome.
struct OutcomeCounts {
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
};

void count(const DispatchWorld &world, OutcomeCounts &counts)
{
    for (const TrackedRequest &request : world.requests()) {
        if (request.answer) {
            counts.answered += request.answer->outcome == Outcome::Answered ? 1 : 0;
            counts.notRun += request.answer->outcome == Outcome::NotRun ? 1 : 0;
            counts.unknown += request.answer->outcome == Outcome::Unknown ? 1 : 0;
        }
    }
}

void runSeed(std::uint64_t seed, OutcomeCounts &counts, double slowStoreChance = 0)
{
    Random random(seed * 2 + 1);
    DispatchOptions options = randomOptions(random);
    options.slowStoreChance = slowStoreChance;
    DispatchWorld world(seed, options);
    for (int round = 0; round < 30; ++round) {
        sendBurst(world, random);
        if (random.chance(0.4)) {
            injectFault(world, random);
        }
        world.run(fromMilliseconds(random.below(200)));
    }
    world.run(fromMilliseconds(10000));
    world.checkInvariants();
    count(world, counts);
    for (const std::string &violation : world.violations()) {
        BOOST_ERROR("seed " << seed << ": " << violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomisedDispatch)

BOOST_AUTO_TEST_CASE(invariantsHoldUnderAllFaults)
{
    OutcomeCounts counts;
    const SeedRange seeds = seedRange(fixedSeeds);
    BOOST_TEST_MESSAGE("seeds " << seeds.first << " to " << seeds.first + seeds.count - 1);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        runSeed(seed, counts);
    }
    BOOST_TEST_MESSAGE("answered " << counts.answered << ", not run " << counts.notRun << ", unknown " << counts.unknown);
    // Each outcome must occur often enough for the runs to be meaningful.
    BOOST_TEST(counts.answered > seeds.count);
    BOOST_TEST(counts.notRun > seeds.count);
    BOOST_TEST(counts.unknown > seeds.count);
}

BOOST_AUTO_TEST_CASE(invariantsHoldWithASlowStore)
{
    OutcomeCounts counts;
    const SeedRange seeds = seedRange(slowStoreSeeds);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        runSeed(seed, counts, 0.3);
    }
    BOOST_TEST(counts.answered > seeds.count);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
