#include "InterferenceWorld.h"
#include "support/Seeds.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <limits>
#include <malloc.h>
#include <string>

using namespace banyanlock;

namespace
{

// An hour of load gives about 100,000 runs in this world; a harmful pair must be known after an eighth of it, and after a quarter if all
// look-alikes come together.
constexpr std::uint32_t enoughRuns = 12'000;
constexpr std::uint32_t enoughTroubledRuns = 25'000;
// At no interference at most one in a thousand pairs may be taken for harmful at each look.
constexpr std::uint64_t quietSeeds = 50;
constexpr std::uint64_t harmfulSeeds = 10;

const std::vector<TruePair> truth{{0, 2, 1.8}, {3, 5, 1.4}};

struct LookAlike {
    std::string name;
    WorldTerms terms;
};

std::vector<LookAlike> lookAlikes()
{
    std::vector<LookAlike> all{{"nothing", {}},        {"stragglers", {}}, {"slow workers", {}},    {"remote runs", {}},
                               {"remote workers", {}}, {"resumed", {}},    {"wrong forecasts", {}}, {"companions", {}}};
    all[1].terms.straggler = 0.03;
    all[2].terms.slowWorker = 1.3;
    all[3].terms.remote = 0.2;
    all[4].terms.remote = 0.2;
    all[4].terms.remoteByWorker = true;
    all[5].terms.resumed = 0.1;
    all[5].terms.paced = 0.1;
    all[6].terms.forecastError = 10.0;
    all[7].terms.companions = true;
    return all;
}

WorldTerms allTogether()
{
    WorldTerms terms;
    terms.straggler = 0.03;
    terms.slowWorker = 1.3;
    terms.remote = 0.1;
    terms.resumed = 0.05;
    terms.paced = 0.05;
    terms.forecastError = 10.0;
    return terms;
}

std::string textOf(const std::vector<TruePair> &pairs)
{
    std::string text;
    for (const TruePair &pair : pairs) {
        text += std::to_string(pair.kind) + " by " + std::to_string(pair.neighbour) + "; ";
    }
    return text;
}

void checkQuiet(const LookAlike &lookAlike)
{
    std::uint64_t alarms = 0;
    std::uint64_t looks = 0;
    const SeedRange seeds = seedRange(quietSeeds);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        InterferenceWorld world(lookAlike.terms, seed);
        for (const std::uint32_t runs : {1000, 2000, 3000, 6000}) {
            world.run(runs);
            alarms += world.found().size();
            looks += std::uint64_t{InterferenceWorld::kinds} * InterferenceWorld::kinds;
        }
    }
    BOOST_TEST_MESSAGE(lookAlike.name << ": " << alarms << " false alarms in " << looks << " looks at a pair");
    BOOST_TEST(alarms * 1000 <= looks, lookAlike.name);
}

