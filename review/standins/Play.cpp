#include "Play.h"

#include "pool/PoolRows.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review
{
namespace
{

using namespace banyanlock;
using Json = nlohmann::json;

constexpr long connectionsPerHost = 64;
constexpr long clientTimeoutMs = 3500; // half a second beyond the deadline that clients name
constexpr int mostTries = 5;
constexpr const char *host = "127.0.0.1";
constexpr Duration lostWindow = fromMilliseconds(3000);

/// @param port Port to listen on.
/// @return Descriptor of a socket that is bound to the port of the loopback address, or -1 if the port is in use.
int bindPort(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
        return descriptor;
    }
    close(descriptor);
    return -1;
}

/// Reserves a block of ports for this play, below the ports that the system gives to outgoing connections. The first port of the block
/// stays bound, so that plays side by side don't choose the same block.
/// @return The second port of the block.
std::uint16_t reserveBlock()
{
    constexpr std::uint32_t first = 18'000;
    constexpr std::uint32_t blockSize = 150;
    constexpr std::uint32_t blocks = 80;
    const auto start = static_cast<std::uint32_t>(getpid());
    for (std::uint32_t index = 0; index < blocks; ++index) {
        const std::uint32_t port = first + (start + index) % blocks * blockSize;
        if (bindPort(static_cast<std::uint16_t>(port)) >= 0) {
            return static_cast<std::uint16_t>(port + 1);
        }
    }
    throw std::runtime_error("no free block of ports");
}

/// @return A free port of the loopback address.
Endpoint freeEndpoint()
{
    static std::uint16_t next = reserveBlock();
    for (;;) {
        const std::uint16_t port = next++;
        const int descriptor = bindPort(port);
        if (descriptor >= 0) {
            close(descriptor);
            return {host, port};
        }
    }
}

/// Keeps the sockets of this process out of the processes that it starts: an inherited listening socket would go on taking connections.
void closeDescriptorsOnExec()
{
    constexpr int first = 3;
    constexpr int end = 1024;
    for (int descriptor = first; descriptor < end; ++descriptor) {
        fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }
}

} // namespace

Play::Play(PlayOptions options)
    : m_options(std::move(options))
    , m_record(m_options.folder + "/record.txt")
    , m_http(connectionsPerHost)
    , m_begin(EventLoop::now())
{
    std::filesystem::create_directories(m_options.directory);
    m_fleet.record = [this](const std::string &line) {
        record(line);
    };
    m_fleet.nature = [this](const std::string &task) {
        const auto job = m_jobs.find(task.substr(0, task.find('.')));
        const std::string tail = task.substr(0, task.rfind('.'));
        const std::size_t step = std::stoul(tail.substr(tail.rfind('.') + 1));
        TaskNature nature = job == m_jobs.end() || step >= job->second.steps.size() ? TaskNature() : job->second.steps[step];
        nature.work += nature.step * static_cast<std::int64_t>(std::stoul(task.substr(task.rfind('.') + 1)) % 100);
        return nature;
    };
    const Endpoint storeEndpoint = freeEndpoint();
    m_store = std::make_unique<Store>(m_loop, storeEndpoint, [this](const std::string &line) {
        record(line);
    });
    writeConfiguration();
    const std::string tableLine = "table_url: http://" + storeEndpoint.toString() + "\n";
    const auto start = [&](const std::string &kind, const std::string &name, const std::string &settings) {
        const std::string path = m_options.directory + "/" + name;
        std::ofstream(path + ".yaml") << "name: " << name << "\n" << tableLine << settings;
        m_processes.push_back(std::make_unique<SoakProcess>(
            name, std::vector<std::string>{m_options.program, "pool", kind, "--settings", path + ".yaml"}, path + ".log"));
        closeDescriptorsOnExec();
        m_processes.back()->start();
    };
    static const std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        m_callerAddresses.push_back(freeEndpoint().toString());
        m_readyAddresses.push_back(freeEndpoint().toString());
        start("entry", "entry-" + std::to_string(index),
              "failure_domain: " + zones[index % zones.size()] + "\ncaller_address: " + m_callerAddresses.back()
                  + "\nready_address: " + m_readyAddresses.back() + "\nmetrics_address: " + freeEndpoint().toString()
                  + "\nstale_limit_ms: 5000\nstop_ms: 6000\nremote_factor: 3\nprocessor_share: 0.25\nprocessor_cores: 1\n");
    }
    for (std::size_t index = 0; index < m_options.executors; ++index) {
        const std::string zone = zones[index % zones.size()];
        const Endpoint rpc = freeEndpoint();
        const Endpoint control = freeEndpoint();
        m_executorEndpoints.push_back(freeEndpoint());
        m_executorProxyEndpoints.push_back(freeEndpoint());
        m_executorProxies.push_back(
            std::make_unique<SoakProxy>(m_loop.context(), m_executorProxyEndpoints.back(), m_executorEndpoints.back()));
        const Endpoint agentProxy = freeEndpoint();
        m_agentProxies.push_back(std::make_unique<SoakProxy>(m_loop.context(), agentProxy, rpc));
        m_agentProxies.back()->setFault(m_options.agentDelay > Duration::zero() ? ProxyFault::Delayed : ProxyFault::None,
                                        m_options.agentDelay);
        m_store->setAlias(PoolRows::keyOf(PoolRows::workerPrefix, rpc.toString()),
                          PoolRows::keyOf(PoolRows::workerPrefix, agentProxy.toString()));
        m_fleet.executors.push_back(std::make_unique<Executor>(
            m_loop, m_http, m_fleet, "i-" + std::to_string(7'000'000 + index), m_executorEndpoints.back(), control.toString(), zone,
            std::vector<std::string>{index < 2 ? "kind-a" : "kind-b", "rack-" + std::to_string(index / 3)}));
        start("agent", "agent-" + std::to_string(index),
              "failure_domain: " + zone + "\nannounce_address: " + control.toString() + "\nrpc_address: " + rpc.toString()
                  + "\nmetrics_address: " + freeEndpoint().toString() + "\nworker_url: http://" + m_executorProxyEndpoints.back().toString()
                  + "\n");
    }
}

