#include "Deployment.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

using Json = nlohmann::json;

constexpr std::array<const char *, 3> zones{"zone-a", "zone-b", "zone-c"};
constexpr std::size_t sidesPerZone = 2;
constexpr const char *service = "desk";
constexpr const char *host = "nony24.example";
constexpr const char *prefix = "/lohu930/";
constexpr const char *apiKey = "key-of-tenant";

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string configuration()
{
    const Json route{{"name", "jobs"}, {"host", host},     {"pathPrefix", prefix}, {"service", service},
                     {"priority", 1},  {"maxAttempts", 4}, {"slackFactor", 3},     {"targetLatencyMs", 1200}};
    const Json tenant{{"name", "tenant"}, {"apiKeys", {apiKey}}, {"guaranteed", {{"gpu", 8}}}};
    return Json{{"version", 7}, {"routes", {route}}, {"services", {{{"name", service}}}}, {"tenants", {tenant}}}.dump();
}

} // namespace

Program::Program(std::vector<std::string> command, std::string log)
    : m_command(std::move(command))
    , m_log(std::move(log))
{
}

Program::~Program()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void Program::start()
{
    std::vector<char *> arguments;
    for (std::string &word : m_command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    constexpr int mode = 0644;
    const int output = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, also if that is killed
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    close(output);
}

void Program::signal(int signal) const
{
    if (m_pid > 0) {
        kill(m_pid, signal);
    }
}

bool Program::isRunning()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

Deployment::Deployment(std::string program, Record &record, std::function<TaskPlan(const std::string &)> plan)
    : log(record)
    , m_program(std::move(program))
    , m_record(record)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_directory = pattern;
    store.put("op", "config", configuration());
    for (std::size_t index = 0; index < zones.size(); ++index) {
        auto entry = std::make_unique<Entry>();
        entry->zone = zones.at(index);
        entry->name = "edge-" + entry->zone + "-1";
        entry->callerPort = freePort();
        entry->readyPort = freePort();
        entry->storeLink = std::make_unique<Proxy>(store.addPort(entry->name));
        const std::string settings
            = writeSettings(entry->name,
                            "name: " + entry->name + "\nfailure_domain: " + entry->zone + "\ncaller_address: " + address(entry->callerPort)
                                + "\nready_address: " + address(entry->readyPort) + "\nmetrics_address: " + address(freePort())
                                + "\ntable_url: http://" + address(entry->storeLink->port())
                                + "\nstale_limit_ms: 5000\nstop_ms: 6000\nremote_factor: 3\ntable_row_bytes: 65536\nprocessor_share: 0.25\n"
                                  "processor_cores: 1\nmemory_mb: 260\nmax_descriptors: 4100\n");
        entry->program = std::make_unique<Program>(std::vector<std::string>{m_program, "pool", "entry", "--settings", settings},
                                                   m_directory + "/" + entry->name + ".log");
        entries.push_back(std::move(entry));
        for (std::size_t number = 0; number < sidesPerZone; ++number) {
            auto side = std::make_unique<Side>();
            side->zone = zones.at(index);
            side->name = "side-" + side->zone + "-" + std::to_string(number + 1);
            side->rack = "r" + std::to_string(index + 1);
            const int announcePort = freePort();
            const int rpcPort = freePort();
            side->storeLink = std::make_unique<Proxy>(store.addPort(side->name));
            side->agentLink = std::make_unique<Proxy>(rpcPort, [this](int port) {
                return nameOfClient(port);
            });
            store.translate("worker/" + address(rpcPort), "worker/" + address(side->agentLink->port()));
            side->executor
                = std::make_unique<Executor>(Executor::Kind{side->name, service, side->zone, side->rack, 8}, announcePort, log, plan);
            const std::string agentSettings
                = writeSettings(side->name,
                                "name: " + side->name + "\nfailure_domain: " + side->zone + "\nannounce_address: " + address(announcePort)
                                    + "\nrpc_address: " + address(rpcPort) + "\nmetrics_address: " + address(freePort())
                                    + "\nworker_url: http://" + address(side->executor->port()) + "\ntable_url: http://"
                                    + address(side->storeLink->port()) + "\nmemory_mb: 128\nmax_descriptors: 4096\n");
            side->program = std::make_unique<Program>(std::vector<std::string>{m_program, "pool", "agent", "--settings", agentSettings},
                                                      m_directory + "/" + side->name + ".log");
            sides.push_back(std::move(side));
        }
    }
}

