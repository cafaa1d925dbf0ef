#include "schedule/CellPlanner.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

const TimePoint start{fromMilliseconds(1000)};

/// One rack with two workers of eight accelerators. Workspace `owner` has all eight accelerators of one worker reserved.
struct Fixture {
    Counters counters;
    Fleet fleet;
    std::vector<Contract> contracts;
    ReservationPlan plan;
    JobTable jobs;
    CellWorkers workers{CellTiming(), counters};
    std::vector<Gang> gangs;
    CellPlanner planner{PlacementOrder::BestFit, true};

    Fixture()
        : fleet(makeWorkers())
        , contracts(makeContracts())
        , plan(fleet, contracts, {})
    {
        workers.reset(fleet.workers(), start);
        for (std::uint32_t worker = 0; worker < 2; ++worker) {
            WorkerReport report;
            report.boot = 1;
            workers.onReport(worker, report, start);
        }
    }

    static std::vector<WorkerInfo> makeWorkers()
    {
        return {{"w0", "", "fd", "r", 8, 64, 1024}, {"w1", "", "fd", "r", 8, 64, 1024}};
    }

    static std::vector<Contract> makeContracts()
    {
        Contract contract;
        contract.workspace = "owner";
        contract.guarantees = {{1, 1, 8, Adjacency::Worker}};
        return {contract};
    }

    static JobSpec makeJob(const std::string &workspace, std::uint32_t tasks, std::uint32_t accelerators, bool canCheckpoint)
    {
        JobSpec spec;
        spec.workspace = workspace;
        spec.shape.tasks = tasks;
        spec.shape.accelerators = accelerators;
        spec.canCheckpoint = canCheckpoint;
        return spec;
    }

    CellSnapshot snapshot() const
    {
        return {workers, gangs, jobs, plan, 0, start, {}};
    }

    std::optional<PlannedGang> tryPass(PlacementPass pass, const JobSpec &spec) const
    {
        return planner.plan(pass, spec, snapshot(), [](const Gang &) {
            return true;
        });
    }

