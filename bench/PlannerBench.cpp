#include "PlannerBench.h"

#include "BenchTable.h"
#include "ReferencePlanner.h"
#include "core/Random.h"
#include "pool/PoolPlanner.h"

#include <ctime>
#include <list>
#include <string>
#include <vector>

namespace banyanlock
{
namespace
{

/// A pool with three running units on each worker and groups that wait, half of them gangs.
struct SyntheticPool {
    std::list<GraphRecord> jobs;
    std::vector<PlanGroup> groups;
    std::vector<PlanWorker> workers;
    std::vector<PlanVictim> victims;

    SyntheticPool(std::uint32_t size, std::uint32_t waiting, double freeShare)
    {
        Random random(size + waiting);
        constexpr std::uint32_t rackSize = 8;
        for (std::uint32_t index = 0; index < size; ++index) {
            PlanWorker worker;
            worker.free = {128000, 524288, 8};
            worker.rack = "rack-" + std::to_string(index / rackSize);
            worker.service = "service";
            worker.usable = true;
            workers.push_back(worker);
            for (int unit = 0; unit < 3 && !random.chance(freeShare); ++unit) {
                PlanVictim victim;
                victim.workers = {index};
                victim.demand = {40000, 4000, unit == 0 ? 2 : 3};
                victim.priority = 1 + random.below(2);
                victim.lostWork = random.below(500);
                workers[index].free -= victim.demand;
                victims.push_back(victim);
            }
        }
        for (std::uint32_t index = 0; index < waiting; ++index) {
            addGroup(index % 2 == 0, random);
        }
    }

    void addGroup(bool gang, Random &random)
    {
        GraphRecord job;
        job.id = "job" + std::to_string(jobs.size());
        job.terms.service = "service";
        job.terms.priority = random.below(3);
        StepSpec step;
        step.tasks = gang ? 8 : 1 + random.below(78);
        step.gang = gang;
        step.preferOneRack = gang;
        step.demand = {15000, 4000, 1 + random.below(4)};
        step.estimate = fromMilliseconds(2500);
        job.spec.steps = {step};
        jobs.push_back(job);
        PlanGroup group;
        group.job = &jobs.back();
        for (std::uint32_t index = 0; index < unitsOf(step); ++index) {
            group.indexes.push_back(index);
        }
        group.waited = fromMilliseconds(random.below(3000));
        group.slack = fromMilliseconds(random.below(3000));
        groups.push_back(group);
    }
};

template <typename Planner> double millisecondsOfPlan(const SyntheticPool &pool, int repetitions)
{
    const Planner planner;
    timespec begin{};
    timespec end{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
    std::size_t starts = 0;
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        starts += planner.plan(pool.groups, pool.workers, pool.victims).starts.size();
    }
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    if (starts == SIZE_MAX) {
        return 0; // keeps the plans from being optimised away
    }
    return (static_cast<double>(end.tv_sec - begin.tv_sec) * 1e3 + static_cast<double>(end.tv_nsec - begin.tv_nsec) / 1e6) / repetitions;
}

} // namespace

void runPlannerBench(std::uint32_t largest)
{
    struct Size {
        std::uint32_t workers;
        std::uint32_t groups;
    };
    constexpr std::uint32_t largestForReference = 1200; // beyond it a plan takes it seconds
    const BenchTable table({"workers", "groups", "workers free, %", "plan, ms", "reference, ms", "ratio"});
    for (const Size size : {Size{11, 2}, Size{57, 14}, Size{240, 60}, Size{240, 240}, Size{1200, 300}, Size{6100, 1500}}) {
        for (const double freeShare : {0.0, 0.1, 0.4}) {
            if (size.workers > largest) {
                return;
            }
            const SyntheticPool pool(size.workers, size.groups, freeShare);
            const double plan = millisecondsOfPlan<PoolPlanner>(pool, 20);
            std::string reference = "-";
            std::string ratio = "-";
            if (size.workers <= largestForReference) {
                const double milliseconds = millisecondsOfPlan<ReferencePlanner>(pool, size.workers > 240 ? 1 : 3);
                reference = formatNumber(milliseconds, 2);
                ratio = formatNumber(milliseconds / plan, 0);
            }
            BenchTable::addRow({std::to_string(size.workers), std::to_string(size.groups), formatNumber(100 * freeShare, 0),
                                formatNumber(plan, 3), reference, ratio});
        }
    }
}

} // namespace banyanlock
