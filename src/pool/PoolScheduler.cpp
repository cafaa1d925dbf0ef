#include "pool/PoolScheduler.h"

#include "core/Assert.h"
#include "core/Log.h"
#include "graph/GraphCodec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::array<const char *, 7> stopReasonNames{"none",        "cancelled",     "job_failed",  "preempted",
                                                      "member_lost", "worker_leaves", "already_done"};

// A transaction may have up to 100 entries; each job needs two, its row and the check of its cancellation.
constexpr std::size_t maxJobsInBatch = 40;

} // namespace

const char *stopReasonName(StopReason reason)
{
    return stopReasonNames[static_cast<std::size_t>(reason)];
}

PoolScheduler::PoolScheduler(GraphTable &jobs, const OperatorView &operators, OperatorRows rows, PoolTiming timing, PlannerPolicy policy,
                             Counters &counters)
    : m_jobs(jobs)
    , m_operators(operators)
    , m_rows(std::move(rows))
    , m_timing(timing)
    , m_planner(policy)
    , m_counters(counters)
{
}

void PoolScheduler::acquireOwnership(std::uint64_t epoch, bool handedOver, TimePoint now)
{
    BANYANLOCK_ASSERT(epoch != 0);
    releaseOwnership();
    m_epoch = epoch;
    m_ownedAt = now;
    m_earlierOwnersRenewUntil = handedOver ? now : now + m_timing.detachedLimit;
    requestPlan();
    for (auto &[agent, worker] : m_workers) {
        const std::string address = agent;
        worker = PoolWorker();
        worker.agent = address;
        worker.lastRenewalSent = m_earlierOwnersRenewUntil;
    }
    restoreRunningUnits(now);
}

void PoolScheduler::restoreRunningUnits(TimePoint now)
{
    for (const std::string &id : m_jobs.open()) {
        const GraphRecord *job = m_jobs.find(id);
        if (job == nullptr) {
            continue;
        }
        for (const auto &[key, progress] : job->progress.units) {
            if (progress.places.empty()) {
                continue;
            }
            ActiveUnit unit;
            unit.job = id;
            unit.key = key;
            unit.run = progress.run;
            unit.phase = UnitPhase::Started;
            unit.startedAt = now;
            for (std::uint32_t index = 0; index < progress.places.size(); ++index) {
                ActiveMember member;
                const std::uint32_t task = job->spec.steps[key.step].gang ? index : key.index;
                member.run = {{id, key.occurrence, key.step, task}, progress.run};
                member.place = progress.places[index];
                member.startExpiredAt = now + m_timing.startExpiry;
                member.checkpoint = progress.checkpoint;
                addAgent(member.place.agent);
                unit.members.push_back(std::move(member));
            }
            m_units[{id, key}] = std::move(unit);
        }
    }
    Log::info("pool_state_restored",
              {{"epoch", static_cast<std::int64_t>(m_epoch)},
               {"open_jobs", static_cast<std::int64_t>(m_jobs.open().size())},
               {"running_units", static_cast<std::int64_t>(m_units.size())}});
}

void PoolScheduler::releaseOwnership()
{
    m_epoch = 0;
    m_superseded = false;
    m_units.clear();
    m_dirty.clear();
    m_recording.clear();
    m_batchJobs.clear();
    m_endsInBatch.clear();
    m_waitingSince.clear();
    m_endedSince.clear();
    m_erasedJobs.clear();
    m_erasedAgents.clear();
    m_calls.clear();
    m_batchInFlight = false;
}

void PoolScheduler::addAgent(const std::string &agent)
{
    if (m_workers.contains(agent)) {
        return;
    }
    PoolWorker worker;
    worker.agent = agent;
    worker.lastRenewalSent = m_earlierOwnersRenewUntil;
    m_workers[agent] = std::move(worker);
    requestPlan();
}

void PoolScheduler::markDirty(const std::string &job)
{
    m_dirty.insert(job);
}

void PoolScheduler::step(TimePoint now, std::int64_t unixMilliseconds)
{
    if (!isOwner()) {
        return;
    }
    // The median over all instances is robust against clock jumps of single instances.
    std::vector<std::int64_t> offsets{unixMilliseconds - toMilliseconds(now.time_since_epoch())};
    for (const auto &[agent, worker] : m_workers) {
        if (worker.known) {
            offsets.push_back(worker.status.unixMilliseconds - toMilliseconds(worker.statusReceivedAt.time_since_epoch()));
        }
    }
    std::ranges::nth_element(offsets, offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2));
    m_unixOffset = offsets[offsets.size() / 2];
    expireSilentRuns(now);
    stopObsoleteUnits(now);
    closeEndedUnits(now);
    if (m_planDue || now - m_plannedAt >= m_timing.maxPlanInterval) {
        schedule(now);
        m_planDue = false;
        m_plannedAt = now;
    }
    sendCalls(now);
    m_changed = false;
}

