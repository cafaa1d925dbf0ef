#include "schedule/Cell.h"

#include "core/Assert.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration stepCoalescingDelay = fromMilliseconds(5); // events within this delay share one step
constexpr Duration idleStepInterval = fromMilliseconds(200);

} // namespace

Cell::Cell(std::string failureDomain, std::string entry, CellContext context, CellPolicy policy, CellTiming timing)
    : m_failureDomain(std::move(failureDomain))
    , m_entry(std::move(entry))
    , m_context(context)
    , m_policy(policy)
    , m_timing(timing)
    , m_planner(policy.order, policy.respectReservations)
    , m_workers(timing, context.counters)
{
}

Cell::~Cell()
{
    m_context.timers.cancel(m_timer);
}

void Cell::acquireOwnership(std::uint64_t epoch, TimePoint now)
{
    BANYANLOCK_ASSERT(epoch >= m_epoch);
    m_epoch = epoch;
    m_recovered = false;
    m_gangs.clear();
    m_gangIndex.clear();
    m_queuedSince.clear();
    ++m_term;
    m_workers.reset(m_context.fleet.workersOf(m_failureDomain), now);
    m_nextStepAt = now + idleStepInterval;
    scheduleStep(now);
}

void Cell::releaseOwnership()
{
    m_epoch = 0;
    m_recovered = false;
    m_gangs.clear();
    m_gangIndex.clear();
    m_actions.clear();
    m_context.timers.cancel(m_timer);
}

void Cell::onJobsRead(std::uint64_t version, TimePoint now)
{
    m_jobsReadVersion = std::max(m_jobsReadVersion, version);
    m_storeUnavailable = false;
    m_queueChanged = true;
    scheduleStep(now);
}

void Cell::onReport(const std::string &worker, const WorkerReport &report, TimePoint now)
{
    const std::uint32_t index = m_workers.indexOf(worker);
    if (!isOwned() || index == m_workers.all().size()) {
        return;
    }
    if (report.highestEpoch > m_epoch) {
        // Another entry has acquired the cell; its row will show the new owner.
        m_context.counters.add(Counter::CellsLost);
        releaseOwnership();
        return;
    }
    m_workers.onReport(index, report, now);
    scheduleStep(now);
}

void Cell::onReportTimeout(const std::string &worker, TimePoint now)
{
    const std::uint32_t index = m_workers.indexOf(worker);
    if (!isOwned() || index == m_workers.all().size()) {
        return;
    }
    m_context.counters.add(Counter::WorkerFailures);
    m_workers.onReportTimeout(index);
    scheduleStep(now);
}

void Cell::onCommit(const std::string &job, const CommitResult &result, TimePoint now)
{
    Gang *gang = isOwned() ? findGang(job) : nullptr;
    if (gang == nullptr || !gang->transactionInFlight) {
        if (result.state != CommitState::Committed) {
            m_actions.emplace_back(RefreshJob{job});
        }
        return;
    }
    if (gang->phase == GangPhase::Recording) {
        onRecordResult(*gang, result, now);
    } else if (gang->phase == GangPhase::Closing) {
        onCloseResult(*gang, result, now);
    }
    scheduleStep(now);
}

void Cell::scheduleStep(TimePoint now)
{
    if (!isOwned()) {
        return;
    }
    const TimePoint stepAt = now + stepCoalescingDelay;
    if (m_timer.generation != 0 && m_nextStepAt <= stepAt && m_nextStepAt >= now) {
        return;
    }
    m_context.timers.cancel(m_timer);
    m_nextStepAt = stepAt;
    m_timer = m_context.timers.subscribe(stepAt, [this](TimePoint firedAt) {
        step(firedAt);
    });
}

