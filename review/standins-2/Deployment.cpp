#include "Deployment.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review
{
namespace
{

using Json = nlohmann::json;

constexpr const char *host = "nony24.example";
constexpr const char *apiKey = "d4a3hwrr6x73d3zji9n7";
constexpr const char *service = "huvo11a";
constexpr int deadlineMs = 3000;

// Ports on each machine, counted from the base; equal on all machines, as on the users' platform.
constexpr std::uint16_t frontPort = 0;
constexpr std::uint16_t readyPort = 1;
constexpr std::uint16_t controlPort = 2;
constexpr std::uint16_t appPort = 3;
constexpr std::uint16_t storePort = 4;
constexpr std::uint16_t internalPort = 5;
constexpr std::uint16_t usedPorts = 8;

constexpr const char *storeAddress = "127.0.7.1";

std::string entryAddress(std::size_t index)
{
    return "127.0.1." + std::to_string(index + 1);
}

std::string sideAddress(std::size_t index)
{
    return "127.0.2." + std::to_string(index + 1);
}

bool isFree(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_ANY);
    const bool free = bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    close(socket);
    return free;
}

std::uint16_t findPorts()
{
    std::random_device random;
    for (int attempt = 0; attempt < 200; ++attempt) {
        const auto base = static_cast<std::uint16_t>(20000 + random() % 10000);
        bool free = true;
        for (std::uint16_t port = base; port < base + usedPorts; ++port) {
            free = free && isFree(port);
        }
        if (free) {
            return base;
        }
    }
    throw std::runtime_error("no free ports");
}

/// Fills in a template of the deploy file: values, and sections that are kept if the value is present.
std::string render(std::string text, const std::map<std::string, std::string> &fields)
{
    for (std::size_t begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#")) {
        const std::size_t nameEnd = text.find("}}", begin);
        const std::string name = text.substr(begin + 3, nameEnd - begin - 3);
        const std::string closing = "{{/" + name + "}}";
        const std::size_t end = text.find(closing, nameEnd);
        const std::string inner = fields.contains(name) ? text.substr(nameEnd + 2, end - nameEnd - 2) : "";
        text.replace(begin, end + closing.size() - begin, inner);
    }
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const std::size_t end = text.find("}}", begin);
        const auto value = fields.find(text.substr(begin + 2, end - begin - 2));
        text.replace(begin, end + 2 - begin, value == fields.end() ? "" : value->second);
    }
    return text;
}

} // namespace

ProductProcess::ProductProcess(std::string name, std::string role, std::string settingsPath, std::string logPath)
    : m_name(std::move(name))
    , m_role(std::move(role))
    , m_settingsPath(std::move(settingsPath))
    , m_logPath(std::move(logPath))
{
}

ProductProcess::~ProductProcess()
{
    kill();
}

void ProductProcess::start()
{
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case, however that ends
        const int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl("target/src/banyanlock", "banyanlock", "pool", m_role.c_str(), "--settings", m_settingsPath.c_str(), nullptr);
        _exit(127);
    }
}

void ProductProcess::signal(int number)
{
    if (m_process > 0) {
        ::kill(m_process, number);
    }
}

void ProductProcess::stop()
{
    signal(SIGTERM);
    for (int step = 0; step < 600 && m_process > 0; ++step) {
        if (waitpid(m_process, nullptr, WNOHANG) == m_process) {
            m_process = -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    kill();
}

void ProductProcess::kill()
{
    if (m_process > 0) {
        ::kill(m_process, SIGCONT);
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
}

bool ProductProcess::hasEnded()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = -1;
        return true;
    }
    return false;
}

Deployment::Deployment(Record &record, std::size_t entries, const std::vector<SideMachine> &sides)
    : m_record(record)
    , m_portBase(findPorts())
    , m_world(record)
{
    std::string folder = (std::filesystem::temp_directory_path() / "banyanlock-review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = folder;
    m_store = std::make_unique<Store>(storeAddress, m_portBase + storePort);
    const auto at = [this](const std::string &address, std::uint16_t port) {
        return address + ":" + std::to_string(m_portBase + port);
    };
    const std::map<std::string, std::string> common{{"platform.address", at(storeAddress, storePort)},
                                                    {"platform.maxRowBytes", "65536"},
                                                    {"internalPorts.0", std::to_string(m_portBase + internalPort)},
                                                    {"internalPorts.1", std::to_string(m_portBase + internalPort + 1)},
                                                    {"bounds.revokeMs", "5000"},
                                                    {"bounds.graceS", "6"},
                                                    {"bounds.remoteFactor", "3"},
                                                    {"limits.cores", "1"},
                                                    {"limits.maxFds", "4096"}};
    for (std::size_t index = 0; index < entries; ++index) {
        std::map<std::string, std::string> fields = common;
        const std::string address = entryAddress(index);
        fields["nodeName"] = "edge-" + std::to_string(index + 1);
        fields["zone"] = "zone-" + std::to_string(index % 3 + 1);
        fields["ip"] = address;
        fields["listen.front"] = at(address, frontPort);
        fields["listen.ready"] = at(address, readyPort);
        fields["limits.cpuShare"] = "0.25";
        fields["limits.memoryMb"] = "260";
        m_entries.push_back(std::make_unique<ProductProcess>(fields["nodeName"], "entry", writeSettings("entry", fields),
                                                             m_folder + "/" + fields["nodeName"] + ".log"));
    }
    for (std::size_t index = 0; index < sides.size(); ++index) {
        std::map<std::string, std::string> fields = common;
        const std::string address = sideAddress(index);
        fields["nodeName"] = "side-" + std::to_string(index + 1);
        fields["zone"] = sides[index].zone;
        fields["ip"] = address;
        fields["listen.control"] = at(address, controlPort);
        fields["app"] = at(address, appPort);
        fields["limits.memoryMb"] = "128";
        m_agents.push_back(std::make_unique<ProductProcess>(fields["nodeName"], "agent", writeSettings("agent", fields),
                                                            m_folder + "/" + fields["nodeName"] + ".log"));
        ExecutorPlace place;
        place.id = "i-" + std::to_string(index + 1);
        place.service = service;
        place.zone = sides[index].zone;
        place.labels = {sides[index].kind, sides[index].rack};
        place.address = address;
        place.port = m_portBase + appPort;
        place.controlPort = m_portBase + controlPort;
        m_executors.push_back(&m_world.add(place));
    }
    Json routes = Json::array();
    for (std::uint32_t priority = 0; priority < 3; ++priority) {
        routes.push_back({{"name", "r-" + std::to_string(priority)},
                          {"host", host},
                          {"pathPrefix", pathOf(priority, "")},
                          {"kind", "non_idempotent"},
                          {"timeoutMs", 3000},
                          {"targetLatencyMs", 1200},
                          {"priority", priority},
                          {"service", service},
                          {"maxAttempts", 3},
                          {"slackFactor", 3.0},
                          {"public", false}});
    }
    m_configuration = {
        {"version", 7},
        {"routes", routes},
        {"services",
         Json::array({{{"name", service}, {"healthPath", "/healthz"}, {"maxConns", 64}, {"admissionCheck", false}, {"headroom", false}}})},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}},
        {"tenants", Json::array({{{"name", "kaje80"}, {"apiKeys", {apiKey}}, {"priority", 1}, {"guaranteed", {{"gpu", 16}}}}})}};
}

