#include "PoolPlay.h"
#include "support/Seeds.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace banyanlock
{
namespace
{

constexpr std::uint32_t badWorkers = 5; // of 60: the 8.5 % of docs/HARD-LOAD.md
constexpr Duration spell = fromMilliseconds(6500);

/// Each spell of 6.5 s has other workers that fail all they start; a healthy spell lies between two of them.
std::function<bool(std::uint32_t, TimePoint)> badInSpells(std::uint32_t workers)
{
    return [workers](std::uint32_t worker, TimePoint now) {
        const auto number = static_cast<std::uint32_t>((now - TimePoint(std::chrono::seconds(1000))) / spell);
        const std::uint32_t first = number * 11 % workers; // moves through the pool
        return number % 2 == 1 && (worker + workers - first) % workers < badWorkers;
    };
}

/// Adds up the plays of all seeds.
PlayResult playAll(PartMode mode, const PlayTerms &terms)
{
    const SeedRange seeds = seedRange(8);
    PlayResult total;
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        const PlayResult result = PoolPlay(mode, terms, seed).run();
        total.completed += result.completed;
        total.failed += result.failed;
        total.barredShare += result.barredShare / static_cast<double>(seeds.count);
    }
    return total;
}

double failedShare(const PlayResult &result)
{
    return static_cast<double>(result.failed) / static_cast<double>(result.failed + result.completed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerRecordPlay)

// Guards against jobs that fail although they could be done, because their last attempt ran on a worker that fails all it starts. The bound
// is what a scheduler loses that knows nothing at the first attempt and all bad workers at the last one: the first attempt of a gang of 5
// fails with 1 - 0.95 * (1 - 5/60)^5 = 0.385 during the spells (three of 6.5 s in 40 s) and with 0.05 between them, the last one only by
// the task's own fault (0.05), which makes 1.07 %.
BOOST_AUTO_TEST_CASE(fewerGangsFailThanByLastAttemptsOnUnknownWorkers)
{
    PlayTerms terms;
    terms.load = 1.1; // callers compete for too little capacity, so a bad worker often has the only free slots
    terms.isBad = badInSpells(terms.workers);
    const PlayResult without = playAll(PartMode::Off, terms);
    const PlayResult with = playAll(PartMode::Auto, terms);
    const double goodGang = std::pow(1.0 - static_cast<double>(badWorkers) / terms.workers, terms.gangSize);
    const double spellShare = 3.0 * static_cast<double>(spell.count()) / static_cast<double>(terms.length.count());
    const double firstFails = spellShare * (1.0 - (1.0 - terms.ownFaults) * goodGang) + (1.0 - spellShare) * terms.ownFaults;
    const double bound = firstFails * terms.ownFaults;
    BOOST_TEST_MESSAGE("failed without records " << failedShare(without) << ", with " << failedShare(with) << ", bound " << bound);
    BOOST_TEST(failedShare(with) <= bound);
    BOOST_TEST(failedShare(with) < failedShare(without));
}

// Guards against false alarms that shrink the pool: 5 % of runs fail by the task's own fault on good workers. The records may not cost more
// capacity than the failed runs themselves do.
BOOST_AUTO_TEST_CASE(ownFaultsOfTasksDoNotShrinkThePool)
{
    for (const bool repeat : {false, true}) {
        for (const std::uint32_t gangSize : {1U, 5U}) {
            PlayTerms terms;
            terms.gangSize = gangSize;
            terms.attempts = 3;
            terms.ownFaultsRepeat = repeat;
            const PlayResult result = playAll(PartMode::On, terms);
            BOOST_TEST_MESSAGE("barred share " << result.barredShare << ", gangs of " << gangSize << (repeat ? ", repeated" : ""));
            BOOST_TEST(result.barredShare <= terms.ownFaults);
        }
    }
}

// Guards against a pool that stops when most of it is barred. In the first 6.5 s all workers fail all they start. Half of the pool must be
// in use when that ends, so that from one run (2 s at most) later it completes what half of a pool can: the load of 0.6 needs 60 % of the
// slots.
BOOST_AUTO_TEST_CASE(mostlyBadPoolIsUsedAgainAtOnce)
{
    const SeedRange seeds = seedRange(8);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        PlayTerms terms;
        terms.attempts = 100; // the units must still be there after the fault
        terms.length = std::chrono::seconds(12);
        terms.isBad = [](std::uint32_t, TimePoint now) {
            return now < TimePoint(std::chrono::seconds(1000)) + spell;
        };
        const PlayResult result = PoolPlay(PartMode::On, terms, seed).run();
        const double slotSeconds = 0.5 * terms.workers * 8;
        const double perSecond = slotSeconds / terms.gangSize / 1.25; // runs take 1.25 s on average
        BOOST_REQUIRE(result.completedInSecond.size() >= 12);
        const std::uint32_t completed = result.completedInSecond[9] + result.completedInSecond[10] + result.completedInSecond[11];
        BOOST_TEST(completed >= 3.0 * perSecond * (1.0 - 2.0 * terms.ownFaults), "seed " << seed << ": " << completed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
