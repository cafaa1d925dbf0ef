#include "pool/PoolScheduler.h"

#include "core/Assert.h"
#include "core/Log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::array<const char *, 7> stopReasonNames{"none",        "cancelled",     "job_failed",  "preempted",
                                                      "member_lost", "worker_leaves", "already_done"};

// The host daemon adds a check and a write of the owner row.
constexpr std::size_t ownerEntries = 2;

// Each job needs two entries or more, its rows and the check of its cancellation; the others are left for the checks of operators' rows.
constexpr std::size_t maxJobsInBatch = 38;

// Delay with which rows of ended jobs and vanished agents are erased, after a retention period of minutes.
constexpr Duration erasureInterval = fromMilliseconds(1000);

RunTimePolicy runTimePolicyOf(PartMode mode)
{
    RunTimePolicy policy;
    policy.use = mode == PartMode::Off ? RunTimeUse::Never : mode == PartMode::On ? RunTimeUse::Always : RunTimeUse::WhenContradicted;
    return policy;
}

} // namespace

const char *stopReasonName(StopReason reason)
{
    return stopReasonNames[static_cast<std::size_t>(reason)];
}

PoolScheduler::PoolScheduler(GraphTable &jobs, const OperatorView &operators, OperatorRows rows, PoolTiming timing, PlannerPolicy policy,
                             Counters &counters, TableLimits limits, PoolParts parts)
    : m_jobs(jobs)
    , m_operators(operators)
    , m_rows(std::move(rows))
    , m_timing(timing)
    , m_planner(policy)
    , m_runTimes(runTimePolicyOf(parts.learnedRunTimes))
    , m_counters(counters)
    , m_limits(limits)
    , m_parts(parts)
    , m_records(parts.workerRecords)
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
    m_workersByIndex.clear();
    m_records.clear();
    for (auto &[agent, worker] : m_workers) {
        const std::string address = agent;
        worker = PoolWorker();
        worker.agent = address;
        worker.record = &m_records.add(address);
        worker.lastRenewalSent = m_earlierOwnersRenewUntil;
    }
    restoreRunningUnits(now);
}

