#include "Executors.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace review
{
namespace
{

using Json = nlohmann::json;

// From the bounds of a small deployment.
constexpr std::int64_t holdMaxMs = 6000;
constexpr std::int64_t gangTimeoutMs = 3000;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t checkpointMs = 1000;
constexpr std::int64_t stopMs = 150; // stopTimeoutMs is 200
constexpr std::int64_t maxWaitMs = 2000;
constexpr std::size_t maxListedEnds = 500;

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

ExecutorWorld::~ExecutorWorld()
{
    for (const auto &executor : m_executors) {
        executor->crash();
    }
}

Executor &ExecutorWorld::add(const ExecutorPlace &place)
{
    m_executors.push_back(std::make_unique<Executor>(*this, place));
    return *m_executors.back();
}

void ExecutorWorld::addJob(const std::string &id, std::vector<StepModel> steps)
{
    const std::lock_guard lock(m_mutex);
    m_jobs[id] = std::move(steps);
}

std::size_t ExecutorWorld::endTasks(const std::string &prefix, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    std::size_t ended = 0;
    for (const auto &executor : m_executors) {
        const std::map<Executor::RunId, Executor::Run> runs = executor->m_running;
        for (const auto &[run, state] : runs) {
            if (run.first.starts_with(prefix)) {
                executor->end(run, how);
                ++ended;
            }
        }
    }
    return ended;
}

std::vector<StartEvent> ExecutorWorld::starts()
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::vector<EndEvent> ExecutorWorld::ends()
{
    const std::lock_guard lock(m_mutex);
    return m_ends;
}

std::size_t ExecutorWorld::running(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto &executor : m_executors) {
        count += static_cast<std::size_t>(std::ranges::count_if(executor->m_running, [&](const auto &entry) {
            return entry.first.first.starts_with(prefix);
        }));
    }
    return count;
}

void ExecutorWorld::holdUpStart(const std::string &task)
{
    const std::lock_guard lock(m_mutex);
    m_heldUpTask = task;
}

Executor *ExecutorWorld::holder()
{
    const std::lock_guard lock(m_mutex);
    return m_holder;
}

StepModel ExecutorWorld::stepOf(const std::string &task) const
{
    std::istringstream stream(task);
    std::string job;
    std::string occurrence;
    std::string step;
    std::getline(stream, job, '.');
    std::getline(stream, occurrence, '.');
    std::getline(stream, step, '.');
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() || std::stoul(step) >= found->second.size() ? StepModel() : found->second[std::stoul(step)];
}

std::size_t ExecutorWorld::presentMembers(const std::string &task, std::uint32_t run) const
{
    const std::string prefix = task.substr(0, task.rfind('.') + 1);
    std::size_t present = 0;
    for (const auto &executor : m_executors) {
        present += static_cast<std::size_t>(std::ranges::count_if(executor->m_running, [&](const auto &entry) {
            return entry.first.second == run && entry.first.first.starts_with(prefix);
        }));
    }
    return present;
}

Executor::Executor(ExecutorWorld &world, ExecutorPlace place)
    : m_world(world)
    , m_place(std::move(place))
    , m_server(m_place.address, m_place.port, [this](const HttpRequest &request) {
        return serve(request);
    })
{
}

Executor::~Executor()
{
    crash();
}

void Executor::start(bool heldUpFirst)
{
    {
        const std::lock_guard lock(m_world.m_mutex);
        m_born = unixMilliseconds();
        m_bornElapsed = elapsedMilliseconds();
        m_sequence = 0;
        m_fence = 0;
        m_leaseEnd = 0;
        m_finished.clear();
        m_nextEnd = 1;
        m_closed.clear();
        m_alive = true;
        m_world.m_record.write(m_place.id + " starts, born " + std::to_string(m_born));
        if (heldUpFirst) {
            const HttpAnswer answer = startRun(m_world.m_heldUpStart);
            m_world.m_record.write(m_place.id + " carries out the held-up start " + m_world.m_heldUpStart.dump() + " -> "
                                   + std::to_string(answer.status) + " " + answer.body);
        }
    }
    m_server.start();
    m_worker = std::thread([this] {
        work();
    });
    m_announcer = std::thread([this] {
        announce();
    });
}

void Executor::crash()
{
    if (!m_alive.exchange(false)) {
        return;
    }
    m_server.stop();
    m_worker.join();
    m_announcer.join();
    const std::lock_guard lock(m_world.m_mutex);
    for (const auto &[run, state] : m_running) {
        m_world.m_ends.push_back({elapsedMilliseconds(), m_place.id, run.first, run.second, "crashed"});
    }
    m_running.clear();
    m_stopping.clear();
    m_world.m_record.write(m_place.id + " has crashed");
}

std::int64_t Executor::clock() const
{
    return elapsedMilliseconds() - m_bornElapsed;
}

Json Executor::clockDocument() const
{
    return {{"clockMs", clock()}, {"born", m_born}};
}

Json Executor::lists() const
{
    Json running = Json::array();
    for (const auto &[run, state] : m_running) {
        const std::int64_t worked = state.saved + (state.workingSince == 0 ? 0 : elapsedMilliseconds() - state.workingSince);
        const std::int64_t percent = state.step.longRunning
            ? 100
            : std::clamp<std::int64_t>(100 * worked / std::max<std::int64_t>(state.step.workMilliseconds, 1), 0, 100);
        running.push_back({run.first, run.second, state.checkpoint, percent});
    }
    Json finished = Json::array();
    for (const End &end : m_finished) {
        if (finished.size() < maxListedEnds) {
            finished.push_back({end.number, end.run.first, end.run.second, end.how, end.checkpoint});
        }
    }
    Json document = clockDocument();
    document["running"] = std::move(running);
    document["finished"] = std::move(finished);
    return document;
}

HttpAnswer Executor::serve(const HttpRequest &request)
{
    const auto expected = request.headers.find("expected-instance");
    if (expected != request.headers.end() && expected->second != m_place.id) {
        return {421, clockDocument().dump()};
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return {400, "{}"};
    }
    if (request.path == "/api/hold") {
        return hold(body);
    }
    const std::lock_guard lock(m_world.m_mutex);
    if (request.path == "/api/run-start" && m_world.m_holder == nullptr && body.at("task") == m_world.m_heldUpTask) {
        m_world.m_holder = this;
        m_world.m_heldUpStart = body;
        m_world.m_record.write(m_place.id + " gets " + request.path + " " + request.body + ", which is held up and not answered");
        return {200, "", true};
    }
    const HttpAnswer answer = request.path == "/api/run-start" ? startRun(body)
        : request.path == "/api/run-stop"                      ? stopRun(body)
                                                               : HttpAnswer{404, "{}"};
    m_world.m_record.write(m_place.id + " gets " + request.path + " " + request.body + " -> " + std::to_string(answer.status) + " "
                           + answer.body);
    return answer;
}

bool Executor::isFenced(const Json &body)
{
    const auto fence = body.value("fencingToken", std::uint64_t{0});
    if (fence < m_fence) {
        return true;
    }
    m_fence = fence;
    return false;
}

void Executor::extendLease(const Json &body)
{
    if (body.contains("deadlineMs")) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(body["deadlineMs"].get<std::int64_t>(), clock() + holdMaxMs));
    }
}