void PoolScheduler::addErasures(PoolBatch &batch, TimePoint now)
{
    // Each erased job needs three entries of a transaction, which may have up to 100.
    constexpr std::size_t maxErasures = 10;
    const std::string table(PoolRows::table);
    for (const std::string &id : m_jobs.ended()) {
        const TimePoint since = m_endedSince.try_emplace(id, now).first->second;
        if (now - since < m_timing.retentionPeriod || m_erasedJobs.size() >= maxErasures) {
            continue;
        }
        for (const std::string_view prefix : {PoolRows::specPrefix, PoolRows::progressPrefix, PoolRows::cancelPrefix}) {
            batch.writes.push_back({table, PoolRows::keyOf(prefix, id), std::nullopt});
        }
        m_erasedJobs.push_back(id);
    }
    for (const auto &entry : m_workers) {
        const PoolWorker &worker = entry.second;
        const std::string &agent = worker.agent;
        const bool used = std::ranges::any_of(m_units, [&](const auto &unit) {
            return std::ranges::any_of(unit.second.members, [&](const ActiveMember &member) {
                return member.place.agent == agent;
            });
        });
        if (!used && now - std::max(worker.statusReceivedAt, m_ownedAt) > m_timing.retentionPeriod && m_erasedAgents.size() < maxErasures) {
            batch.writes.push_back({table, PoolRows::keyOf(PoolRows::workerPrefix, agent), std::nullopt});
            m_erasedAgents.push_back(agent);
        }
    }
}

void PoolScheduler::removeErased()
{
    for (const std::string &id : std::exchange(m_erasedJobs, {})) {
        m_jobs.erase(id);
        m_endedSince.erase(id);
        m_counters.add(Counter::JobsErased);
    }
    for (const std::string &agent : std::exchange(m_erasedAgents, {})) {
        Log::info("agent_erased", {{"agent", agent}});
        m_workers.erase(agent);
    }
}

std::optional<PoolBatch> PoolScheduler::takeBatch(TimePoint now)
{
    if (!isOwner() || m_batchInFlight) {
        return std::nullopt;
    }
    PoolBatch batch;
    addErasures(batch, now);
    if (m_dirty.empty() && batch.writes.empty()) {
        return std::nullopt;
    }
    std::set<std::string> domains;
    std::set<std::string> starting;
    std::map<std::string, GraphState> written;
    for (const std::string &id : m_dirty) {
        if (written.size() >= maxJobsInBatch) {
            break;
        }
        const GraphRecord *job = m_jobs.find(id);
        BANYANLOCK_ASSERT(job != nullptr);
        batch.writes.push_back(
            {std::string(PoolRows::table), PoolRows::keyOf(PoolRows::progressPrefix, id), encodeGraphProgress(job->progress)});
        written[id] = job->progress.state;
        for (auto unit = m_units.lower_bound({id, UnitKey()}); unit != m_units.end() && unit->first.first == id; ++unit) {
            if (unit->second.phase != UnitPhase::Planned) {
                continue;
            }
            unit->second.phase = UnitPhase::Recording;
            m_recording.push_back(unit->first);
            starting.insert(id);
            for (const ActiveMember &member : unit->second.members) {
                domains.insert(m_workers.at(member.place.agent).status.worker.failureDomain);
            }
        }
    }
    for (const auto &[id, state] : written) {
        m_dirty.erase(id);
    }
    m_batchJobs = written;
    for (const std::string &id : starting) {
        batch.checks.push_back({std::string(PoolRows::table), PoolRows::keyOf(PoolRows::cancelPrefix, id), 0});
    }
    if (!starting.empty()) {
        batch.checks.push_back({m_rows.table, m_rows.configurationKey, m_operators.configurationRowVersion});
        for (const std::string &domain : domains) {
            batch.checks.push_back({m_rows.table, m_rows.outDomainPrefix + domain, 0});
        }
    }
    m_endsInBatch.clear();
    if (m_dirty.empty()) {
        for (const auto &[agent, worker] : m_workers) {
            m_endsInBatch[agent] = worker.processedEnd;
        }
    }
    m_batchInFlight = true;
    return batch;
}

void PoolScheduler::onCommitted(TimePoint now)
{
    if (!isOwner()) {
        return;
    }
    m_batchInFlight = false;
    for (const auto &[id, state] : std::exchange(m_batchJobs, {})) {
        if (GraphRecord *job = m_jobs.find(id)) {
            job->recordedState = state;
        }
    }
    removeErased();
    for (const auto &[agent, end] : m_endsInBatch) {
        const auto found = m_workers.find(agent);
        if (found == m_workers.end()) {
            continue;
        }
        PoolWorker &worker = found->second;
        if (end > worker.recordedEnd && end <= worker.processedEnd) {
            worker.recordedEnd = end;
        }
    }
    m_endsInBatch.clear();
    for (const UnitId &id : std::exchange(m_recording, {})) {
        const auto found = m_units.find(id);
        if (found != m_units.end() && found->second.phase == UnitPhase::Recording) {
            found->second.phase = UnitPhase::Started;
            m_counters.add(Counter::PoolRunsRecorded, found->second.members.size());
            orderStarts(found->second, now);
        }
    }
    requestPlan();
}

void PoolScheduler::onConflict()
{
    if (!isOwner()) {
        return;
    }
    m_batchInFlight = false;
    m_endsInBatch.clear();
    m_erasedJobs.clear();
    m_erasedAgents.clear();
    for (const UnitId &id : std::exchange(m_recording, {})) {
        GraphRecord *job = m_jobs.find(id.first);
        BANYANLOCK_ASSERT(job != nullptr);
        UnitProgress &progress = job->progress.units[id.second];
        --progress.run; // no start was ordered under this number
        progress.places.clear();
        m_units.erase(id);
        Log::info("start_withdrawn",
                  {{"job", id.first}, {"configuration_row", static_cast<std::int64_t>(m_operators.configurationRowVersion)}});
    }
    // Progress other than starts is written by the next batch.
    for (const auto &[id, state] : std::exchange(m_batchJobs, {})) {
        m_dirty.insert(id);
    }
    requestPlan();
}

std::vector<CallAgent> PoolScheduler::takeCalls()
{
    return std::exchange(m_calls, {});
}

} // namespace banyanlock