void PoolScheduler::restoreRunningUnits(TimePoint now)
{
    m_jobs.decodeOpen();
    for (const auto &[id, job] : m_jobs.open()) {
        for (const auto &[key, progress] : job->progress.units) {
            considerAttempts(*job, progress);
            if (progress.places.empty()) {
                continue;
            }
            ActiveUnit unit;
            unit.job = id;
            unit.record = job;
            unit.key = key;
            unit.run = progress.run;
            unit.phase = UnitPhase::Started;
            unit.startedAt = now;
            unit.restored = true;
            for (std::uint32_t index = 0; index < progress.places.size(); ++index) {
                ActiveMember member;
                const std::uint32_t task = job->spec.steps[key.step].gang ? index : key.index;
                member.run = {{id, key.occurrence, key.step, task}, progress.run};
                member.place = progress.places[index];
                member.startExpiredAt = now + m_timing.startExpiry;
                member.checkpoint = progress.checkpoint;
                addAgent(member.place.agent);
                member.worker = &m_workers.at(member.place.agent);
                unit.members.push_back(std::move(member));
            }
            activate(std::move(unit));
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
    m_placing = true;
    m_units.clear();
    m_unitsWithNewEnds.clear();
    m_waiting.clear();
    for (auto &[agent, worker] : m_workers) {
        worker.members.clear();
    }
    m_jobsWithoutStart.clear();
    m_dirty.clear();
    m_urgentDirty = false;
    m_recording.clear();
    m_batchJobs.clear();
    m_maxJobsInBatch = maxJobsInBatch;
    m_setAside.clear();
    m_endsInBatch.clear();
    m_waitingSince.clear();
    m_backOff.clear();
    m_speeds.forgetJobs();
    m_lastAttemptsUntil.clear();
    m_endedSince.clear();
    m_erasedJobs.clear();
    m_erasedAgents.clear();
    m_earlyCancellations.clear();
    m_erasedEarlyCancellations.clear();
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
    worker.record = &m_records.add(agent);
    worker.lastRenewalSent = m_earlierOwnersRenewUntil;
    m_workers[agent] = std::move(worker);
    m_workersByIndex.clear();
    requestPlan();
}

void PoolScheduler::onRows()
{
    requestPlan();
    for (auto &[agent, worker] : m_workers) {
        worker.resourcesChanged = worker.resourcesChanged || worker.runsUnknownTask;
    }
}

void PoolScheduler::markDirty(const GraphRecord &job)
{
    if (!m_setAside.contains(job.id)) { // else written later
        m_dirty.try_emplace(job.id, ++m_dirtyOrder);
        m_urgentDirty = m_urgentDirty || job.terms.priority == 0;
    }
    const auto waiting = m_waiting.find(&job);
    if (waiting != m_waiting.end()) {
        waiting->second.changed = true;
    }
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
    resumeSetAside(now);
    resolveTruncatedLists();
    closeEndedUnits(now);
    showUnstartedAsQueued(now);
    if (m_placing && (m_planDue || now - m_plannedAt >= m_timing.maxPlanInterval)) {
        refreshRecords(now);
        m_planDue = !schedule(now);
        m_planDue = withdrawExtraTrials(now) || m_planDue;
        m_plannedAt = now;
    }
    sendCalls(now);
    m_changed = m_placing && m_planDue; // a plan that was not completed goes on with the next step
}

void PoolScheduler::addErasures(PoolBatch &batch, TimePoint now)
{
    if (now < m_nextErasure) {
        return;
    }
    m_nextErasure = now + erasureInterval;
    const std::string table(PoolRows::table);
    const std::size_t entries = batch.writes.size() + batch.checks.size() + ownerEntries;
    std::size_t room = entries < m_limits.transactionEntries ? m_limits.transactionEntries - entries : 0;
    constexpr std::array prefixes{PoolRows::specPrefix, PoolRows::progressPrefix, PoolRows::cancelPrefix};
    for (const std::string &id : m_jobs.ended()) {
        const TimePoint since = m_endedSince.try_emplace(id, now).first->second;
        const GraphRecord *job = std::as_const(m_jobs).find(id);
        const std::uint32_t continuations = job == nullptr ? 0 : job->continuationCount;
        if (now - since < m_timing.retentionPeriod || room < prefixes.size() + continuations) {
            continue;
        }
        room -= prefixes.size() + continuations;
        for (const std::string_view prefix : prefixes) {
            batch.writes.push_back({table, PoolRows::keyOf(prefix, id), std::nullopt});
        }
        for (std::uint32_t number = 0; number < continuations; ++number) {
            batch.writes.push_back({table, PoolRows::continuationKey(id, number), std::nullopt});
        }
        m_erasedJobs.push_back(id);
    }
    addEarlyCancellationErasures(batch, room, now);
    for (const auto &[agent, worker] : m_workers) {
        if (worker.members.empty() && now - std::max(worker.statusReceivedAt, m_ownedAt) > m_timing.retentionPeriod && room > 0) {
            --room;
            batch.writes.push_back({table, PoolRows::keyOf(PoolRows::workerPrefix, agent), std::nullopt});
            m_erasedAgents.push_back(agent);
        }
    }
}

void PoolScheduler::addEarlyCancellationErasures(PoolBatch &batch, std::size_t &room, TimePoint now)
{
    const std::map<std::string, EarlyCancellation> &rows = m_jobs.earlyCancellations().rows();
    std::erase_if(m_earlyCancellations, [&](const auto &entry) {
        return !rows.contains(entry.first);
    });
    const std::string table(PoolRows::table);
    for (const auto &[key, row] : rows) {
        NoticedRow &noticed = m_earlyCancellations[key];
        if (noticed.version != row.version) {
            noticed = {row.version, now}; // recorded anew by a repeated cancellation
        }
        constexpr std::size_t entries = 2;
        if (now - noticed.since < m_timing.retentionPeriod || room < entries) {
            continue;
        }
        room -= entries;
        batch.checks.push_back({table, key, row.version}); // a repeated cancellation may be on its way to this entry
        batch.writes.push_back({table, key, std::nullopt});
        m_erasedEarlyCancellations.push_back(key);
    }
}

void PoolScheduler::removeErased()
{
    m_erasedEarlyCancellations.clear(); // the change feed removes them
    for (const std::string &id : std::exchange(m_erasedJobs, {})) {
        m_jobs.erase(id);
        m_endedSince.erase(id);
        m_counters.add(Counter::JobsErased);
    }
    for (const std::string &agent : std::exchange(m_erasedAgents, {})) {
        const auto worker = m_workers.find(agent);
        if (worker == m_workers.end() || !worker->second.members.empty()) {
            continue; // it has returned and got a task since the batch was made; its next process registers itself again
        }
        Log::info("agent_erased", {{"agent", agent}});
        m_workers.erase(worker);
        m_records.erase(agent);
        m_workersByIndex.clear();
    }
}

std::set<std::string> PoolScheduler::domainsToCheck(const std::string &job) const
{
    std::set<std::string> domains;
    for (auto unit = m_units.lower_bound({job, UnitKey()}); unit != m_units.end() && unit->first.first == job; ++unit) {
        if (unit->second.phase == UnitPhase::Planned) {
            for (const ActiveMember &member : unit->second.members) {
                domains.insert(member.worker->status.worker.failureDomain);
            }
        }
    }
    return domains;
}

ProgressRows PoolScheduler::encodeProgress(const GraphRecord &job) const
{
    ProgressRows rows = encodeProgressRows(job.progress, m_limits.rowBytes);
    if (rows.bytes() > m_limits.transactionBytes) {
        Log::warning("checkpoints_not_recorded", {{"job", job.id}, {"bytes", static_cast<std::int64_t>(rows.bytes())}});
        GraphProgress progress = job.progress;
        for (auto &[key, unit] : progress.units) {
            unit.checkpoint.clear();
        }
        rows = encodeProgressRows(progress, m_limits.rowBytes);
    }
    return rows;
}

bool PoolScheduler::addToBatch(PoolBatch &batch, const std::string &job)
{
    const GraphRecord *record = m_jobs.find(job);
    BANYANLOCK_ASSERT(record != nullptr);
    const ProgressRows rows = encodeProgress(*record);
    const std::set<std::string> domains = domainsToCheck(job);
    std::set<std::string> allDomains = m_batchDomains;
    allDomains.insert(domains.begin(), domains.end());
    const auto count = static_cast<std::uint32_t>(rows.continuations.size());
    const std::size_t rowCount = 1 + std::max(count, record->continuationCount);
    const std::size_t newChecks = domains.empty() ? 0 : 1; // of the cancellation
    const std::size_t sharedChecks = allDomains.empty() ? 0 : 1 + allDomains.size(); // of the operators' rows
    const std::size_t entries = batch.writes.size() + batch.checks.size() + rowCount + newChecks + sharedChecks;
    const bool fits = entries <= m_limits.transactionEntries - ownerEntries && m_batchBytes + rows.bytes() <= m_limits.transactionBytes;
    if (!fits && !batch.writes.empty()) {
        return false;
    }
    const std::string table(PoolRows::table);
    batch.writes.push_back({table, PoolRows::keyOf(PoolRows::progressPrefix, job), rows.head});
    for (std::uint32_t number = 0; number < std::max(count, record->continuationCount); ++number) {
        batch.writes.push_back(
            {table, PoolRows::continuationKey(job, number), number < count ? std::optional(rows.continuations[number]) : std::nullopt});
    }
    if (!domains.empty()) {
        batch.checks.push_back({table, PoolRows::keyOf(PoolRows::cancelPrefix, job), 0});
        batch.startsRuns = true;
    }
    m_batchBytes += rows.bytes();
    m_batchDomains = std::move(allDomains);
    m_batchJobs[job] = {record->progress.state, count};
    m_dirty.erase(job);
    beginRecording(job);
    return true;
}

void PoolScheduler::beginRecording(const std::string &job)
{
    for (auto unit = m_units.lower_bound({job, UnitKey()}); unit != m_units.end() && unit->first.first == job; ++unit) {
        if (unit->second.phase == UnitPhase::Planned) {
            unit->second.phase = UnitPhase::Recording;
            m_recording.push_back(unit->first);
        }
    }
}

void PoolScheduler::addChecks(PoolBatch &batch)
{
    if (!batch.startsRuns) {
        return;
    }
    batch.checks.push_back({m_rows.table, m_rows.configurationKey, m_operators.configurationRowVersion});
    for (const std::string &domain : m_batchDomains) {
        batch.checks.push_back({m_rows.table, m_rows.outDomainPrefix + domain, 0});
    }
}

std::optional<PoolBatch> PoolScheduler::takeBatch(TimePoint now)
{
    if (!isOwner() || m_batchInFlight || !isBatchDue(now)) {
        return std::nullopt;
    }
    PoolBatch batch;
    m_batchBytes = 0;
    m_batchDomains.clear();
    m_batchJobs.clear();
    const std::vector<std::string> chosen = chooseDirtyJobs();
    const bool complete = std::ranges::all_of(chosen, [&](const std::string &id) {
        return addToBatch(batch, id);
    });
    addChecks(batch);
    addErasures(batch, now);
    if (batch.writes.empty()) {
        return std::nullopt;
    }
    m_endsInBatch.clear();
    if (m_dirty.empty()) {
        for (const auto &[agent, worker] : m_workers) {
            if (worker.processedEnd > worker.recordedEnd) {
                m_endsInBatch[agent] = worker.processedEnd;
            }
        }
    }
    m_batchInFlight = true;
    m_urgentDirty = m_urgentDirty && !complete;
    m_lastBatchAt = now;
    return batch;
}

bool PoolScheduler::isBatchDue(TimePoint now) const
{
    // Several changes of a job soon after each other are written once. Urgent jobs, full batches and the last one before a release do not
    // wait.
    const Duration pause = std::min(m_timing.batchPausePerWorker * static_cast<std::int64_t>(m_workers.size()), m_timing.maxBatchPause);
    return m_urgentDirty || !m_placing || m_dirty.size() >= m_maxJobsInBatch || now - m_lastBatchAt >= pause;
}

std::vector<std::string> PoolScheduler::chooseDirtyJobs() const
{
    std::vector<std::string> chosen;
    if (m_dirty.size() <= m_maxJobsInBatch) {
        for (const auto &[id, order] : m_dirty) {
            chosen.push_back(id);
        }
        return chosen;
    }
    // Under a backlog urgent jobs go first, then those that have waited longest.
    std::vector<std::tuple<std::uint32_t, std::uint64_t, const std::string *>> ranked;
    for (const auto &[id, order] : m_dirty) {
        const GraphRecord *job = std::as_const(m_jobs).find(id);
        BANYANLOCK_ASSERT(job != nullptr);
        ranked.emplace_back(job->terms.priority, order, &id);
    }
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(m_maxJobsInBatch));
    for (std::size_t index = 0; index < m_maxJobsInBatch; ++index) {
        chosen.push_back(*std::get<2>(ranked[index]));
    }
    return chosen;
}

void PoolScheduler::onCommitted(TimePoint now)
{
    if (!isOwner()) {
        return;
    }
    m_batchInFlight = false;
    for (const auto &[id, written] : std::exchange(m_batchJobs, {})) {
        if (GraphRecord *job = m_jobs.find(id)) {
            job->recordedState = written.state;
            job->continuationCount = written.continuationCount;
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
    m_maxJobsInBatch = std::min(2 * m_maxJobsInBatch, maxJobsInBatch);
    requestPlan();
}

void PoolScheduler::onConflict()
{
    if (!isOwner()) {
        return;
    }
    m_batchInFlight = false;
    m_lastBatchAt = TimePoint(); // what was not written has waited already
    m_endsInBatch.clear();
    m_erasedJobs.clear();
    m_erasedAgents.clear();
    for (const std::string &key : std::exchange(m_erasedEarlyCancellations, {})) {
        m_earlyCancellations.erase(key); // another retention period: a row whose check fails must not hold up the batches
    }
    for (const auto &[id, written] : std::exchange(m_batchJobs, {})) {
        const GraphRecord *job = m_jobs.find(id);
        BANYANLOCK_ASSERT(job != nullptr);
        markDirty(*job);
    }
    // The next batch records the placements that the changed rows still allow.
    for (const UnitId &id : std::exchange(m_recording, {})) {
        ActiveUnit &unit = m_units.at(id);
        if (isStillAllowed(unit)) {
            unit.phase = UnitPhase::Planned;
        } else {
            withdraw(id);
        }
    }
    requestPlan();
}

void PoolScheduler::onRejected(TimePoint now)
{
    if (!isOwner()) {
        return;
    }
    const std::size_t jobs = m_batchJobs.size();
    const std::string rejected = jobs == 1 ? m_batchJobs.begin()->first : std::string();
    Log::warning("batch_rejected", {{"jobs", static_cast<std::int64_t>(jobs)}, {"job", rejected}});
    onConflict();
    m_maxJobsInBatch = std::max<std::size_t>(jobs / 2, 1);
    if (jobs == 1) {
        setAside(rejected, now);
    }
}

void PoolScheduler::setAside(const std::string &job, TimePoint now)
{
    std::vector<UnitId> planned;
    for (auto unit = m_units.lower_bound({job, UnitKey()}); unit != m_units.end() && unit->first.first == job; ++unit) {
        if (unit->second.phase == UnitPhase::Planned) {
            planned.push_back(unit->first);
        }
    }
    for (const UnitId &id : planned) {
        withdraw(id);
    }
    m_dirty.erase(job);
    m_setAside[job] = now + m_timing.rejectionPause;
    for (auto &[agent, worker] : m_workers) {
        worker.processedEnd = worker.recordedEnd; // its ends must not be acknowledged
        acknowledgeEnds(worker);
    }
}

void PoolScheduler::resumeSetAside(TimePoint now)
{
    for (auto entry = m_setAside.begin(); entry != m_setAside.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        const GraphRecord *job = std::as_const(m_jobs).find(entry->first);
        entry = m_setAside.erase(entry);
        if (job != nullptr) {
            markDirty(*job);
        }
    }
}

bool PoolScheduler::isStillAllowed(const ActiveUnit &unit) const
{
    return !unit.record->cancelled && std::ranges::none_of(unit.members, [&](const ActiveMember &member) {
        return m_operators.outDomains.contains(member.worker->status.worker.failureDomain);
    });
}

void PoolScheduler::withdraw(const UnitId &id)
{
    UnitProgress &progress = m_units.at(id).record->progress.units[id.second];
    --progress.run; // no start was ordered under this number
    progress.places.clear();
    deactivate(id);
    Log::info("start_withdrawn",
              {{"job", id.first}, {"configuration_row", static_cast<std::int64_t>(m_operators.configurationRowVersion)}});
}

std::vector<CallAgent> PoolScheduler::takeCalls()
{
    return std::exchange(m_calls, {});
}

} // namespace banyanlock