bool Executor::fits(const StepModel &step) const
{
    StepModel used = step;
    for (const auto &[run, state] : m_running) {
        used.cpu += state.step.cpu;
        used.memory += state.step.memory;
        used.accelerators += state.step.accelerators;
    }
    return used.cpu <= m_place.cpu && used.memory <= m_place.memory && used.accelerators <= m_place.accelerators;
}

HttpAnswer Executor::startRun(const Json &body)
{
    advance();
    const RunId run(body.at("task"), body.at("run"));
    const auto refuse = [&](const char *reason) {
        Json document = clockDocument();
        document["reason"] = reason;
        return HttpAnswer{409, document.dump()};
    };
    if (isFenced(body)) {
        return refuse("fence");
    }
    if (m_running.contains(run)) {
        extendLease(body);
        return {200, clockDocument().dump()};
    }
    if (body.at("deadlineMs").get<std::int64_t>() < clock()) {
        return refuse("late");
    }
    extendLease(body);
    const auto closed = m_closed.find(run.first);
    if (closed != m_closed.end() && run.second <= closed->second) {
        return refuse("old");
    }
    Run state;
    state.step = m_world.stepOf(run.first);
    state.startedAt = elapsedMilliseconds();
    state.checkpoint = body.value("checkpointedAt", "");
    m_world.m_starts.push_back({state.startedAt, m_place.id, run.first, run.second, body.value("spec", ""), state.checkpoint});
    if (!fits(state.step)) {
        m_world.m_record.write(m_place.id + " is over its capacity");
    }
    m_running[run] = state;
    return {200, clockDocument().dump()};
}

HttpAnswer Executor::stopRun(const Json &body)
{
    advance();
    const RunId run(body.at("task"), body.at("run"));
    if (isFenced(body)) {
        Json document = clockDocument();
        document["reason"] = "fence";
        return {409, document.dump()};
    }
    if (m_running.contains(run)) {
        m_stopping.try_emplace(run, elapsedMilliseconds() + stopMs);
    } else {
        std::uint32_t &closed = m_closed[run.first];
        closed = std::max(closed, run.second);
    }
    return {200, clockDocument().dump()};
}

