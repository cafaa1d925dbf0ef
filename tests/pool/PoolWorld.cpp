#include "PoolWorldProcesses.h"

#include "ForeignAnnouncement.h"
#include "core/Log.h"
#include "graph/GraphCodec.h"
#include "support/AwkwardText.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration workerTickInterval = fromMilliseconds(50);

Resources workerCapacity()
{
    return {128000, 256000, 8};
}

std::string failureDomainOf(std::size_t worker)
{
    return "domain-" + std::to_string(worker % 3);
}

} // namespace

StepSpec makeStep(std::uint32_t tasks, std::int64_t accelerators, std::int64_t milliseconds)
{
    StepSpec step;
    step.tasks = tasks;
    step.demand = {8000, 16000, accelerators};
    step.estimate = fromMilliseconds(milliseconds);
    return step;
}

GraphSpec makeJob(const StepSpec &step)
{
    GraphSpec spec;
    spec.payload = withAwkwardText("work");
    spec.steps = {step};
    return spec;
}

OperatorRows WorldPlatform::operatorRows()
{
    return {"operators", "configuration", "out/"};
}

OperatorChange WorldPlatform::decodeOperatorRow(const TableRow &row)
{
    if (row.key.starts_with("out/")) {
        return FailureDomainChange{row.key.substr(4), !row.erased};
    }
    const nlohmann::json json = nlohmann::json::parse(row.value);
    PoolConfiguration configuration;
    configuration.version = json.at("version").get<std::uint64_t>();
    std::uint32_t priority = 0;
    for (const char *name : {"urgent", "normal", "bulk"}) {
        constexpr std::uint32_t attempts = 3;
        configuration.queues.push_back(
            {name, "host", "/" + std::string(name) + "/", "service", priority++, attempts, 2.0, fromMilliseconds(500), false});
    }
    constexpr std::int64_t guaranteed = 16;
    configuration.workspaces.push_back({"workspace", json.at("keys").get<std::vector<std::string>>(), guaranteed});
    configuration.workspaces.push_back({"other-workspace", {"other-key"}, 0});
    return configuration;
}

Result<GraphSpec> WorldPlatform::decodeSubmission(const std::string &text)
{
    GraphRecord record;
    if (!decodeGraphSpec(text, record)) {
        return Error{ResultCode::InvalidJob, "malformed submission"};
    }
    return record.spec;
}

