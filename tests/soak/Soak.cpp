// Setting up a soak, its calls and its checks.

#include "Soak.h"

#include "core/Log.h"
#include "pool/PoolRows.h"
#include "support/AwkwardText.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr long connectionsPerHost = 16;
constexpr long callerTimeoutMilliseconds = 4000; // a second beyond the deadline that callers name
constexpr int mostTries = 6;

// Offsets of ports; each kind has room for a hundred programs.
constexpr std::size_t entryPorts = 10;
constexpr std::size_t agentPorts = 400;
constexpr std::size_t workerPorts = 1000;
constexpr std::size_t storeProxyPorts = 1200;
constexpr std::size_t workerProxyPorts = 1500;
constexpr std::size_t callerProxyPorts = 1700;
constexpr std::size_t agentProxyPorts = 1800;
constexpr std::size_t portsEach = 3;

} // namespace

std::string Soak::address(std::size_t offset) const
{
    return endpoint(offset).toString();
}

Endpoint Soak::endpoint(std::size_t offset) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(m_options.firstPort + offset)};
}

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_http(connectionsPerHost)
    , m_checks([] {
        return EventLoop::now();
    })
    , m_rows(m_loop, endpoint(0), m_random)
{
    makePlatform();
    makePrograms();
}

Soak::~Soak() = default;

void Soak::makePlatform()
{
    writeConfiguration();
    for (std::size_t index = 0; index < m_options.workers; ++index) {
        WorkerAnnouncement announcement;
        announcement.incarnation = {"worker-" + std::to_string(index), unixMillisecondsNow()};
        announcement.service = "service";
        announcement.failureDomain = "domain-" + std::to_string(index % 3);
        announcement.capacity = usualCapacity;
        announcement.labels = {usualKind, "rack-" + std::to_string(index / 3)};
        PoolWorkerModel model(
            announcement,
            [this](const TaskName &task) {
                return m_checks.taskOf(task);
            },
            m_checks.makeObserver());
        const std::string announceUrl = "http://" + address(agentPorts + portsEach * index);
        m_workers.push_back(
            std::make_unique<WorkerServer>(m_loop, m_http, endpoint(workerPorts + index), announceUrl, std::move(model), m_random));
        m_workers.back()->setCallsBeforeContact(m_options.callsBeforeContact);
        m_workers.back()->setForeignAnnouncements(0.1);
        m_workers.back()->setBusy(m_options.cutAnswers ? 0.4 : 0.0);
        m_workerProxies.push_back(
            std::make_unique<SoakProxy>(m_loop.context(), endpoint(workerProxyPorts + index), endpoint(workerPorts + index)));
        m_workerProxies.back()->setFault(m_options.cutAnswers ? ProxyFault::AnswersCut : ProxyFault::None);
    }
}

void Soak::makePrograms()
{
    const auto add = [this](const std::string &kind, const std::string &name, const std::string &settings) {
        const std::size_t number = m_processes.size();
        m_storeProxies.push_back(std::make_unique<SoakProxy>(m_loop.context(), endpoint(storeProxyPorts + number), endpoint(0)));
        const std::string path = m_options.directory + "/" + name;
        std::ofstream(path + ".yaml") << "name: " << name << "\n"
                                      << "table_url: http://" << address(storeProxyPorts + number) << "\n"
                                      << settings;
        m_processes.push_back(std::make_unique<SoakProcess>(
            name, std::vector<std::string>{m_options.program, "pool", kind, "--settings", path + ".yaml"}, path + ".log"));
        m_processes.back()->start();
    };
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        const std::size_t ports = entryPorts + portsEach * index;
        add("entry", "entry-" + std::to_string(index),
            "failure_domain: domain-" + std::to_string(index % 3) + "\ncaller_address: " + address(ports)
                + "\nready_address: " + address(ports + 1) + "\nmetrics_address: " + address(ports + 2) + "\nstop_ms: 4000\n");
        m_callerProxies.push_back(std::make_unique<SoakProxy>(m_loop.context(), endpoint(callerProxyPorts + index), endpoint(ports)));
    }
    for (std::size_t index = 0; index < m_options.workers; ++index) {
        const std::size_t ports = agentPorts + portsEach * index;
        m_agentProxies.push_back(std::make_unique<SoakProxy>(m_loop.context(), endpoint(agentProxyPorts + index), endpoint(ports + 1)));
        m_rows.setAlias(PoolRows::keyOf(PoolRows::workerPrefix, address(ports + 1)),
                        PoolRows::keyOf(PoolRows::workerPrefix, address(agentProxyPorts + index)));
        add("agent", "agent-" + std::to_string(index),
            "failure_domain: domain-" + std::to_string(index % 3) + "\nannounce_address: " + address(ports)
                + "\nrpc_address: " + address(ports + 1) + "\nworker_url: http://" + address(workerProxyPorts + index) + "\n");
    }
}

