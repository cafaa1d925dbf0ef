#include "core/Random.h"
#include "placement/GangPlacer.h"
#include "placement/ReservationPlan.h"

#include <bit>
#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

Fleet makeFleet(int domains, int racks, int workersPerRack, std::uint32_t accelerators = 8)
{
    std::vector<WorkerInfo> workers;
    for (int domain = 0; domain < domains; ++domain) {
        for (int worker = 0; worker < racks * workersPerRack; ++worker) {
            WorkerInfo info;
            info.failureDomain = "fd-" + std::to_string(domain);
            info.rack = info.failureDomain + "-r" + std::to_string(worker / workersPerRack);
            info.name = info.failureDomain + "-w" + std::to_string(worker);
            info.accelerators = accelerators;
            info.processors = 64;
            info.memoryMegabytes = 1024;
            workers.push_back(info);
        }
    }
    return Fleet(workers);
}

Contract makeContract(const std::string &workspace, GuaranteedShape shape, bool survivesDomainLoss = false)
{
    Contract contract;
    contract.workspace = workspace;
    contract.guarantees = {shape};
    contract.surviveFailureDomainLoss = survivesDomainLoss;
    return contract;
}

WorkerView makeView(std::uint32_t rack, AcceleratorMask usable)
{
    return {rack, usable, 0, 8, 64, 1024};
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTest)

BOOST_AUTO_TEST_CASE(bestFitPrefersPartlyUsedWorker)
{
    const std::vector<WorkerView> workers{makeView(0, 0xFF), makeView(0, 0xFF), makeView(1, 0x03), makeView(1, 0xFF)};
    const std::optional<GangPlacement> placement = GangPlacer().place({1, 2, 1, 0, Adjacency::Worker}, workers);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST((*placement)[0].worker == 2U);
    BOOST_TEST((*placement)[0].accelerators == 0x03U);
}

BOOST_AUTO_TEST_CASE(gangStaysWithinItsAdjacency)
{
    const std::vector<WorkerView> workers{makeView(0, 0xFF), makeView(0, 0x00), makeView(1, 0x0F), makeView(1, 0x0F)};
    const std::optional<GangPlacement> inRack = GangPlacer().place({2, 4, 1, 0, Adjacency::Rack}, workers);
    BOOST_REQUIRE(inRack.has_value());
    BOOST_TEST(workers[(*inRack)[0].worker].rack == workers[(*inRack)[1].worker].rack);
    BOOST_TEST(!GangPlacer().place({4, 4, 1, 0, Adjacency::Rack}, workers).has_value());
    BOOST_TEST(GangPlacer().place({4, 4, 1, 0, Adjacency::FailureDomain}, workers).has_value());
    BOOST_TEST(!GangPlacer().place({3, 4, 1, 0, Adjacency::Worker}, workers).has_value());
}

BOOST_AUTO_TEST_CASE(processorsAndMemoryLimitPlacement)
{
    std::vector<WorkerView> workers{makeView(0, 0xFF)};
    workers[0].processors = 3;
    BOOST_TEST(!GangPlacer().place({2, 1, 2, 0, Adjacency::Worker}, workers).has_value());
    workers[0].processors = 4;
    BOOST_TEST(GangPlacer().place({2, 1, 2, 512, Adjacency::Worker}, workers).has_value());
    BOOST_TEST(!GangPlacer().place({2, 1, 2, 513, Adjacency::Worker}, workers).has_value());
    BOOST_TEST(GangPlacer().place({2, 0, 2, 0, Adjacency::Worker}, workers).has_value());
}

BOOST_AUTO_TEST_CASE(planIsIndependentOfWorkerOrder)
{
    const Fleet fleet = makeFleet(2, 2, 3);
    std::vector<WorkerInfo> reversed(fleet.workers().rbegin(), fleet.workers().rend());
    const std::vector<Contract> contracts{makeContract("a", {2, 2, 4, Adjacency::Rack}), makeContract("b", {1, 1, 8, Adjacency::Worker})};
    const ReservationPlan first(fleet, contracts, {});
    const Fleet again(reversed);
    const ReservationPlan second(again, contracts, {});
    for (std::uint32_t worker = 0; worker < fleet.workers().size(); ++worker) {
        BOOST_TEST(first.reservedFor(worker, "a") == second.reservedFor(worker, "a"));
        BOOST_TEST(first.reservedFor(worker, "b") == second.reservedFor(worker, "b"));
    }
}

BOOST_AUTO_TEST_CASE(wholeRackGuaranteeIsRefusedWithoutWholeRack)
{
    const Fleet fleet = makeFleet(1, 2, 2);
    const std::vector<Contract> good{makeContract("a", {2, 2, 8, Adjacency::Rack})};
    BOOST_TEST(findGuaranteeShortfall(fleet, good).empty());
    // The number of accelerators would suffice, but not as two whole racks.
    const std::vector<Contract> bad{makeContract("a", {2, 2, 8, Adjacency::Rack}), makeContract("b", {1, 1, 1, Adjacency::Worker})};
    BOOST_TEST(findGuaranteeShortfall(fleet, bad).find("workspace b") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(survivableGuaranteeIsCheckedAgainstLossOfEachDomain)
{
    const Fleet fleet = makeFleet(2, 1, 2);
    BOOST_TEST(findGuaranteeShortfall(fleet, std::vector<Contract>{makeContract("a", {1, 2, 8, Adjacency::Rack}, true)}).empty());
    const std::string fault = findGuaranteeShortfall(fleet, std::vector<Contract>{makeContract("a", {2, 2, 8, Adjacency::Rack}, true)});
    BOOST_TEST(fault.find("with failure domain fd-0 lost") != std::string::npos, fault);
    BOOST_TEST(findGuaranteeShortfall(fleet, std::vector<Contract>{makeContract("a", {2, 2, 8, Adjacency::Rack})}).empty());
}

BOOST_AUTO_TEST_CASE(domainLossCausesShortfall)
{
    const Fleet fleet = makeFleet(2, 1, 2);
    const std::vector<std::string> out{"fd-0"};
    const ReservationPlan plan(fleet, std::vector<Contract>{makeContract("a", {2, 2, 8, Adjacency::Rack})}, out);
    BOOST_REQUIRE(plan.shortfalls().size() == 1U);
    BOOST_TEST(plan.shortfalls()[0].missing == 1U);
    BOOST_TEST(plan.reservedOn(0) == 0U);
}

BOOST_AUTO_TEST_CASE(randomPlansAreConsistent)
{
    Random random(42);
    for (int round = 0; round < 200; ++round) {
        const Fleet fleet = makeFleet(1 + static_cast<int>(random.below(3)), 1 + static_cast<int>(random.below(3)),
                                      1 + static_cast<int>(random.below(4)));
        std::vector<Contract> contracts;
        for (int workspace = 0; workspace < 4; ++workspace) {
            GuaranteedShape shape{1 + random.below(3), 1 + random.below(4), 1 + random.below(8), static_cast<Adjacency>(random.below(2))};
            contracts.push_back(makeContract("w" + std::to_string(workspace), shape, random.chance(0.5)));
        }
        const ReservationPlan plan(fleet, contracts, {});
        BOOST_TEST(plan.isConsistent(fleet, contracts));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