PoolWorld::PoolWorld(const WorldOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_foreignRandom(options.seed)
{
    static const bool traceEnabled = std::getenv("BANYANLOCK_TRACE") != nullptr;
    static bool logStarted = false;
    if (traceEnabled && !logStarted) {
        Log::start("world", "test", LogLevel::Info);
        logStarted = true;
    }
    m_tableService.limits = options.tableLimits;
    writeConfiguration();
    m_agents.resize(options.workers);
    for (std::size_t index = 0; index < options.workers; ++index) {
        m_agents[index] = std::make_unique<Agent>(*this, index);
        WorkerAnnouncement announcement;
        announcement.incarnation = {"worker-" + std::to_string(index), virtualTimeOriginUnixMilliseconds};
        announcement.service = "service";
        announcement.failureDomain = failureDomainOf(index);
        announcement.capacity = workerCapacity();
        announcement.labels = {"kind", "rack-" + std::to_string(index / 3)};
        m_agents[index]->worker = std::make_unique<PoolWorkerModel>(
            announcement,
            [this](const TaskName &task) {
                return m_checks.taskOf(task);
            },
            m_checks.makeObserver());
        m_agents[index]->worker->setClockRate(options.workerClockRate);
        m_agents[index]->worker->setMaxListedEnds(options.maxListedEnds);
        makeAgent(index);
    }
    m_entries.resize(options.entries);
    for (std::size_t index = 0; index < options.entries; ++index) {
        makeEntry(index);
    }
    m_network.repeat(workerTickInterval, [this](TimePoint now) {
        for (const std::unique_ptr<Agent> &agent : m_agents) {
            agent->worker->advance(now);
        }
    });
    m_network.repeat(fromMilliseconds(1000), [this](TimePoint) {
        for (const std::unique_ptr<Agent> &agent : m_agents) {
            if (!agent->removed && !agent->partitionedFromWorker && !agent->crashed && !agent->worker->isSuspended()) {
                announce(*agent);
            }
        }
    });
}

PoolWorld::~PoolWorld() = default;

void PoolWorld::announce(Agent &agent)
{
    const auto arrive = [&agent](const WorkerAnnouncement &announcement) {
        agent.loop->after(Duration::zero(), [&agent, announcement] {
            agent.supervisor->onAnnouncement(announcement);
        });
    };
    const WorkerAnnouncement own = agent.worker->announce();
    if (m_options.lateAnnouncementRate > 0.0 && m_random.chance(m_options.lateAnnouncementRate)) {
        m_network.after(fromMilliseconds(1000 + m_random.below(11000)), [arrive, own] {
            arrive(own);
        });
    } else {
        arrive(own);
    }
    if (m_options.foreignAnnouncementRate > 0.0 && m_foreignRandom.chance(m_options.foreignAnnouncementRate)) {
        arrive(makeForeignAnnouncement(own, m_foreignRandom));
    }
}

std::uint32_t PoolWorld::pendingOf(const std::string &queue, std::size_t entry) const
{
    return m_entries.at(entry)->mirror.jobs().countPending(queue);
}

bool PoolWorld::isWorkerUsed(std::size_t worker) const
{
    const Agent &agent = *m_agents.at(worker);
    const WorkerStatus status = agent.supervisor->status(m_now, 0);
    const WorkerAnnouncement &own = agent.worker->announcement();
    return status.runsKnown && status.answering && status.worker.incarnation == own.incarnation && status.worker.service == own.service
        && status.worker.capacity == own.capacity && status.worker.draining == own.draining;
}

std::vector<VirtualLoop *> PoolWorld::runningLoops() const
{
    std::vector<VirtualLoop *> loops{const_cast<VirtualLoop *>(&m_network)};
    for (const std::unique_ptr<Entry> &entry : m_entries) {
        loops.push_back(&entry->loop);
    }
    for (const std::unique_ptr<Agent> &agent : m_agents) {
        if (!agent->removed) {
            loops.push_back(agent->loop.get());
        }
    }
    std::erase_if(loops, [](const VirtualLoop *loop) {
        return loop->isFrozen();
    });
    return loops;
}

void PoolWorld::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (true) {
        TimePoint next = end;
        VirtualLoop *nextLoop = nullptr;
        for (VirtualLoop *loop : runningLoops()) {
            const std::optional<TimePoint> deadline = loop->timers().nextDeadline();
            if (deadline && *deadline < next) {
                next = *deadline;
                nextLoop = loop;
            }
        }
        if (nextLoop == nullptr) {
            break;
        }
        m_now = std::max(m_now, next);
        nextLoop->runDue();
    }
    m_now = end;
}

void PoolWorld::makeEntry(std::size_t index)
{
    if (m_entries[index]) {
        m_entries[index]->store.terminate();
        m_entries[index]->killed = true;
        m_killedEntries.push_back(std::move(m_entries[index]));
    }
    m_entries[index] = std::make_unique<Entry>(*this,
                                               EntryIdentity{"entry-" + std::to_string(index), m_random.bits(),
                                                             m_options.entryProcessors[index % m_options.entryProcessors.size()]});
    Entry &entry = *m_entries[index];
    entry.mirror.setListener([&entry, this] {
        entry.owner.onRows(m_now);
    });
    entry.loop.setFlush([this, &entry] {
        flushEntry(entry);
    });
    entry.mirror.start();
    entry.owner.start();
    entry.loop.repeat(fromMilliseconds(200), [&entry](TimePoint) {
        entry.scheduler.onTick();
    });
}