void Soak::writeConfiguration()
{
    ++m_configurationVersion;
    Json routes = Json::array();
    int priority = 0;
    for (const char *name : {"urgent", "normal", "bulk"}) {
        routes.push_back({{"name", name},
                          {"host", "127.0.0.1"},
                          {"pathPrefix", "/" + std::string(name) + "/"},
                          {"service", "service"},
                          {"priority", priority++},
                          {"maxAttempts", 50},
                          {"slackFactor", 2.0},
                          {"targetLatencyMs", 500}});
    }
    const Json tenants = {{{"name", "workspace"}, {"apiKeys", {"key"}}, {"guaranteed", {{"gpu", 16}}}}};
    m_rows.write("op", "config", Json{{"version", m_configurationVersion}, {"routes", routes}, {"tenants", tenants}}.dump());
}

std::vector<std::string> Soak::run()
{
    constexpr Duration startUp = fromMilliseconds(3000);
    m_faultsEnd = EventLoop::now() + startUp + m_options.faultTime;
    m_deadline = m_faultsEnd + m_options.settleTime;
    m_loop.timers().subscribe(EventLoop::now() + startUp, [this](TimePoint) {
        makeCallsLate(m_random.chance(0.5) ? 0.3 : 0.0);
        scheduleRound();
    });
    m_loop.run();
    return m_checks.violations();
}

std::size_t Soak::acceptedJobs() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [](const auto &entry) {
        return entry.second.accepted;
    }));
}

void Soak::scheduleRound()
{
    const TimePoint now = EventLoop::now();
    if (now >= m_faultsEnd) {
        heal();
        checkSettled();
        return;
    }
    if (m_random.chance(0.7)) {
        addJob();
    }
    if (!m_jobs.empty()) {
        const auto chosen = std::next(m_jobs.begin(), m_random.below(static_cast<std::uint32_t>(m_jobs.size())));
        if (m_random.chance(0.1)) {
            cancel(chosen->first, m_random.below(static_cast<std::uint32_t>(m_options.entries)));
        } else {
            ask(chosen->first, m_random.below(static_cast<std::uint32_t>(m_options.entries)));
        }
    }
    if (m_random.chance(0.5)) {
        injectFault();
    }
    if (m_random.chance(0.04)) {
        cancelHeldUpSubmission();
    }
    m_loop.timers().subscribe(now + fromMilliseconds(100 + m_random.below(500)), [this](TimePoint) {
        scheduleRound();
    });
}

void Soak::addJob()
{
    const std::string id = makeJob();
    submit(id, m_random.below(static_cast<std::uint32_t>(m_options.entries)));
}

std::string Soak::makeJob()
{
    std::string id = "job" + std::to_string(m_jobs.size());
    StepSpec step;
    step.tasks = 1 + m_random.below(6);
    step.demand = {8000, 16000, 1 + static_cast<std::int64_t>(m_random.below(4))};
    step.estimate = fromMilliseconds(300 + m_random.below(3000));
    step.gang = m_random.chance(0.4);
    step.checkpoints = m_random.chance(0.3);
    GraphSpec spec;
    spec.payload = withAwkwardText("work of " + id);
    spec.steps = {step};
    step.requiredLabel = m_random.chance(0.2) ? usualKind : "";
    if (m_random.chance(0.3)) {
        step.after = {0};
        step.gang = false;
        spec.steps.push_back(step);
    }
    Json phases = Json::array();
    for (const StepSpec &each : spec.steps) {
        phases.push_back({{"count", each.tasks},
                          {"cpu", each.demand.processors},
                          {"memMb", each.demand.memory},
                          {"gpu", each.demand.accelerators},
                          {"estimateMs", toMilliseconds(each.estimate)},
                          {"after", each.after},
                          {"gang", each.gang},
                          {"requirements", each.requiredLabel},
                          {"checkpointing", each.checkpoints}});
    }
    static constexpr std::array<const char *, 3> queues{"urgent", "normal", "bulk"};
    m_checks.addJob(id, spec);
    m_specs[id] = {queues.at(m_random.below(queues.size())), Json{{"spec", spec.payload}, {"phases", phases}}.dump()};
    m_jobs[id].path = "/" + m_specs[id].first + "/";
    return id;
}

void Soak::call(const std::string &method, const std::string &id, std::size_t entry, const std::string &body,
                std::function<void(const HttpReply &)> callback)
{
    HttpRequest request;
    request.method = method;
    request.url = "http://" + address(callerProxyPorts + entry) + m_jobs.at(id).path + id;
    request.headers = {{"Api-Key", "key"}, {"Deadline-Ms", "3000"}, {"Content-Type", "application/json"}};
    request.body = body;
    request.timeoutMilliseconds = callerTimeoutMilliseconds;
    m_http.send(std::move(request), [this, callback = std::move(callback)](const HttpReply &reply) {
        m_loop.post([callback, reply] {
            callback(reply);
        });
    });
}

