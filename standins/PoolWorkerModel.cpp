#include "PoolWorkerModel.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration longestLease = fromMilliseconds(6000);
constexpr Duration gangPatience = fromMilliseconds(3000);
constexpr Duration checkpointInterval = fromMilliseconds(1000);
constexpr Duration failureAfter = fromMilliseconds(300);

std::string checkpointText(Duration saved)
{
    return saved == Duration::zero() ? std::string() : std::to_string(1'000'000'000'000 + saved.count()) + std::string(checkpointSuffix);
}

Duration savedIn(const std::string &checkpoint)
{
    return checkpoint.empty() ? Duration::zero() : Duration(std::stoll(checkpoint) - 1'000'000'000'000);
}

} // namespace

PoolWorkerModel::PoolWorkerModel(WorkerAnnouncement announcement, std::function<ModelTask(const TaskName &)> tasks, Observer observer)
    : m_announcement(std::move(announcement))
    , m_tasks(std::move(tasks))
    , m_observer(std::move(observer))
{
}

Duration PoolWorkerModel::clock(TimePoint now) const
{
    // The pages give times in whole milliseconds.
    return fromMilliseconds(static_cast<std::int64_t>(static_cast<double>(toMilliseconds(now - m_bornAt)) * m_clockRate));
}

Resources PoolWorkerModel::used() const
{
    Resources sum;
    for (const auto &[run, state] : m_running) {
        sum += state.task.demand;
    }
    return sum;
}

void PoolWorkerModel::end(const RunName &run, RunEnding ending, Duration saved)
{
    m_running.erase(run);
    std::uint32_t &closed = m_closed[run.task];
    closed = std::max(closed, run.run);
    m_ends.push_back({m_nextEnd++, run, ending, checkpointText(saved)});
    m_observer.onEnd(run, ending, *this);
}

void PoolWorkerModel::suspend(TimePoint now)
{
    advance(now);
    m_suspendedAt = now;
}

Duration PoolWorkerModel::resume(TimePoint now)
{
    const Duration span = now - m_suspendedAt.value_or(now);
    m_suspendedAt.reset();
    m_bornAt += span;
    for (auto &[run, state] : m_running) {
        state.startedAt += span;
        state.workedUntil += span;
    }
    return span;
}

void PoolWorkerModel::advance(TimePoint now)
{
    if (m_suspendedAt) {
        return;
    }
    const std::map<RunName, Run> before = m_running;
    if (!before.empty() && clock(now) > m_leaseEnd) {
        for (const auto &[run, state] : before) {
            end(run, RunEnding::LeaseExpired, state.saved);
        }
        return;
    }
    for (const auto &[run, state] : before) {
        Run &running = m_running.at(run);
        const bool whole = running.task.members <= 1 || m_observer.presentMembers(run) >= running.task.members;
        running.wasWhole = running.wasWhole || whole;
        if (!whole && running.wasWhole) {
            end(run, RunEnding::GangMemberEnded, running.saved);
            continue;
        }
        const Duration passed = now - running.workedUntil;
        running.workedUntil = now;
        if (!whole) {
            if (now - running.startedAt > gangPatience) {
                end(run, RunEnding::GangIncomplete, running.saved);
            }
            continue;
        }
        if (m_failing && now - running.startedAt > failureAfter) {
            end(run, RunEnding::Failed, running.saved);
            continue;
        }
        running.left -= Duration(static_cast<std::int64_t>(static_cast<double>(passed.count()) / m_slowness));
        if (running.task.checkpoints) {
            const Duration done = running.task.work - running.left;
            running.saved = done / checkpointInterval * checkpointInterval;
        }
        if (running.left <= Duration::zero()) {
            end(run, RunEnding::Succeeded, running.saved);
        }
    }
}

