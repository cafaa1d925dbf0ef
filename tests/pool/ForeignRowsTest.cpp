#include "PoolWorld.h"

#include "graph/GraphCodec.h"
#include "pool/OwnerCandidate.h"
#include "pool/OwnerRow.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace banyanlock;

namespace
{

constexpr Duration startupTime = fromMilliseconds(3000);
constexpr Duration takeoverTime = fromMilliseconds(12000);
constexpr std::uint64_t highestNumber = std::numeric_limits<std::uint64_t>::max();

void putRow(PoolWorld &world, const std::string &key, const std::optional<std::string> &value)
{
    TableTransaction transaction;
    transaction.writes = {{std::string(PoolRows::table), key, value}};
    BOOST_REQUIRE(world.tableService().commit(transaction).state == CommitState::Committed);
}

/// Checks that a job submitted now completes, and that no invariant was violated.
void checkPoolWorks(PoolWorld &world, const std::string &job)
{
    world.submit(job, makeJob(makeStep(2, 1, 500)), "urgent", 1);
    world.run(fromMilliseconds(5000));
    BOOST_TEST(static_cast<int>(world.stateOf(job)) == static_cast<int>(GraphState::Completed), job);
    for (const std::string &violation : world.violations()) {
        BOOST_ERROR(violation);
    }
}

void checkOwnerRow(const std::optional<std::string> &value)
{
    PoolWorld world({});
    world.run(startupTime);
    putRow(world, std::string(PoolRows::ownerKey), value);
    world.run(takeoverTime);
    checkPoolWorks(world, "job1");
    world.restartEntry(0);
    world.restartEntry(1);
    world.restartEntry(2);
    world.run(takeoverTime);
    checkPoolWorks(world, "job2");
}

/// A mirror of its own, without a process around it.
struct MirrorFixture {
    TimePoint now{};
    VirtualLoop loop{now};
    VirtualTableService service;
    Random random{1};
    VirtualStore store{loop, service, random};
    Counters counters;
    PoolMirror<WorldPlatform> mirror{store, loop, counters};