void Soak::submit(const std::string &id, std::size_t entry)
{
    ++m_jobs.at(id).tries;
    call("POST", id, entry, m_specs.at(id).second, [this, id, entry](const HttpReply &reply) {
        Job &job = m_jobs.at(id);
        const bool answered = reply.delivery == HttpDelivery::Complete;
        if (answered && reply.status == 200) {
            job.accepted = true;
            job.answered = true;
            if (EventLoop::now() < m_faultsEnd && m_random.chance(0.03)) {
                losePowerOfAll(1);
            }
            return;
        }
        constexpr int tooMany = 429;
        constexpr int unavailable = 503;
        const bool refused
            = reply.delivery == HttpDelivery::NotSent || (answered && (reply.status == unavailable || reply.status == tooMany));
        job.answered = job.answered || !refused;
        if (job.tries < mostTries) {
            constexpr Duration pause = fromMilliseconds(300);
            m_loop.timers().subscribe(EventLoop::now() + pause, [this, id, entry](TimePoint) {
                submit(id, (entry + 1) % m_options.entries);
            });
        }
    });
}

void Soak::cancel(const std::string &id, std::size_t entry)
{
    m_jobs.at(id).cancelled = true;
    call("DELETE", id, entry, "", [this, id](const HttpReply &reply) {
        constexpr int unknownJob = 410;
        if (reply.delivery == HttpDelivery::Complete && reply.status == unknownJob) {
            m_checks.addAbsence(id);
        }
    });
}

void Soak::cancelHeldUpSubmission()
{
    const std::size_t entry = m_random.below(static_cast<std::uint32_t>(m_options.entries));
    const std::size_t other = (entry + 1) % m_options.entries;
    SoakProxy &storeLink = *m_storeProxies[entry];
    const std::string id = makeJob();
    const TimePoint now = EventLoop::now();
    fault("store link " + std::to_string(entry) + " holds up " + id + ", which is cancelled at entry " + std::to_string(other));
    storeLink.setFault(ProxyFault::HeldUp);
    submit(id, entry);
    m_loop.timers().subscribe(now + fromMilliseconds(500 + m_random.below(1500)), [this, id, other](TimePoint) {
        cancel(id, other);
    });
    m_loop.timers().subscribe(now + fromMilliseconds(2500 + m_random.below(4000)), [&storeLink](TimePoint) {
        storeLink.setFault(ProxyFault::None);
    });
}

void Soak::ask(const std::string &id, std::size_t entry)
{
    const bool wasAccepted = m_jobs.at(id).accepted;
    const bool wasOver = m_jobs.at(id).over; // answers overtake each other, so only an end that was shown before this query counts
    call("GET", id, entry, "", [this, id, wasAccepted, wasOver](const HttpReply &reply) {
        constexpr int unknownJob = 410;
        if (reply.delivery == HttpDelivery::Complete && reply.status == 200) {
            takeState(id, reply, wasOver);
        } else if (reply.delivery == HttpDelivery::Complete && reply.status == unknownJob && wasAccepted) {
            m_checks.violate("accepted, but not known: " + id);
        }
    });
}

void Soak::takeState(const std::string &id, const HttpReply &reply, bool wasOver)
{
    Job &job = m_jobs.at(id);
    const Json body = Json::parse(reply.body, nullptr, false);
    const std::string state = body.is_object() ? body.value("state", "") : "";
    const bool ended = state == "completed" || state == "failed" || state == "cancelled";
    if (state == "completed" && !m_checks.haveAllSucceeded(id)) {
        m_checks.violate("shown as completed before all its tasks have succeeded: " + id);
    }
    if (state == "failed" || (state == "cancelled" && !job.cancelled)) {
        m_checks.violate("shown as " + state + " without cause: " + id);
    }
    if (wasOver && !ended && !job.cancelled) {
        m_checks.violate("shown as " + state + " after it had ended: " + id);
    }
    job.over = job.over || ended;
}

void Soak::checkSettled()
{
    bool open = false;
    std::size_t entry = 0;
    for (const auto &[id, job] : m_jobs) {
        if (job.accepted && !job.over) {
            open = true;
            ask(id, entry++ % m_options.entries);
        }
    }
    const TimePoint now = EventLoop::now();
    if (open && now < m_deadline) {
        constexpr Duration pause = fromMilliseconds(1000);
        m_loop.timers().subscribe(now + pause, [this](TimePoint) {
            checkSettled();
        });
        return;
    }
    finish();
}

void Soak::finish()
{
    for (const auto &[id, job] : m_jobs) {
        if (job.accepted && !job.over) {
            m_checks.violate("accepted, and not ended in time: " + id);
        }
        if (!job.answered && m_checks.startsOf(id) > 0) {
            m_checks.violate("refused at each try, and started: " + id);
        }
    }
    m_loop.stop();
}

void Soak::fault(const std::string &what)
{
    Log::info("fault", {{"what", what}, {"at", toMilliseconds(EventLoop::now().time_since_epoch())}});
    std::cout << toMilliseconds(EventLoop::now() - (m_faultsEnd - m_options.faultTime)) << " ms: " << what << "\n";
}

} // namespace banyanlock