void Deployment::end()
{
    for (const auto &entry : entries) {
        entry->program.reset();
    }
    for (const auto &side : sides) {
        side->program.reset();
    }
    if (const char *keep = std::getenv("REVIEW_KEEP_LOGS"); keep != nullptr) {
        std::filesystem::copy(m_directory, keep,
                              std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(m_directory);
}

std::string Deployment::writeSettings(const std::string &name, const std::string &text) const
{
    const std::string path = m_directory + "/" + name + ".yaml";
    std::ofstream(path) << text;
    return path;
}

bool Deployment::start()
{
    for (const auto &entry : entries) {
        entry->program->start();
    }
    for (const auto &side : sides) {
        side->program->start();
        side->executor->start();
    }
    constexpr std::int64_t startUp = 20'000;
    constexpr std::int64_t settle = 7000; // until the first owner may place tasks on all workers
    const bool ready = waitFor(startUp, [this] {
        if (owner() == nullptr) {
            return false;
        }
        for (const auto &entry : entries) {
            constexpr std::int64_t probeTime = 500;
            const auto answer = call(entry->readyPort, "GET", "/api/readyz", {{"Host", "127.0.0.1"}}, "", probeTime);
            if (!answer || answer->status != 200) {
                return false;
            }
        }
        return true;
    });
    sleepMs(settle);
    m_record.write(ready ? "the deployment is ready; the pool is owned by " + owner()->name : "the deployment did not get ready");
    return ready;
}

std::string Deployment::nameOfClient(int port) const
{
    for (const auto &entry : entries) {
        if (entry->program->pid() > 0 && hasConnection(entry->program->pid(), port)) {
            return entry->name;
        }
    }
    return "";
}

void Deployment::cutOff(const std::string &zone)
{
    std::set<std::string> inside;
    std::set<std::string> outside;
    for (const auto &entry : entries) {
        (entry->zone == zone ? inside : outside).insert(entry->name);
        if (entry->zone == zone) {
            entry->storeLink->cut();
        }
    }
    for (const auto &side : sides) {
        if (side->zone == zone) {
            side->storeLink->cut();
        }
        side->agentLink->cutFrom(side->zone == zone ? outside : inside);
    }
    m_record.write("the region of " + zone + " is cut off from the other regions and the store");
}

void Deployment::heal()
{
    for (const auto &entry : entries) {
        entry->storeLink->heal();
    }
    for (const auto &side : sides) {
        side->storeLink->heal();
        side->agentLink->heal();
    }
    m_record.write("all links work again");
}

Entry *Deployment::owner()
{
    const Json row = Json::parse(store.text("pool", "owner"), nullptr, false);
    const std::string name = row.is_object() ? row.value("owner", "") : "";
    for (const auto &entry : entries) {
        if (entry->name == name) {
            return entry.get();
        }
    }
    return nullptr;
}

std::pair<int, std::string> Deployment::request(const Entry &entry, const std::string &method, const std::string &job,
                                                const std::string &body)
{
    constexpr std::int64_t deadline = 3000;
    m_record.write("client sends " + method + " " + prefix + job + " to " + entry.name);
    const std::optional<Response> answer
        = call(entry.callerPort, method, prefix + job,
               {{"Host", host}, {"Api-Key", apiKey}, {"Content-Type", "application/json"}, {"Deadline-Ms", std::to_string(deadline)}}, body,
               deadline);
    m_record.write("client gets " + (answer ? std::to_string(answer->status) + " " + answer->body : "no answer") + " for " + method + " "
                   + job);
    return answer ? std::pair(answer->status, answer->body) : std::pair(0, std::string());
}

bool Deployment::waitFor(std::int64_t timeout, const std::function<bool()> &condition)
{
    const std::int64_t until = nowMs() + timeout;
    while (!condition()) {
        if (nowMs() >= until) {
            return false;
        }
        constexpr std::int64_t look = 20;
        sleepMs(look);
    }
    return true;
}

} // namespace review