HttpAnswer Executor::hold(const Json &body)
{
    const std::int64_t until = elapsedMilliseconds() + std::min(body.value("waitMs", std::int64_t{0}), maxWaitMs);
    {
        const std::lock_guard lock(m_world.m_mutex);
        advance();
        if (isFenced(body)) {
            Json document = clockDocument();
            document["reason"] = "fence";
            return {409, document.dump()};
        }
        extendLease(body);
        const auto seen = body.value("lastSeen", std::uint64_t{0});
        while (!m_finished.empty() && m_finished.front().number <= seen) {
            m_world.m_record.write(m_place.id + " is told that the end of " + m_finished.front().run.first + " run "
                                   + std::to_string(m_finished.front().run.second) + " is taken note of");
            m_finished.pop_front();
        }
    }
    for (;;) {
        {
            const std::lock_guard lock(m_world.m_mutex);
            advance();
            if (!m_finished.empty() || elapsedMilliseconds() >= until || m_server.isStopping()) {
                return {200, lists().dump()};
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void Executor::end(const RunId &run, const std::string &how)
{
    const auto found = m_running.find(run);
    if (found == m_running.end()) {
        return;
    }
    m_finished.push_back({m_nextEnd++, run, how, found->second.checkpoint});
    m_running.erase(found);
    m_stopping.erase(run);
    std::uint32_t &closed = m_closed[run.first];
    closed = std::max(closed, run.second);
    m_world.m_ends.push_back({elapsedMilliseconds(), m_place.id, run.first, run.second, how});
    m_world.m_record.write(m_place.id + ": " + run.first + " run " + std::to_string(run.second) + " ends " + how);
}

void Executor::advance()
{
    const std::int64_t now = elapsedMilliseconds();
    const std::map<RunId, Run> before = m_running;
    if (!before.empty() && clock() > m_leaseEnd) {
        for (const auto &[run, state] : before) {
            end(run, "lapsed");
        }
        return;
    }
    for (const auto &[run, unused] : before) {
        const auto found = m_running.find(run);
        if (found == m_running.end()) {
            continue;
        }
        Run &state = found->second;
        const auto stopping = m_stopping.find(run);
        if (stopping != m_stopping.end() && now >= stopping->second) {
            end(run, "stopped");
            continue;
        }
        const bool whole = !state.step.gang || m_world.presentMembers(run.first, run.second) >= state.step.count;
        if (!whole) {
            if (state.workingSince != 0) {
                end(run, "broken");
            } else if (now - state.startedAt > gangTimeoutMs) {
                end(run, "alone");
            }
            continue;
        }
        if (state.workingSince == 0) {
            state.workingSince = now;
        }
        const std::int64_t worked = now - state.workingSince;
        if (worked >= checkpointMs) {
            char text[32];
            std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(worked / checkpointMs));
            state.checkpoint = text;
        }
        if (!state.step.longRunning && worked >= state.step.workMilliseconds) {
            if (state.step.gang) {
                m_world.endTasks(run.first.substr(0, run.first.rfind('.') + 1), "done");
            } else {
                end(run, "done");
            }
        }
    }
}

void Executor::work()
{
    while (m_alive) {
        {
            const std::lock_guard lock(m_world.m_mutex);
            advance();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

void Executor::announce()
{
    std::int64_t next = 0;
    while (m_alive) {
        if (elapsedMilliseconds() < next) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            continue;
        }
        Json body = clockDocument();
        body["service"] = m_place.service;
        body["address"] = m_place.address + ":" + std::to_string(m_place.port);
        body["zone"] = m_place.zone;
        body["version"] = "v1";
        body["slots"] = 8;
        body["state"] = "ready";
        body["coldLeftMs"] = 0;
        body["capacity"] = {{"cpu", m_place.cpu}, {"memMb", m_place.memory}, {"gpu", m_place.accelerators}};
        body["labels"] = m_place.labels;
        body["seq"] = ++m_sequence;
        const auto answer = sendRequest(m_place.address, m_place.controlPort, "PUT", "/api/instances/" + m_place.id, {}, body.dump(), 1000);
        m_world.m_record.write(m_place.id + " announces itself, seq " + std::to_string(m_sequence) + " -> "
                               + (answer ? std::to_string(answer->status) : "no answer"));
        next = elapsedMilliseconds() + (answer && answer->status / 100 == 2 ? heartbeatMs : 300);
    }
}

} // namespace review