void checkFound(const std::string &name, WorldTerms terms, std::uint32_t runs)
{
    terms.pairs = truth;
    const SeedRange seeds = seedRange(harmfulSeeds);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        InterferenceWorld world(terms, seed);
        world.run(runs);
        BOOST_TEST(textOf(world.found()) == textOf(truth), name << ", seed " << seed);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(InterferenceModelTest)

// Guards against pairs that are kept apart without reason, which costs room and racks, in a pool where nothing interferes. Each look-alike
// of interference is tried alone and all together.
BOOST_AUTO_TEST_CASE(lookAlikesCauseNoFalseAlarm)
{
    for (const LookAlike &lookAlike : lookAlikes()) {
        checkQuiet(lookAlike);
    }
    checkQuiet({"all together", allTogether()});
}

// Guards against a model that misses a harmful pair, or blames a third kind for it, beside each look-alike.
BOOST_AUTO_TEST_CASE(exactlyTheHarmfulPairsAreFound)
{
    for (const LookAlike &lookAlike : lookAlikes()) {
        checkFound(lookAlike.name, lookAlike.terms, enoughRuns);
    }
    checkFound("all together", allTogether(), enoughTroubledRuns);
}

// Guards against a model that only holds if each further neighbour slows down once more.
BOOST_AUTO_TEST_CASE(pairsAreFoundIfOnlyTheFirstNeighbourSlows)
{
    WorldTerms terms;
    terms.perNeighbour = false;
    checkFound("first neighbour", terms, enoughRuns);
}

// Guards against a placement that follows the penalties and gains nothing where there is room, or leaves tasks waiting where there is none.
BOOST_AUTO_TEST_CASE(placementByPenaltyReducesTheSlowdownAndLeavesNothingWaiting)
{
    for (const double load : {0.6, 0.9, 1.3}) {
        double plain = 0.0;
        double apart = 0.0;
        for (std::uint64_t seed = 1; seed <= harmfulSeeds; ++seed) {
            for (const bool follow : {false, true}) {
                WorldTerms terms;
                terms.pairs = truth;
                terms.load = load;
                terms.followPenalty = follow;
                InterferenceWorld world(terms, seed);
                world.run(enoughRuns);
                world.run(enoughRuns);
                (follow ? apart : plain) += world.meanSlowdown() / harmfulSeeds;
                BOOST_TEST(!world.leftUnplaced());
            }
        }
        BOOST_TEST_MESSAGE("load " << load << ": mean slowdown " << plain << " at random, " << apart << " by penalty");
        BOOST_TEST(apart <= plain);
        if (load < 0.7) { // there is room for keeping pairs apart: half of the extra time must go
            BOOST_TEST(apart - 1.0 <= (plain - 1.0) / 2);
        }
    }
}

// Guards against a penalty for a task's own sake only: the task may also slow down those that run already.
BOOST_AUTO_TEST_CASE(penaltyCountsBothDirections)
{
    InterferenceModel model;
    const std::uint32_t slowed = model.kindOf({"slowed", {}, false});
    const std::uint32_t cause = model.kindOf({"cause", {}, false});
    BOOST_TEST(model.slowdownOf(slowed, cause) == 1.0);
    for (std::uint64_t run = 0; run < 4000; ++run) {
        const bool beside = run / 4 % 2 == 0;
        const std::vector<Neighbour> neighbours{{cause, beside ? 1.0 : 0.0}};
        model.addRun(slowed, run / 40, run % 15, beside ? 0.5 : 0.0, neighbours);
        model.addRun(cause, run / 40, run % 15, 0.0, std::vector<Neighbour>{{slowed, beside ? 1.0 : 0.0}});
    }
    BOOST_TEST(model.isHarmful(slowed, cause));
    BOOST_TEST(!model.isHarmful(cause, slowed));
    BOOST_TEST(model.slowdownOf(slowed, cause) == std::exp(0.5), boost::test_tools::tolerance(0.05));
    BOOST_TEST(model.penaltyOf(slowed, std::vector<std::uint32_t>{cause, cause}) > 0.9);
    BOOST_TEST(model.penaltyOf(cause, std::vector<std::uint32_t>{slowed}) > 0.4);
    BOOST_TEST(model.penaltyOf(slowed, std::vector<std::uint32_t>{slowed}) == 0.0);
    BOOST_TEST(model.penaltyOf(slowed, {}) == 0.0);
    const auto pairs = model.harmfulPairs();
    BOOST_TEST_REQUIRE(pairs.size() == 1U);
    BOOST_TEST(pairs[0].neighbour == cause);
}

// Guards against data of a replaced kind that counts for its successor, and against memory that grows with the number of kinds.
BOOST_AUTO_TEST_CASE(replacedKindIsForgotten)
{
    InterferenceModel model;
    const TaskKind first{"first", {}, false};
    const TaskKind second{"second", {}, false};
    const std::uint32_t slowed = model.kindOf(first);
    const std::uint32_t cause = model.kindOf(second);
    for (std::uint64_t run = 0; run < 2000; ++run) {
        const bool beside = run / 4 % 2 == 0;
        model.addRun(slowed, run / 40, run % 15, beside ? 0.5 : 0.0, std::vector<Neighbour>{{cause, beside ? 1.0 : 0.0}});
    }
    BOOST_TEST_REQUIRE(model.isHarmful(slowed, cause));
    for (std::size_t kind = 0; kind < KindTable::maxKinds - 1; ++kind) {
        model.kindOf({"other-" + std::to_string(kind), {}, false});
        BOOST_TEST_REQUIRE(model.kindOf(first) == slowed); // in use, so it stays
    }
    BOOST_TEST(model.findKind(cause) == nullptr);
    BOOST_TEST(!model.isHarmful(slowed, cause));
    BOOST_TEST(model.kindOf(second) != cause);
    model.addRun(cause, 1, 1, 0.0, {}); // of a run that was started before
    BOOST_TEST(model.harmfulPairs().empty());
}

// Guards against one run without a usable time that spoils the sums for good.
BOOST_AUTO_TEST_CASE(timesThatAreNotFiniteAreIgnored)
{
    InterferenceModel model;
    const std::uint32_t kind = model.kindOf({"kind", {}, false});
    const std::vector<Neighbour> beside{{kind, 1.0}};
    for (const double time :
         {0.0, std::log(0.0), std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), 1e300, 0.1}) {
        model.addRun(kind, 1, 1, time, beside);
    }
    BOOST_TEST(std::isfinite(model.estimate(kind, kind).logSlowdown));
    BOOST_TEST(std::isfinite(model.estimate(kind, kind).deviation));
}