Deployment::~Deployment()
{
    for (const auto &agent : m_agents) {
        agent->kill();
    }
    for (const auto &entry : m_entries) {
        entry->kill();
    }
    const char *keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    } else {
        std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
    }
}

std::string Deployment::writeSettings(const std::string &templateName, const std::map<std::string, std::string> &fields)
{
    std::ifstream source("deploy/" + templateName + ".yaml");
    std::ostringstream text;
    text << source.rdbuf();
    const std::string path = m_folder + "/" + fields.at("nodeName") + ".yaml";
    std::ofstream(path) << render(text.str(), fields);
    return path;
}

void Deployment::start(bool executorsToo)
{
    m_store->start();
    m_store->put("op", "config", m_configuration);
    for (const auto &agent : m_agents) {
        agent->start();
    }
    for (const auto &entry : m_entries) {
        entry->start();
    }
    for (Executor *executor : m_executors) {
        if (executorsToo) {
            executor->start();
        }
    }
}

bool Deployment::waitUntilReady(int timeoutMilliseconds)
{
    const std::int64_t until = elapsedMilliseconds() + timeoutMilliseconds;
    for (std::size_t index = 0; index < m_entries.size();) {
        const auto answer = sendRequest(entryAddress(index), m_portBase + readyPort, "GET", "/api/readyz", {}, "", 1000);
        if (answer && answer->status == 200) {
            ++index;
        } else if (elapsedMilliseconds() >= until) {
            return false;
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
    while (owner().empty()) {
        if (elapsedMilliseconds() >= until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    // A job that shows that tasks start and end.
    if (!submit(2, "00000000000000aa",
                {{"spec", "warm-up"}, {"phases", {{{"count", 1}, {"cpu", 100}, {"memMb", 10}, {"estimateMs", 100}}}}},
                {{1, false, false, 100, 100, 10, 0}})) {
        return false;
    }
    while (state(2, "00000000000000aa") != "completed") {
        if (elapsedMilliseconds() >= until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    return true;
}

std::string Deployment::pathOf(std::uint32_t priority, const std::string &id) const
{
    return "/pule25" + std::to_string(priority) + "/" + id;
}

std::optional<HttpAnswer> Deployment::call(std::size_t entry, const std::string &method, const std::string &path, const std::string &body)
{
    const std::optional<HttpAnswer> answer
        = sendRequest(entryAddress(entry), m_portBase + frontPort, method, path,
                      {{"Host", host}, {"Api-Key", apiKey}, {"Deadline-Ms", std::to_string(deadlineMs)}}, body, deadlineMs);
    m_record.write("client: " + method + " " + path + " at " + m_entries[entry]->name() + (body.empty() ? "" : " " + body) + " -> "
                   + (answer ? std::to_string(answer->status) + " " + answer->body : "no answer"));
    return answer;
}

bool Deployment::submit(std::uint32_t priority, const std::string &id, const Json &job, std::vector<StepModel> steps, int tries)
{
    m_world.addJob(id, std::move(steps));
    for (int attempt = 0; attempt < tries; ++attempt) {
        const auto answer = call(m_nextEntry++ % m_entries.size(), "POST", pathOf(priority, id), job.dump());
        if (answer && answer->status / 100 == 2) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    return false;
}

std::string Deployment::state(std::uint32_t priority, const std::string &id)
{
    const auto answer = call(m_nextEntry++ % m_entries.size(), "GET", pathOf(priority, id), "");
    if (!answer) {
        return "no answer";
    }
    const Json body = Json::parse(answer->body, nullptr, false);
    return body.is_object() && body.contains("state") ? body["state"].get<std::string>() : std::to_string(answer->status);
}

int Deployment::cancel(std::uint32_t priority, const std::string &id)
{
    const auto answer = call(m_nextEntry++ % m_entries.size(), "DELETE", pathOf(priority, id), "");
    return answer ? answer->status : 0;
}

std::string Deployment::owner()
{
    const Json row = Json::parse(m_store->valueOf("pool", "owner"), nullptr, false);
    return row.is_object() ? row.value("owner", "") : "";
}

} // namespace review