void PoolWorld::makeAgent(std::size_t index)
{
    Agent &agent = *m_agents[index];
    agent.loop = std::make_unique<VirtualLoop>(m_now);
    ++agent.generation;
    agent.pendingCalls.clear();
    agent.registering = false;
    SupervisorTiming timing;
    timing.maxListedEnds = m_options.maxListedEnds;
    agent.supervisor = std::make_unique<WorkerSupervisor>(m_random.bits(), timing, m_counters);
    agent.loop->setFlush([this, &agent] {
        flushAgent(agent);
    });
    agent.loop->after(fromMilliseconds(5), [] {
    });
}

void PoolWorld::writeConfiguration()
{
    ++m_configurationVersion;
    TableTransaction transaction;
    transaction.writes = {{"operators", "configuration", nlohmann::json{{"version", m_configurationVersion}, {"keys", m_keys}}.dump()}};
    m_tableService.commit(transaction);
}

void PoolWorld::setKeys(const std::vector<std::string> &keys)
{
    m_keys = keys;
    writeConfiguration();
}

void PoolWorld::setFailureDomainOut(const std::string &failureDomain, bool out)
{
    TableTransaction transaction;
    transaction.writes = {{"operators", "out/" + failureDomain, out ? std::optional<std::string>("{}") : std::nullopt}};
    m_tableService.commit(transaction);
}

void PoolWorld::call(PoolCall call, const std::string &job, std::size_t entry)
{
    call.host = "host";
    call.key = call.key.value_or("key");
    Entry *target = m_entries[entry].get();
    target->loop.after(Duration::zero(), [this, target, call = std::move(call), job] {
        target->api.handle(call, [this, call, job](const CallAnswer &answer) {
            m_answers[job] = answer;
            if (answer.outcome == CallOutcome::NoSuchJob) {
                noteAbsence(call, job);
            }
        });
    });
}

void PoolWorld::noteAbsence(const PoolCall &call, const std::string &job)
{
    if (call.kind != CallKind::Cancel || call.key != "key") {
        return;
    }
    m_absentPaths.insert(call.path);
    if (const auto submitted = m_submittedPaths.find(job); submitted != m_submittedPaths.end() && submitted->second == call.path) {
        m_checks.addAbsence(job);
    }
}

void PoolWorld::submit(const std::string &job, const GraphSpec &spec, const std::string &queue, std::size_t entry)
{
    m_checks.addJob(job, spec);
    GraphRecord record;
    record.spec = spec;
    PoolCall submission;
    submission.kind = CallKind::Submit;
    submission.path = "/" + queue + "/" + job;
    m_submittedPaths[job] = submission.path;
    if (m_absentPaths.contains(submission.path)) {
        m_checks.addAbsence(job);
    }
    submission.body = encodeGraphSpec(record);
    call(std::move(submission), job, entry);
}

void PoolWorld::cancel(const std::string &job, std::size_t entry)
{
    const auto submitted = m_submittedPaths.find(job);
    PoolCall cancellation;
    cancellation.kind = CallKind::Cancel;
    cancellation.path = submitted == m_submittedPaths.end() ? "/normal/" + job : submitted->second;
    call(std::move(cancellation), job, entry);
}

void PoolWorld::cancelAs(const std::string &job, const std::string &queue, const std::string &key, std::size_t entry)
{
    PoolCall cancellation;
    cancellation.kind = CallKind::Cancel;
    cancellation.path = "/" + queue + "/" + job;
    cancellation.key = key;
    call(std::move(cancellation), job, entry);
}

void PoolWorld::queryState(const std::string &job, std::size_t entry)
{
    PoolCall query;
    query.kind = CallKind::State;
    query.path = "/normal/" + job;
    call(std::move(query), job, entry);
}

const CallAnswer &PoolWorld::answerFor(const std::string &job) const
{
    static const CallAnswer none;
    const auto found = m_answers.find(job);
    return found == m_answers.end() ? none : found->second;
}

void PoolWorld::restartEntry(std::size_t entry)
{
    makeEntry(entry);
}

void PoolWorld::delayOwner(Duration delay)
{
    m_entries[owner()]->owner.recordLag(delay, m_now);
}