std::optional<WorkerLists> PoolWorkerModel::renew(const RenewWorker &action, TimePoint now)
{
    if (action.incarnation != m_announcement.incarnation || action.fence < m_fence) {
        return std::nullopt;
    }
    m_fence = action.fence;
    if (clock(now) > m_leaseEnd) {
        for (const RunEnd &end : m_ends) {
            m_lapsedEnds.insert(end.number);
        }
    }
    if (action.leaseEnd) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(*action.leaseEnd, clock(now) + longestLease));
    }
    std::erase_if(m_ends, [&](const RunEnd &end) {
        if (end.number > action.acknowledgedEnd) {
            return false;
        }
        if (!m_lapsedEnds.contains(end.number)) {
            m_observer.onAcknowledged(end.run, end.ending, *this);
        }
        return true;
    });
    WorkerLists lists;
    lists.startedUnixMilliseconds = m_announcement.incarnation.startedUnixMilliseconds;
    lists.clock = clock(now);
    for (const auto &[run, state] : m_running) {
        lists.runs.push_back({run, false, checkpointText(state.saved)});
    }
    lists.ends.assign(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(std::min(m_ends.size(), m_maxListedEnds)));
    m_truncatedLists += m_ends.size() > m_maxListedEnds ? 1 : 0;
    return lists;
}

std::pair<OrderOutcome, std::string> PoolWorkerModel::start(const StartTask &action, TimePoint now)
{
    if (action.incarnation != m_announcement.incarnation) {
        return {OrderOutcome::OtherIncarnation, "other life"};
    }
    if (action.fence < m_fence) {
        return {OrderOutcome::Refused, "fenced"};
    }
    m_fence = action.fence;
    if (m_running.contains(action.run)) {
        return {OrderOutcome::Done, ""};
    }
    if (clock(now) > action.startBy) {
        return {OrderOutcome::Refused, "late"};
    }
    m_leaseEnd = std::max(m_leaseEnd, std::min(action.startBy, clock(now) + longestLease));
    const auto closed = m_closed.find(action.run.task);
    if (closed != m_closed.end() && action.run.run <= closed->second) {
        return {OrderOutcome::Refused, "old"};
    }
    Run run;
    run.task = m_tasks(action.run.task);
    run.startedAt = now;
    run.workedUntil = now;
    run.saved = savedIn(action.checkpoint);
    run.left = run.task.work - run.saved;
    m_running[action.run] = run;
    m_observer.onStart(action, *this);
    return {OrderOutcome::Done, ""};
}

OrderOutcome PoolWorkerModel::stop(const StopTask &action, TimePoint now)
{
    (void)now;
    if (action.incarnation != m_announcement.incarnation) {
        return OrderOutcome::OtherIncarnation;
    }
    if (action.fence < m_fence) {
        return OrderOutcome::Refused;
    }
    m_fence = action.fence;
    const auto running = m_running.find(action.run);
    if (running != m_running.end()) {
        end(action.run, RunEnding::Stopped, running->second.saved);
    } else {
        std::uint32_t &closed = m_closed[action.run.task];
        closed = std::max(closed, action.run.run);
    }
    return OrderOutcome::Done;
}

void PoolWorkerModel::rebirth(TimePoint now)
{
    const std::map<RunName, Run> before = m_running;
    m_running.clear();
    for (const auto &[run, state] : before) {
        m_observer.onEnd(run, RunEnding::WorkerLost, *this);
    }
    m_closed.clear();
    m_ends.clear();
    m_lapsedEnds.clear();
    m_nextEnd = 1;
    m_fence = 0;
    m_hasContact = false;
    m_leaseEnd = {};
    m_bornAt = now;
    m_suspendedAt.reset();
    m_announcement.incarnation.startedUnixMilliseconds += 1;
    m_announcement.sequence = 0;
    m_announcement.draining = false;
    m_failing = false;
    m_slowness = 1.0;
}

void PoolWorkerModel::replace(const std::string &id, TimePoint now)
{
    rebirth(now);
    m_announcement.incarnation.worker = id;
}

} // namespace banyanlock