Play::~Play()
{
    for (const std::unique_ptr<SoakProcess> &process : m_processes) {
        process->kill();
    }
}

void Play::writeConfiguration()
{
    Json routes = Json::array();
    int priority = 0;
    for (const char *name : {"urgent", "normal", "bulk"}) {
        Json route{{"name", name},          {"host", host},     {"pathPrefix", "/" + std::string(name) + "/"},
                   {"service", "desk"},     {"maxAttempts", 2}, {"slackFactor", 2.0},
                   {"targetLatencyMs", 500}};
        if (priority > 0) {
            route["priority"] = priority;
        }
        ++priority;
        routes.push_back(route);
    }
    const Json tenants = {{{"name", "tenant"}, {"apiKeys", {"key"}}, {"guaranteed", {{"gpu", 8}}}}};
    const Json services = {{{"name", "desk"}, {"admissionCheck", false}}};
    m_store->write("op", "config", Json{{"version", 3}, {"routes", routes}, {"services", services}, {"tenants", tenants}}.dump());
}

void Play::record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", seconds());
    m_record << time << line << "\n";
}

void Play::violate(const std::string &line)
{
    record("RULE BROKEN: " + line);
    m_violations.push_back(line);
}

double Play::seconds() const
{
    return static_cast<double>((EventLoop::now() - m_begin).count()) / 1e6;
}

int Play::run(std::function<void()> onReady)
{
    m_onReady = std::move(onReady);
    m_loop.onShutdown([this] {
        fail("stopped from outside");
    });
    m_loop.timers().subscribe(EventLoop::now() + fromMilliseconds(500), [this](TimePoint) {
        waitUntilReady();
    });
    m_loop.run();
    record(m_failed ? "could not run" : m_violations.empty() ? "no rule broken" : "rules broken: " + std::to_string(m_violations.size()));
    m_record.flush();
    for (std::size_t index = 0; index < m_violations.size() && index < 5; ++index) {
        std::cout << m_violations[index] << "\n";
    }
    return m_failed ? 2 : m_violations.empty() ? 0 : 1;
}

void Play::waitUntilReady()
{
    m_readyEntries = 0;
    for (const std::string &address : m_readyAddresses) {
        HttpRequest request;
        request.url = "http://" + address + "/api/readyz";
        request.timeoutMilliseconds = 800;
        m_http.send(std::move(request), [this](const HttpReply &reply) {
            const bool ready = reply.delivery == HttpDelivery::Complete && reply.status == 200;
            m_loop.post([this, ready] {
                m_readyEntries += ready ? 1 : 0;
            });
        });
    }
    m_loop.timers().subscribe(EventLoop::now() + fromMilliseconds(1000), [this](TimePoint now) {
        if (m_readyEntries == m_readyAddresses.size()) {
            // The owner needs a moment to hear of all workers.
            m_loop.timers().subscribe(now + fromMilliseconds(4000), [this](TimePoint ready) {
                m_begin = ready;
                record("traffic starts");
                m_onReady();
            });
        } else if (++m_readyTries > 20) {
            fail("the entries did not become ready");
        } else {
            waitUntilReady();
        }
    });
}