void PoolWorld::drainEntry(std::size_t entry)
{
    m_entries[entry]->owner.drain();
}

void PoolWorld::partitionEntryFromStore(std::size_t entry, bool partitioned)
{
    m_entries[entry]->store.setPartitioned(partitioned);
}

void PoolWorld::setStoreUnresponsive(std::size_t entry, bool unresponsive)
{
    m_entries[entry]->store.setUnresponsive(unresponsive);
}

void PoolWorld::setTransactionsHeldUp(std::size_t entry, bool heldUp)
{
    m_entries[entry]->store.setHeldUp(heldUp);
}

void PoolWorld::partitionEntryFromAgents(std::size_t entry, bool partitioned)
{
    m_entries[entry]->partitionedFromAgents = partitioned;
}

void PoolWorld::freezeEntry(std::size_t entry, bool frozen)
{
    m_entries[entry]->loop.setFrozen(frozen);
}

void PoolWorld::freezeAgent(std::size_t worker, bool frozen)
{
    m_agents[worker]->loop->setFrozen(frozen);
}

void PoolWorld::suspendInstance(std::size_t worker)
{
    freezeAgent(worker, true);
    m_agents[worker]->worker->suspend(m_now);
}

void PoolWorld::resumeInstance(std::size_t worker)
{
    freezeAgent(worker, false);
    m_agents[worker]->supervisor->onSuspended(m_agents[worker]->worker->resume(m_now));
}

void PoolWorld::restartAgent(std::size_t worker)
{
    makeAgent(worker);
}

void PoolWorld::removeInstance(std::size_t worker)
{
    m_agents[worker]->removed = true;
    m_agents[worker]->worker->rebirth(m_now);
}

void PoolWorld::crashWorker(std::size_t worker)
{
    m_agents[worker]->crashed = true;
    m_agents[worker]->worker->rebirth(m_now);
}

void PoolWorld::replaceWorker(std::size_t worker)
{
    m_agents[worker]->worker->replace("worker-" + std::to_string(worker) + "-" + std::to_string(++m_replacements), m_now);
}

void PoolWorld::partitionAgentFromEntries(std::size_t worker, bool partitioned)
{
    m_agents[worker]->partitioned = partitioned;
}

void PoolWorld::partitionAgentFromWorker(std::size_t worker, bool partitioned)
{
    m_agents[worker]->partitionedFromWorker = partitioned;
}

void PoolWorld::cutOffRegion(const std::vector<std::size_t> &entries, const std::vector<std::size_t> &workers, bool cutOff)
{
    for (const std::size_t entry : entries) {
        m_entries[entry]->inCutOffRegion = cutOff;
        setStoreUnresponsive(entry, cutOff);
    }
    for (const std::size_t worker : workers) {
        m_agents[worker]->inCutOffRegion = cutOff;
    }
}

PoolWorkerModel &PoolWorld::worker(std::size_t index)
{
    return *m_agents[index]->worker;
}

bool PoolWorld::isOwner(std::size_t entry) const
{
    return m_entries[entry]->scheduler.isOwner();
}

std::size_t PoolWorld::owner() const
{
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_entries[index]->scheduler.isOwner() && m_entries[index]->scheduler.earlierOwnersExpired(m_now)) {
            return index;
        }
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_entries[index]->scheduler.isOwner()) {
            return index;
        }
    }
    return m_entries.size();
}

GraphState PoolWorld::stateOf(const std::string &job) const
{
    const auto row = m_tableService.rows.find({std::string(PoolRows::table), PoolRows::keyOf(PoolRows::progressPrefix, job)});
    if (row == m_tableService.rows.end()) {
        return GraphState::Queued;
    }
    const std::optional<GraphProgress> progress = decodeGraphProgressHead(row->second.value);
    return progress ? progress->state : GraphState::Queued;
}

std::uint32_t PoolWorld::startsOf(const std::string &job) const
{
    return m_checks.startsOf(job);
}

std::optional<TimePoint> PoolWorld::firstStart(const std::string &job) const
{
    return m_checks.firstStart(job);
}

} // namespace banyanlock