void Cell::step(TimePoint now)
{
    m_timer = TimerId();
    finishRecovery(now);
    if (m_recovered) {
        adoptRunningJobs(now);
        for (Gang &gang : m_gangs) {
            advance(gang, now);
        }
        const std::size_t finished = std::erase_if(m_gangs, [](const Gang &gang) {
            return gang.finished;
        });
        m_queueChanged = m_queueChanged || finished > 0;
        indexGangs();
        schedule(now);
    }
    BANYANLOCK_ASSERT(isConsistent());
    sendMessages(now);
    m_nextStepAt = now + idleStepInterval;
    m_timer = m_context.timers.subscribe(m_nextStepAt, [this](TimePoint firedAt) {
        step(firedAt);
    });
}

void Cell::finishRecovery(TimePoint now)
{
    // All rows written by earlier owners have versions below the epoch and must have been read before recovery ends.
    if (m_recovered || m_jobsReadVersion < m_epoch || !m_workers.allReportedOrSilent(now)) {
        return;
    }
    m_recovered = true;
}

void Cell::adoptRunningJobs(TimePoint now)
{
    for (const std::string &id : m_context.jobs.liveJobsIn(m_failureDomain)) {
        const JobRecord &record = *m_context.jobs.find(id);
        if (record.state != JobState::Running || findGang(id) != nullptr) {
            continue;
        }
        Gang gang;
        gang.job = id;
        gang.run = record.run;
        gang.startEpoch = record.startEpoch;
        gang.recorded = true;
        gang.phase = GangPhase::Starting;
        gang.deadline = now;
        for (const RecordedTask &task : record.tasks) {
            const std::uint32_t worker = m_workers.indexOf(task.worker);
            // The tasks of a worker that left the fleet are lost. Worker 0 is used as a placeholder: it does not report the task, so the
            // gang is requeued.
            gang.placement.push_back({worker < m_workers.all().size() ? worker : 0, task.accelerators});
        }
        m_gangIndex.emplace(id, m_gangs.size());
        m_gangs.push_back(std::move(gang));
    }
}

void Cell::indexGangs()
{
    m_gangIndex.clear();
    for (std::size_t index = 0; index < m_gangs.size(); ++index) {
        m_gangIndex.emplace(m_gangs[index].job, index);
    }
}

Gang *Cell::findGang(const std::string &job)
{
    const auto found = m_gangIndex.find(job);
    return found == m_gangIndex.end() ? nullptr : &m_gangs[found->second];
}

const Gang *Cell::findGang(const std::string &job) const
{
    const auto found = m_gangIndex.find(job);
    return found == m_gangIndex.end() ? nullptr : &m_gangs[found->second];
}

std::uint32_t Cell::firstWorkerIndex() const
{
    // Not cached, since the index changes when workers of other failure domains join or leave.
    const auto workers = m_context.fleet.workersOf(m_failureDomain);
    return static_cast<std::uint32_t>(workers.data() - m_context.fleet.workers().data());
}

CellSnapshot Cell::snapshot(TimePoint now) const
{
    return {m_workers, m_gangs, m_context.jobs, m_context.plan, firstWorkerIndex(), now, m_withheld};
}

bool Cell::isConsistent() const
{
    std::vector<AcceleratorMask> taken(m_workers.all().size(), 0);
    for (const Gang &gang : m_gangs) {
        // Reclaiming gangs wait for accelerators that other gangs still hold. Stopping and closing gangs may have been adopted from rows
        // whose placement does not match the workers.
        if (gang.phase == GangPhase::Reclaiming || gang.phase == GangPhase::Stopping || gang.phase == GangPhase::Closing) {
            continue;
        }
        for (const TaskPlacement &task : gang.placement) {
            const bool inside = (task.accelerators & ~allAccelerators(m_workers.all()[task.worker].info)) == 0;
            if (!inside || (taken[task.worker] & task.accelerators) != 0) {
                return false;
            }
            taken[task.worker] |= task.accelerators;
        }
    }
    return true;
}

std::vector<CellAction> Cell::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace banyanlock