void Play::finish()
{
    m_loop.stop();
}

void Play::fail(const std::string &reason)
{
    record("FAILED: " + reason);
    std::cout << reason << "\n";
    m_failed = true;
    m_loop.stop();
}

void Play::at(std::int64_t milliseconds, std::function<void()> function)
{
    m_loop.timers().subscribe(m_begin + fromMilliseconds(milliseconds), [function = std::move(function)](TimePoint) {
        function();
    });
}

void Play::call(const std::string &method, const std::string &path, std::size_t entry, const std::string &body,
                std::function<void(const HttpReply &)> callback)
{
    HttpRequest request;
    request.method = method;
    request.url = "http://" + m_callerAddresses[entry] + path;
    request.headers = {{"Api-Key", "key"}, {"Deadline-Ms", "3000"}, {"Content-Type", "application/json"}};
    request.body = body;
    request.timeoutMilliseconds = clientTimeoutMs;
    request.ownConnection = true;
    m_http.send(std::move(request), [this, callback = std::move(callback)](const HttpReply &reply) {
        m_loop.post([callback, reply] {
            callback(reply);
        });
    });
}

void Play::submit(const std::string &id, const std::string &queue, const Json &body, std::vector<TaskNature> steps)
{
    Job &job = m_jobs[id];
    job.path = "/" + queue + "/" + id;
    job.body = body;
    job.steps = std::move(steps);
    job.entry = m_nextEntry++ % m_options.entries;
    handIn(id);
}

void Play::handIn(const std::string &id)
{
    Job &job = m_jobs.at(id);
    const std::size_t entry = (job.entry + static_cast<std::size_t>(job.tries)) % m_options.entries;
    ++job.tries;
    call("POST", job.path, entry, job.body.dump(), [this, id, entry](const HttpReply &reply) {
        Job &job = m_jobs.at(id);
        const bool complete = reply.delivery == HttpDelivery::Complete;
        record("POST " + job.path + " at entry " + std::to_string(entry) + ": " + (complete ? std::to_string(reply.status) : reply.error));
        if (complete && reply.status == 200) {
            job.accepted = true;
            job.acceptedAt = EventLoop::now();
        } else if (job.tries < mostTries && !(complete && (reply.status == 400 || reply.status == 404))) {
            m_loop.timers().subscribe(EventLoop::now() + fromMilliseconds(1000), [this, id](TimePoint) {
                handIn(id);
            });
        }
    });
}

void Play::askAll()
{
    for (const auto &[id, job] : m_jobs) {
        if (!job.accepted || job.shownEnded) {
            continue;
        }
        const std::size_t entry = m_nextEntry++ % m_options.entries;
        call("GET", job.path, entry, "", [this, id = id, entry](const HttpReply &reply) {
            Job &job = m_jobs.at(id);
            job.lastStatus = reply.delivery == HttpDelivery::Complete ? reply.status : 0;
            const Json body = Json::parse(reply.body, nullptr, false);
            job.state = body.is_object() ? body.value("state", "") : "";
            job.shownEnded = job.state == "completed" || job.state == "failed" || job.state == "cancelled";
            record("GET " + job.path + " at entry " + std::to_string(entry) + ": " + std::to_string(job.lastStatus) + " " + job.state);
        });
    }
}

void Play::askPending(const std::string &queue, std::size_t entry, std::function<void(std::int64_t)> callback)
{
    call("GET", "/" + queue + "/", entry, "", [this, queue, entry, callback = std::move(callback)](const HttpReply &reply) {
        const Json body = Json::parse(reply.body, nullptr, false);
        const bool answered = reply.delivery == HttpDelivery::Complete && reply.status == 200 && body.is_object();
        record("GET /" + queue + "/ at entry " + std::to_string(entry) + ": " + std::to_string(reply.status) + " " + reply.body);
        if (answered) {
            callback(body.value("pending", std::int64_t{0}));
        }
    });
}

bool Play::hasBegun(const std::string &id) const
{
    return std::ranges::any_of(m_fleet.starts, [&](const Start &start) {
        return start.task.starts_with(id + ".");
    });
}

bool Play::isRunning(const std::string &id) const
{
    return std::ranges::any_of(m_fleet.executors, [&](const std::unique_ptr<Executor> &executor) {
        return executor->runsJob(id);
    });
}