// Guards against a cost that the owner of a large pool can't bear. 6,100 workers run 27,000 tasks of 100 kinds. An observation may take
// 100 us in builds with asserts: a tenth of a core at 1,000 ends a second. The bound of the time allows for a busy machine.
BOOST_AUTO_TEST_CASE(costAtTheDesignSize)
{
    constexpr std::uint64_t workers = 6100;
    constexpr std::uint64_t tasks = 27'000;
    constexpr std::uint64_t ends = 100'000;
    const std::size_t bytesBefore = mallinfo2().uordblks;
    InterferenceModel model;
    CoRunLog log;
    Random random(1);
    std::vector<std::uint32_t> kinds;
    kinds.reserve(100);
    for (int kind = 0; kind < 100; ++kind) {
        kinds.push_back(model.kindOf({"queue-" + std::to_string(kind), {1000, 1000, 1}, false}));
    }
    const auto start = [&](std::uint64_t task, std::uint64_t time) {
        log.start(task % workers, task, kinds[task / 20 % kinds.size()], TimePoint(Duration(time)), std::chrono::seconds(5));
    };
    for (std::uint64_t task = 0; task < tasks; ++task) {
        start(task, task);
    }
    const auto before = std::chrono::steady_clock::now();
    for (std::uint64_t end = 0; end < ends; ++end) {
        const std::uint64_t time = tasks + end * 370;
        const auto beside = log.end(end % workers, end, TimePoint(Duration(time)));
        model.addRun(kinds[end / 20 % kinds.size()], end / 20, end % workers, 0.1 * random.unit(), *beside);
        start(end + tasks, time);
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - before;
    const auto beforePenalties = std::chrono::steady_clock::now();
    double sum = 0.0;
    for (std::uint64_t worker = 0; worker < workers; ++worker) {
        sum += model.penaltyOf(kinds[worker % kinds.size()], log.kindsOn(worker));
    }
    const std::chrono::duration<double, std::micro> asked = std::chrono::steady_clock::now() - beforePenalties;
    const double megabytes = static_cast<double>(mallinfo2().uordblks - bytesBefore) / 1e6;
    BOOST_TEST_MESSAGE("an observation takes " << spent.count() / ends << " us, a penalty " << asked.count() / workers << " us, record "
                                               << model.encode().size() << " bytes, state " << megabytes << " MB, sum of penalties "
                                               << sum);
    BOOST_TEST(spent.count() / ends < 100.0);
    BOOST_TEST(megabytes < 32.0); // half of what the control of one node may take
}

BOOST_AUTO_TEST_SUITE_END()
