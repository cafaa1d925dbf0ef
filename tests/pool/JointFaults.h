#pragma once

#include "PoolWorld.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// Faults of several parts at once: suspended instances behind cuts, regions that are cut off while an owner releases the pool, and
/// callers that cancel jobs whose submission is held up.
class JointFaults
{
public:
    /// @param world Simulation to disturb.
    /// @param seed Seed of the faults.
    JointFaults(PoolWorld &world, std::uint64_t seed)
        : m_world(world)
        , m_random(seed * 31'337)
    {
    }

    /// Injects one of the faults or none, and ends it.
    /// @param newestJob Newest job that was submitted.
    void disturb(const std::string &newestJob)
    {
        switch (m_random.below(6)) {
        case 0:
            suspendBehindCut(m_random.below(6));
            break;
        case 1:
            cutOffReleasingOwner();
            break;
        case 2:
        case 3:
            cancelHeldUpSubmission(newestJob);
            break;
        default:
            break;
        }
    }

private:
    void suspendBehindCut(std::size_t worker)
    {
        if (m_world.now() < m_nextSuspension) {
            return; // the owner allows for one suspension of this length within a lease
        }
        submitLongJob();
        m_world.partitionAgentFromEntries(worker, true);
        m_world.run(fromMilliseconds(m_random.below(6000)));
        m_world.suspendInstance(worker);
        m_world.run(fromMilliseconds(m_random.below(4000)));
        m_world.resumeInstance(worker);
        m_world.run(fromMilliseconds(m_random.below(6000)));
        m_world.partitionAgentFromEntries(worker, false);
        m_nextSuspension = m_world.now() + fromMilliseconds(12000);
    }

    void submitLongJob()
    {
        constexpr std::uint32_t tasks = 12;
        constexpr std::int64_t milliseconds = 20000;
        m_world.submit("long" + std::to_string(m_longJobs++), makeJob(makeStep(tasks, 1, milliseconds)), "normal", m_random.below(3));
        m_world.run(fromMilliseconds(1000));
    }

    void cutOffReleasingOwner()
    {
        const std::size_t owner = m_world.owner();
        if (owner == 3) {
            return;
        }
        const std::vector<std::size_t> workers{m_random.below(3), 3 + m_random.below(3)};
        submitLongJob();
        m_world.drainEntry(owner);
        m_world.run(fromMilliseconds(m_random.below(80)));
        m_world.cutOffRegion({owner}, workers, true);
        m_world.run(fromMilliseconds(m_random.below(12000)));
        m_world.cutOffRegion({owner}, workers, false);
        m_world.run(fromMilliseconds(m_random.below(500)));
        m_world.restartEntry(owner);
    }

    void cancelHeldUpSubmission(const std::string &job)
    {
        const std::size_t entry = m_random.below(3);
        m_world.setTransactionsHeldUp(entry, true);
        m_world.submit("heldup" + job, makeJob(makeStep(1, 1, 1000)), "normal", entry);
        m_world.run(fromMilliseconds(m_random.below(2000)));
        m_world.cancel("heldup" + job, m_random.below(3));
        m_world.run(fromMilliseconds(m_random.below(5000)));
        m_world.setTransactionsHeldUp(entry, false);
    }

    PoolWorld &m_world;
    Random m_random;
    TimePoint m_nextSuspension{};
    int m_longJobs = 0;
};

} // namespace banyanlock