void Play::setRefused(std::size_t index, bool refused)
{
    if (refused) {
        m_executorProxies[index]->reset();
        m_executorProxies[index].reset();
    } else {
        m_executorProxies[index]
            = std::make_unique<SoakProxy>(m_loop.context(), m_executorProxyEndpoints[index], m_executorEndpoints[index]);
    }
}

void Play::setCut(std::size_t index, bool cut)
{
    m_agentProxies[index]->setFault(cut ? ProxyFault::Silenced : ProxyFault::None);
    if (!cut) {
        m_agentProxies[index]->reset(); // what the partition held up is lost with its connections
    }
}

void Play::checkRuns(std::uint32_t attempts)
{
    const auto stamp = [this](TimePoint time) {
        return std::to_string(static_cast<double>((time - m_begin).count()) / 1e6) + " s";
    };
    const auto name = [](const Start &start) {
        return start.task + "#" + std::to_string(start.run) + " on " + start.executor;
    };
    std::map<std::string, std::vector<const Start *>> byTask;
    for (const Start &start : m_fleet.starts) {
        std::uint32_t failed = 0;
        for (const Start *earlier : byTask[start.task]) {
            const bool over = !earlier->how.empty() && earlier->endedAt <= start.at;
            if (!over) {
                violate("TWICE: " + name(start) + " started at " + stamp(start.at) + " beside " + name(*earlier));
            } else if (earlier->how == "done" && earlier->noted) {
                violate("TWICE: " + name(start) + " started at " + stamp(start.at) + " after " + name(*earlier) + " had ended done at "
                        + stamp(earlier->endedAt) + ", and that end was taken note of");
            }
            failed += over && earlier->how == "failed" && earlier->noted ? 1 : 0;
        }
        if (failed >= attempts) {
            violate("BUDGET: " + name(start) + " started at " + stamp(start.at) + " after " + std::to_string(failed)
                    + " runs had ended failed and were taken note of; maxAttempts is " + std::to_string(attempts));
        }
        const std::string id = start.task.substr(0, start.task.find('.'));
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end()) {
            violate("UNASKED: " + name(start) + ", which no client sent");
        } else if (job->second.body.value("spec", "") != start.spec) {
            violate("UNASKED: " + name(start) + " came with another spec: " + std::to_string(start.spec.size()) + " bytes instead of "
                    + std::to_string(job->second.body.value("spec", "").size()));
        }
        byTask[start.task].push_back(&start);
    }
}

void Play::checkLostThenFinish(const Room &task)
{
    askAll();
    record("looking for jobs that have nothing running");
    m_idleSince.clear();
    sampleLost(task, EventLoop::now() + lostWindow + fromMilliseconds(500));
}

void Play::sampleLost(const Room &task, TimePoint until)
{
    const TimePoint now = EventLoop::now();
    Room free;
    Room used;
    Room all;
    for (const std::unique_ptr<Executor> &executor : m_fleet.executors) {
        const Room here = executor->used();
        used.cpu += here.cpu;
        used.gpu += here.gpu;
        all.cpu += executor->room().cpu;
        all.gpu += executor->room().gpu;
        free.cpu += executor->room().cpu - here.cpu;
        free.gpu += executor->room().gpu - here.gpu;
    }
    const bool roomTwice = free.cpu >= 2 * task.cpu && free.gpu >= 2 * task.gpu;
    const bool underHalf = 2 * used.cpu < all.cpu && 2 * used.gpu < all.gpu;
    for (const auto &[id, job] : m_jobs) {
        const bool waits = job.accepted && !job.shownEnded && !job.cancelled && !isRunning(id);
        if (!waits || !roomTwice || !underHalf) {
            m_idleSince.erase(id);
            continue;
        }
        const TimePoint since = m_idleSince.try_emplace(id, now).first->second;
        if (now - since >= lostWindow) {
            violate("LOST: " + job.path + " was accepted, is shown as '" + job.state + "' (" + std::to_string(job.lastStatus)
                    + ") and has had nothing running for 3 s, with " + std::to_string(free.cpu / 1000) + " of "
                    + std::to_string(all.cpu / 1000) + " cores and " + std::to_string(free.gpu) + " of " + std::to_string(all.gpu)
                    + " GPUs free");
            m_idleSince[id] = now + fromMilliseconds(3'600'000);
        }
    }
    if (now >= until) {
        finish();
        return;
    }
    m_loop.timers().subscribe(now + fromMilliseconds(100), [this, task, until](TimePoint) {
        sampleLost(task, until);
    });
}

} // namespace review
