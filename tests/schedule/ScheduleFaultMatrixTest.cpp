#include "ScheduleWorld.h"
#include "support/FaultMatrix.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

/// Steps of a job at which faults are injected: waiting in the queue, then the phases of its gang.
constexpr std::array steps{"queued", "preparing", "recording", "starting", "running", "stopping", "closing"};
constexpr Duration faultDuration = fromMilliseconds(16000);
constexpr Duration stepWaitLimit = fromMilliseconds(20000);

struct FaultRow {
    const char *name;
    void (*inject)(ScheduleWorld &, const std::string &job);
    bool mayEndCancelled; ///< Whether the job may end as cancelled.
};

void takeOverCell(ScheduleWorld &world)
{
    world.acquireCell(1, 0);
}

constexpr std::array faultRows{
    FaultRow{"none",
             [](ScheduleWorld &, const std::string &) {
             },
             false},
    FaultRow{"owner killed, cell taken",
             [](ScheduleWorld &world, const std::string &) {
                 world.restartEntry(0);
                 takeOverCell(world);
             },
             false},
    FaultRow{"owner frozen, cell taken, owner wakes",
             [](ScheduleWorld &world, const std::string &) {
                 world.freezeEntry(0, faultDuration);
                 takeOverCell(world);
             },
             false},
    FaultRow{"cell taken from a live owner",
             [](ScheduleWorld &world, const std::string &) {
                 takeOverCell(world);
             },
             false},
    FaultRow{"owner frozen, nobody takes the cell",
             [](ScheduleWorld &world, const std::string &) {
                 world.freezeEntry(0, faultDuration);
             },
             false},
    FaultRow{"a worker reboots",
             [](ScheduleWorld &world, const std::string &) {
                 world.rebootWorker(0);
             },
             false},
    FaultRow{"a worker freezes",
             [](ScheduleWorld &world, const std::string &) {
                 world.freezeWorker(0, faultDuration);
             },
             false},
    FaultRow{"a worker is cut off",
             [](ScheduleWorld &world, const std::string &) {
                 world.partitionWorker(0, faultDuration);
             },
             false},
    FaultRow{"store down",
             [](ScheduleWorld &world, const std::string &) {
                 world.interruptStore(faultDuration);
             },
             false},
    FaultRow{"store loses answers for a while",
             [](ScheduleWorld &world, const std::string &) {
                 world.loseStoreAnswers(faultDuration);
             },
             false},
    FaultRow{"the owner's reads are stale",
             [](ScheduleWorld &world, const std::string &) {
                 world.makeReadsStale(0, faultDuration);
             },
             false},
    FaultRow{"failure domain out, then in",
             [](ScheduleWorld &world, const std::string &) {
                 world.setOut(0, true);
                 world.run(faultDuration);
                 world.setOut(0, false);
             },
             false},
    FaultRow{"cancelled",
             [](ScheduleWorld &world, const std::string &job) {
                 world.cancel(job);
             },
             true},
};

/// Runs the simulation until the job reaches a step. Returns false on a timeout.
bool waitForStep(ScheduleWorld &world, const std::string &job, const std::string &step)
{
    const TimePoint end = world.now() + stepWaitLimit;
    while (world.now() < end) {
        if (world.stepOf(job) == step) {
            return true;
        }
        world.run(Duration(500));
    }
    return false;
}

/// Runs one gang on three workers and injects the fault when it first reaches the step. Returns the final state and run of the job.
std::string runWithFault(const FaultRow &row, const std::string &step)
{
    ScheduleOptions options;
    options.domains = 1;
    options.racksPerDomain = 1;
    options.workersPerRack = 3;
    ScheduleWorld world(11, options);
    world.putLimit("audits", 24);
    world.acquireCell(0, 0);
    world.run(fromMilliseconds(2000));
    JobSpec spec;
    spec.workspace = "audits";
    spec.name = "stains";
    spec.shape = {3, 8, 1, 0, Adjacency::Rack};
    spec.canCheckpoint = true;
    spec.durationHintMilliseconds = 1500;
    const std::string job = world.submit(spec);
    const bool needsStop = step == "stopping";
    if (needsStop) {
        // A gang that succeeds leaves this step at once. Taking the failure domain out of service makes the gang save a checkpoint in it.
        BOOST_TEST(waitForStep(world, job, "running"));
        world.setOut(0, true);
    }
    BOOST_TEST(waitForStep(world, job, step), step << " was never reached");
    row.inject(world, job);
    if (needsStop) {
        world.run(faultDuration);
        world.setOut(0, false);
    }
    world.run(fromMilliseconds(120000));
    world.checkAllJobsEnded();
    for (const std::string &violation : world.violations()) {
        BOOST_ERROR(row.name << " at " << step << ": " << violation);
    }
    return std::string(jobStateName(world.stateOf(job))) + ", run " + std::to_string(world.runOf(job));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ScheduleFaultMatrix)

BOOST_AUTO_TEST_CASE(everyFaultAtEveryStep)
{
    // Every phase of a gang is a step except reclaiming, which needs a second job to preempt.
    for (int phase = static_cast<int>(GangPhase::Preparing); phase <= static_cast<int>(GangPhase::Closing); ++phase) {
        BOOST_TEST(steps[static_cast<std::size_t>(phase)] == gangPhaseName(static_cast<GangPhase>(phase)));
    }
    FaultMatrix matrix("Jobs", {steps.begin(), steps.end()});
    for (const FaultRow &row : faultRows) {
        std::vector<std::string> cells;
        for (const char *step : steps) {
            const std::string result = runWithFault(row, step);
            const bool succeeded = result.starts_with("succeeded");
            const bool cancelled = result.starts_with("cancelled");
            BOOST_TEST((succeeded || (cancelled && row.mayEndCancelled)), row.name << " at " << step << ": " << result);
            cells.push_back(result);
        }
        matrix.addRow(row.name, cells);
    }
    matrix.write("jobs.md");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
