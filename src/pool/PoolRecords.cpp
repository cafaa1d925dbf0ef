// PoolScheduler: evidence about workers.

#include "core/Log.h"
#include "pool/PoolScheduler.h"

#include <functional>
#include <utility>

namespace banyanlock
{
namespace
{

std::uint64_t combineHash(std::uint64_t seed, std::uint64_t value)
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15; // as in Boost's hash_combine
    return seed ^ (value + goldenRatio + (seed << 6U) + (seed >> 2U));
}

/// Names a run for the records. A collision of hashes can only mix up the evidence of two tasks, which affects preferences, not promises.
RecordedRun recordedRunOf(const ActiveUnit &unit, const ActiveMember &member)
{
    RecordedRun run;
    run.unit = combineHash(std::hash<std::string>()(unit.job), unit.key.occurrence);
    run.unit = combineHash(combineHash(run.unit, unit.key.step), unit.key.index);
    run.task = combineHash(run.unit, member.run.task.index);
    run.startedAt = unit.startedAt;
    return run;
}

Counter counterOf(WorkerStanding standing)
{
    switch (standing) {
    case WorkerStanding::Proven:
        return Counter::PoolWorkersProven;
    case WorkerStanding::Untested:
        return Counter::PoolWorkersUntested;
    case WorkerStanding::Doubtful:
        return Counter::PoolWorkersDoubtful;
    case WorkerStanding::Barred:
        return Counter::PoolWorkersBarred;
    }
    return Counter::PoolWorkersDoubtful;
}

} // namespace

void PoolScheduler::recordLife(PoolWorker &worker, const WorkerIncarnation &incarnation, TimePoint now)
{
    // A new process of the agent knows no incarnation until the worker announces itself, which is not a change of the worker.
    if (incarnation.worker.empty() || incarnation == worker.recordedIncarnation) {
        return;
    }
    worker.record->evidence.beginLife(now, !worker.recordedIncarnation.worker.empty());
    worker.recordedIncarnation = incarnation;
}

void PoolScheduler::suspect(PoolWorker &worker, const char *reason, TimePoint now)
{
    RecentTrouble &recent = worker.record->recent;
    if (now >= recent.suspectedUntil && !m_records.isActing()) {
        m_counters.add(Counter::WorkersSuspected);
        Log::info("worker_suspected", {{"worker", worker.status.worker.incarnation.worker}, {"reason", std::string(reason)}});
    }
    recent.suspectedUntil = now + m_timing.suspicionPeriod;
}

void PoolScheduler::recordEnding(const ActiveUnit &unit, const ActiveMember &member, TimePoint now)
{
    PoolWorker &worker = *member.worker;
    WorkerRecord &evidence = worker.record->evidence;
    switch (*member.ending) {
    case RunEnding::Succeeded:
        m_records.addSuccess(*worker.record, recordedRunOf(unit, member));
        worker.record->recent.consecutiveFailures = 0;
        if (wasSlow(unit, worker, now)) {
            evidence.addSlowRun(unit.startedAt, now);
            suspect(worker, "slow", now);
        }
        break;
    case RunEnding::NeverStarted:
        if (unit.stopping == StopReason::None || unit.stopping == StopReason::MemberLost) {
            evidence.addRefusal(now); // in the other cases the stop may have overtaken the start
        }
        if (unit.stopping != StopReason::Cancelled) {
            suspect(worker, "did not start an ordered run", now);
        }
        break;
    case RunEnding::Failed:
        suspect(worker, "failed", now);
        recordFailure(unit, member, now);
        break;
    case RunEnding::LeaseExpired:
        evidence.addLostRun(now);
        break;
    case RunEnding::Stopped:
    case RunEnding::GangMemberEnded:
    case RunEnding::GangIncomplete:
    case RunEnding::WorkerLost:
        break; // not caused by this life of the worker
    }
}