    void adopt(const std::string &key, std::uint64_t version, const std::string &value)
    {
        mirror.adopt({{std::string(PoolRows::table), key, version, value, false}});
    }
};

GraphRecord twoStepRecord()
{
    GraphRecord record;
    record.spec = makeJob(makeStep(2, 1, 500));
    record.spec.steps.push_back(makeStep(3, 1, 500));
    record.spec.steps.back().gang = true;
    record.terms.attemptLimit = 3;
    return record;
}

GraphProgress progressWith(const UnitKey &key, std::size_t places)
{
    GraphProgress progress;
    progress.state = GraphState::Running;
    UnitProgress &unit = progress.units[key];
    unit.run = 1;
    unit.places.assign(places, {{"worker-0", 17}, "10.0.0.1:7000"});
    return progress;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForeignRows)

BOOST_AUTO_TEST_CASE(ownerRowWithTheHighestEpochEndsNoEntry)
{
    checkOwnerRow(encodeOwnerRow({"stranger", 1, highestNumber, true, 300, 1, 0, 0, {}}));
}

BOOST_AUTO_TEST_CASE(ownerRowWithAnEpochAheadOfAllAgentsLocksNobodyOut)
{
    checkOwnerRow(encodeOwnerRow({"stranger", 1, highestNumber / 2, true, 300, highestNumber, 0, 0, {}}));
}

BOOST_AUTO_TEST_CASE(candidateThatDoesNotExistLocksNobodyOut)
{
    for (const std::string &value : {encodeOwnerCandidate({"stranger", 1, 1, 1'000'000'000}), std::string("{")}) {
        PoolWorld world({});
        world.run(startupTime);
        putRow(world, std::string(PoolRows::candidateKey), value);
        world.run(takeoverTime);
        checkPoolWorks(world, "job1");
    }
}

BOOST_AUTO_TEST_CASE(unreadableOwnerRowLocksNobodyOut)
{
    checkOwnerRow("{");
}

BOOST_AUTO_TEST_CASE(erasedOwnerRowLocksNobodyOut)
{
    checkOwnerRow(std::nullopt);
}

BOOST_AUTO_TEST_CASE(ownerRowErasedBeforeARestartLocksNobodyOut)
{
    PoolWorld world({});
    world.run(startupTime);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        world.partitionEntryFromStore(entry, true);
    }
    putRow(world, std::string(PoolRows::ownerKey), std::nullopt);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        world.restartEntry(entry);
        world.partitionEntryFromStore(entry, false);
    }
    world.run(takeoverTime);
    checkPoolWorks(world, "job1");
}

BOOST_AUTO_TEST_CASE(ownerRowWithAnEndlessRenewalIntervalLocksNobodyOut)
{
    checkOwnerRow(encodeOwnerRow({"stranger", 1, 2, true, 1'000'000'000'000'000, 1, 0, 0, {}}));
    checkOwnerRow(encodeOwnerRow({"stranger", 1, 2, true, -1'000'000'000'000'000, 1, 0, 0, {}}));
}

BOOST_AUTO_TEST_CASE(progressRowThatDoesNotMatchItsStepsEndsNoOwner)
{
    for (const auto &[key, places] :
         std::vector<std::pair<UnitKey, std::size_t>>{{{0, 4'000'000'000U, 0}, 1}, {{0, 0, 0}, 3}, {{9, 0, 0}, 1}}) {
        PoolWorld world({});
        world.run(startupTime);
        putRow(world, PoolRows::keyOf(PoolRows::specPrefix, "odd"), encodeGraphSpec(twoStepRecord()));
        putRow(world, PoolRows::keyOf(PoolRows::progressPrefix, "odd"), encodeGraphProgress(progressWith(key, places)));
        world.restartEntry(0);
        world.restartEntry(1);
        world.restartEntry(2);
        world.run(takeoverTime);
        checkPoolWorks(world, "job1");
    }
}

BOOST_FIXTURE_TEST_CASE(progressRowIsTakenOnlyIfItMatchesTheSpecification, MirrorFixture)
{
    const std::string specKey = PoolRows::keyOf(PoolRows::specPrefix, "odd");
    const std::string progressKey = PoolRows::keyOf(PoolRows::progressPrefix, "odd");
    std::uint64_t version = 1;
    const auto isTaken = [&](const GraphProgress &progress, bool progressFirst) {
        mirror.jobs().clear();
        if (progressFirst) {
            adopt(progressKey, ++version, encodeGraphProgress(progress));
        }
        adopt(specKey, ++version, encodeGraphSpec(twoStepRecord()));
        if (!progressFirst) {
            adopt(progressKey, ++version, encodeGraphProgress(progress));
        }
        return mirror.jobs().find("odd") != nullptr && mirror.jobs().open().contains("odd");
    };
    for (const bool progressFirst : {false, true}) {
        BOOST_TEST(isTaken(progressWith({0, 0, 1}, 1), progressFirst));
        BOOST_TEST(isTaken(progressWith({0, 1, 0}, 3), progressFirst));
        BOOST_TEST(isTaken(progressWith({0, 1, 0}, 0), progressFirst));
        BOOST_TEST(!isTaken(progressWith({0, 2, 0}, 1), progressFirst)); // step
        BOOST_TEST(!isTaken(progressWith({0, 0, 2}, 1), progressFirst)); // index
        BOOST_TEST(!isTaken(progressWith({1, 0, 0}, 1), progressFirst)); // occurrence
        BOOST_TEST(!isTaken(progressWith({0, 0, 0}, 2), progressFirst)); // places of a task
        BOOST_TEST(!isTaken(progressWith({0, 1, 0}, 2), progressFirst)); // places of a gang
        GraphProgress ahead;
        ahead.finishedOccurrences = 2;
        BOOST_TEST(!isTaken(ahead, progressFirst));
    }
    adopt(progressKey, ++version, encodeGraphProgress(progressWith({0, 0, 1}, 1)));
    BOOST_TEST((mirror.jobs().find("odd") != nullptr)); // a later row of the same key is taken
}

BOOST_FIXTURE_TEST_CASE(unitsOfWatchedJobsAreDecodedWhenTheyAreNeeded, MirrorFixture)
{
    adopt(PoolRows::keyOf(PoolRows::specPrefix, "job1"), 2, encodeGraphSpec(twoStepRecord()));
    adopt(PoolRows::keyOf(PoolRows::progressPrefix, "job1"), 3, encodeGraphProgress(progressWith({0, 0, 1}, 1)));
    const GraphTable &watched = mirror.jobs();
    BOOST_REQUIRE((watched.find("job1") != nullptr));
    BOOST_TEST(static_cast<int>(watched.find("job1")->publicState()) == static_cast<int>(GraphState::Running));
    BOOST_TEST(watched.find("job1")->progress.units.empty());
    mirror.jobs().decodeOpen();
    BOOST_TEST(watched.find("job1")->progress.units.size() == 1U);
    adopt(PoolRows::keyOf(PoolRows::progressPrefix, "job1"), 4, encodeGraphProgress(progressWith({0, 1, 0}, 2)));
    mirror.jobs().decodeOpen(); // the units do not match the specification
    BOOST_TEST((watched.find("job1") == nullptr));
    BOOST_TEST(mirror.jobs().open().empty());
}

BOOST_AUTO_TEST_CASE(largePoolIsReadAtMostAtTheFollowPause)
{
    constexpr int agents = 240;
    const auto countReads = [](int registered) {
        MirrorFixture fixture;
        for (int agent = 0; agent < registered; ++agent) {
            TableTransaction transaction;
            transaction.writes = {
                {std::string(PoolRows::table), PoolRows::keyOf(PoolRows::workerPrefix, "10.0.0." + std::to_string(agent) + ":7000"), "{}"}};
            fixture.service.commit(transaction);
        }
        int reads = 0;
        fixture.mirror.setListener([&] {
            ++reads;
        });
        fixture.mirror.start();
        constexpr int changes = 100;
        for (int change = 0; change < changes; ++change) {
            TableTransaction transaction;
            transaction.writes = {{std::string(PoolRows::table), "change", std::to_string(change)}};
            fixture.service.commit(transaction);
            for (int millisecond = 0; millisecond < 20; ++millisecond) {
                fixture.now += fromMilliseconds(1);
                fixture.loop.runDue();
            }
        }
        return reads;
    };
    BOOST_TEST(countReads(3) > 60);
    BOOST_TEST(countReads(agents) < 20);
}

BOOST_FIXTURE_TEST_CASE(rowsWithIdsThatAreNoJobIdsAreSkipped, MirrorFixture)
{
    // The keys of such a job would be too long for the table service, or ambiguous.
    for (const std::string &id : {std::string(), std::string(195, 'a'), std::string("a.b"), std::string("a/b"), std::string("\xc3\xa4")}) {
        adopt(PoolRows::keyOf(PoolRows::specPrefix, id), 2, encodeGraphSpec(twoStepRecord()));
        adopt(PoolRows::keyOf(PoolRows::progressPrefix, id), 3, encodeGraphProgress({}));
        BOOST_TEST((mirror.jobs().find(id) == nullptr), id);
    }
    BOOST_TEST(mirror.jobs().open().empty());
}

BOOST_AUTO_TEST_CASE(callForAnIdThatIsNoJobIdNeedsNoTableService)
{
    PoolWorld world({});
    world.run(startupTime);
    world.partitionEntryFromStore(0, true);
    const std::string id(500, 'a');
    world.queryState(id, 0);
    world.run(fromMilliseconds(200));
    BOOST_TEST(static_cast<int>(world.answerFor(id).outcome) == static_cast<int>(CallOutcome::NoSuchJob));
}

BOOST_FIXTURE_TEST_CASE(agentsWithImpossibleAddressesAreSkipped, MirrorFixture)
{
    std::uint64_t version = 0;
    for (const std::string &address :
         {std::string(), std::string("10.0.0.1"), std::string("10.0.0.1:0"), std::string("10.0.0.1:70000"), std::string("10.0.0.1:-1"),
          std::string("10.0.0.1:07000"), std::string("unix:/tmp/socket"), std::string("*:7000"), std::string("host:7000"),
          std::string(193, '9'), std::string("10.0.0.1:7000\0", 14), std::string("10.0.0.1:99999999999999999999")}) {
        adopt(PoolRows::keyOf(PoolRows::workerPrefix, address), ++version, "{}");
        BOOST_TEST(mirror.agents().empty(), address);
    }
    adopt(PoolRows::keyOf(PoolRows::workerPrefix, "10.0.0.1:7000"), ++version, "[[[[");
    BOOST_TEST(mirror.agents().contains("10.0.0.1:7000"));
}

BOOST_AUTO_TEST_SUITE_END()