    void runBorrower(std::uint32_t worker, AcceleratorMask mask)
    {
        JobRecord record;
        record.id = "borrower";
        record.spec = makeJob("other", 1, 8, true);
        record.version = 1;
        jobs.adopt(record);
        Gang gang;
        gang.job = "borrower";
        gang.phase = GangPhase::Running;
        gang.placement = {{worker, mask}};
        gangs.push_back(gang);
        workers.all()[worker].acceleratorsHeld = mask;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CellPlannerTest, Fixture)

BOOST_AUTO_TEST_CASE(onlyCheckpointableJobsBorrow)
{
    BOOST_TEST(!tryPass(PlacementPass::Borrow, makeJob("other", 2, 8, false)).has_value());
    BOOST_TEST(tryPass(PlacementPass::Borrow, makeJob("other", 2, 8, true)).has_value());
}

BOOST_AUTO_TEST_CASE(reservationsOfOtherWorkspacesAreNotUsed)
{
    const std::optional<PlannedGang> planned = tryPass(PlacementPass::OwnOrUnreserved, makeJob("other", 1, 8, false));
    BOOST_REQUIRE(planned.has_value());
    BOOST_TEST(plan.reservedFor(planned->placement[0].worker, "owner") == 0U);
    BOOST_TEST(!tryPass(PlacementPass::OwnOrUnreserved, makeJob("other", 2, 8, false)).has_value());
}

BOOST_AUTO_TEST_CASE(ownReservationIsReclaimedFromItsBorrower)
{
    const std::uint32_t reserved = plan.reservedFor(0, "owner") != 0 ? 0 : 1;
    runBorrower(reserved, 0xFF);
    workers.all()[1 - reserved].acceleratorsHeld = 0xFF;
    BOOST_TEST(!tryPass(PlacementPass::OwnOrUnreserved, makeJob("owner", 1, 8, false)).has_value());
    const std::optional<PlannedGang> planned = tryPass(PlacementPass::ReclaimOwn, makeJob("owner", 1, 8, false));
    BOOST_REQUIRE(planned.has_value());
    BOOST_TEST(planned->victims == std::vector<std::string>{"borrower"});
    BOOST_TEST(!tryPass(PlacementPass::ReclaimOwn, makeJob("other", 1, 8, false)).has_value());
}

BOOST_AUTO_TEST_CASE(withheldAcceleratorsAreUsableOnlyByReservationOwner)
{
    const std::uint32_t reserved = plan.reservedFor(0, "owner") != 0 ? 0 : 1;
    const std::vector<AcceleratorMask> withheld{0xFF, 0xFF};
    CellSnapshot cell = snapshot();
    cell.withheld = withheld;
    const auto none = [](const Gang &) {
        return false;
    };
    BOOST_TEST(!planner.plan(PlacementPass::OwnOrUnreserved, makeJob("other", 1, 1, true), cell, none).has_value());
    BOOST_TEST(!planner.plan(PlacementPass::Borrow, makeJob("other", 1, 1, true), cell, none).has_value());
    const std::optional<PlannedGang> planned = planner.plan(PlacementPass::OwnOrUnreserved, makeJob("owner", 1, 8, false), cell, none);
    BOOST_REQUIRE(planned.has_value());
    BOOST_TEST(planned->placement[0].worker == reserved);
}

BOOST_AUTO_TEST_CASE(awaitPrefersWorkerWithMostFreeAccelerators)
{
    const std::uint32_t open = plan.reservedFor(0, "owner") != 0 ? 1 : 0;
    runBorrower(open, 0x0F);
    const std::optional<PlannedGang> planned = tryPass(PlacementPass::Await, makeJob("other", 1, 4, false));
    BOOST_REQUIRE(planned.has_value());
    BOOST_TEST(planned->placement[0].worker == open);
    BOOST_TEST(planned->placement[0].accelerators == 0xF0U);
    BOOST_TEST(planned->victims.empty());
    // The other worker is reserved, so a gang that needs both cannot wait for it.
    BOOST_TEST(!tryPass(PlacementPass::Await, makeJob("other", 2, 8, false)).has_value());
}

BOOST_AUTO_TEST_CASE(omittedTaskListIsAcceptedOnlyForKnownNumber)
{
    WorkerReport report{1, start, 0, true, 7, false, {{{"j", 1, 0}, TaskState::Running, 1}}};
    workers.onReport(0, report, start);
    const TimePoint later = start + fromMilliseconds(1000);
    workers.onReport(0, {1, start, 0, true, 7, true, {}}, later);
    BOOST_TEST(workers.all()[0].tasks.size() == 1U);
    BOOST_TEST((workers.all()[0].lastReport == later));
    workers.onReport(0, {1, start, 0, true, 8, true, {}}, later + fromMilliseconds(1000));
    BOOST_TEST((workers.all()[0].lastReport == later));
    BOOST_TEST(workers.all()[0].tasksNumber == 0U);
}

BOOST_AUTO_TEST_CASE(silentAndQuarantinedWorkersAreNotUsed)
{
    workers.all()[0].lastReport = start - fromMilliseconds(10000);
    workers.all()[1].quarantinedUntil = start + fromMilliseconds(1);
    BOOST_TEST(!tryPass(PlacementPass::Borrow, makeJob("other", 1, 1, true)).has_value());
}

BOOST_AUTO_TEST_CASE(failuresOfSeveralJobsQuarantineWorkerAndThoseOfOneJobDoNot)
{
    for (int failure = 0; failure < 5; ++failure) {
        workers.recordTaskEnd(0, "same", false, start);
    }
    BOOST_TEST(workers.isUsable(workers.all()[0], start));
    for (const char *job : {"a", "b", "c"}) {
        workers.recordTaskEnd(1, job, false, start);
    }
    BOOST_TEST(!workers.isUsable(workers.all()[1], start));
    BOOST_TEST(counters.value(Counter::WorkersQuarantined) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