void PoolScheduler::recordFailure(const ActiveUnit &unit, const ActiveMember &member, TimePoint now)
{
    PoolWorker &worker = *member.worker;
    const FailureCause cause = m_records.addFailure(*worker.record, recordedRunOf(unit, member), now);
    if (cause == FailureCause::Task && m_records.isActing()) {
        m_counters.add(Counter::PoolFailuresTakenBack);
        Log::info("failure_taken_back", {{"run", describe(member.run)}, {"worker", member.place.incarnation.worker}});
    }
    const bool quarantined = m_records.addFailureInRow(*worker.record, m_timing.quarantinePeriod, now);
    if (quarantined && !m_records.isActing()) {
        m_counters.add(Counter::WorkersQuarantined);
        Log::warning("worker_quarantined",
                     {{"worker", member.place.incarnation.worker},
                      {"failures_in_row", static_cast<std::int64_t>(worker.record->recent.consecutiveFailures)}});
    }
}

void PoolScheduler::considerAttempts(const GraphRecord &job, const UnitProgress &progress)
{
    const std::uint32_t limit = job.terms.attemptLimit;
    if (progress.succeeded || progress.failures == 0 || progress.failures + 1 < limit || !m_records.beginActing()) {
        return;
    }
    Log::info("worker_records_active",
              {{"evidence", std::string("a unit is down to its last attempt")},
               {"job", job.id},
               {"failures", static_cast<std::int64_t>(progress.failures)},
               {"attempts", static_cast<std::int64_t>(limit)}});
}

void PoolScheduler::refreshRecords(TimePoint now)
{
    if (!m_records.isActing()) {
        return;
    }
    std::vector<PooledRecord *> pool;
    for (const auto &[agent, worker] : m_workers) {
        if (worker.known && worker.status.answering && !worker.status.worker.draining && !isSilent(worker, now)) {
            pool.push_back(worker.record);
        }
    }
    for (const StandingChange &change : m_records.refresh(pool, now)) {
        m_counters.add(counterOf(change.to));
        Log::info("worker_standing_changed",
                  {{"agent", change.record->agent},
                   {"worker", m_workers.at(change.record->agent).status.worker.incarnation.worker},
                   {"from", std::string(workerStandingName(change.from))},
                   {"to", std::string(workerStandingName(change.to))},
                   {"failed_units", static_cast<std::int64_t>(change.record->evidence.failedUnits())},
                   {"least_bad", change.record->leastBad}});
    }
}

bool PoolScheduler::isHeldByRecord(const PoolWorker &worker, TimePoint now) const
{
    if (m_records.isBarred(*worker.record, now)) {
        return true;
    }
    return m_records.isActing() && std::ranges::any_of(worker.members, [&](const PlacedMember &placed) {
               return !placed.member->ending && !worker.record->evidence.mayStartBeside(placed.unit->startedAt, now);
           });
}

bool PoolScheduler::withdrawExtraTrials(TimePoint now)
{
    // A plan may place several units on a worker that is on trial. The first one stays.
    if (!m_records.isActing()) {
        return false;
    }
    bool withdrawn = false;
    for (const auto &[agent, worker] : m_workers) {
        if (!worker.record->evidence.trialSince(now)) {
            continue;
        }
        const ActiveUnit *onTrial = nullptr;
        std::set<UnitId> extra;
        for (const PlacedMember &placed : worker.members) {
            const ActiveUnit &unit = *placed.unit;
            if (placed.member->ending || worker.record->evidence.mayStartBeside(unit.startedAt, now)) {
                continue;
            }
            if (onTrial == nullptr) {
                onTrial = &unit;
            } else if (&unit != onTrial && unit.phase == UnitPhase::Planned) {
                extra.insert({unit.job, unit.key});
            }
        }
        for (const UnitId &id : extra) {
            m_counters.add(Counter::PoolTrialStartsWithdrawn);
            withdraw(id);
            withdrawn = true;
        }
    }
    return withdrawn;
}

} // namespace banyanlock
