#include "Executor.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review
{
namespace
{

using Json = nlohmann::json;

constexpr std::int64_t longestLease = 6000;
constexpr std::int64_t heartbeat = 1500;
constexpr std::int64_t look = 10;

} // namespace

void RunLog::begin(const std::string &executor, const std::string &task, std::uint64_t run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back({executor, task, run, nowMs(), -1, ""});
    m_record.write("run begins: " + task + " run " + std::to_string(run) + " on " + executor);
}

void RunLog::end(const std::string &executor, const std::string &task, std::uint64_t run, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    for (SeenRun &seen : m_runs) {
        if (seen.executor == executor && seen.task == task && seen.run == run && seen.end < 0) {
            seen.end = nowMs();
            seen.how = how;
        }
    }
    m_record.write("run ends: " + task + " run " + std::to_string(run) + " on " + executor + ": " + how);
}

std::vector<SeenRun> RunLog::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

Executor::Executor(Kind kind, int announcePort, RunLog &log, std::function<TaskPlan(const std::string &)> plan)
    : m_kind(std::move(kind))
    , m_id("i-" + m_kind.name)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_bornAt(nowMs())
    , m_announcePort(announcePort)
    , m_port(freePort())
    , m_log(log)
    , m_plan(std::move(plan))
{
}

void Executor::start()
{
    HttpServer(m_port, [this](const Request &request) {
        return serve(request);
    });
    std::thread([this] {
        while (true) {
            advance();
            sleepMs(look);
        }
    }).detach();
    std::thread([this] {
        while (true) {
            announce();
            sleepMs(heartbeat);
        }
    }).detach();
}

void Executor::suspend(std::int64_t milliseconds)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t begin = nowMs();
    sleepMs(milliseconds);
    m_suspendedFor += nowMs() - begin;
}

std::int64_t Executor::clock() const
{
    return nowMs() - m_bornAt - m_suspendedFor + 1;
}

Response Executor::refuse(const char *reason) const
{
    return {409, Json{{"clockMs", clock()}, {"reason", reason}}.dump()};
}

Response Executor::serve(const Request &request)
{
    const auto expected = request.headers.find("expected-instance");
    if (expected != request.headers.end() && expected->second != m_id) {
        return {421, Json{{"clockMs", clock()}}.dump()};
    }
    const Json body = Json::parse(request.body);
    if (request.path == "/api/hold") {
        return hold(body);
    }
    return request.path == "/api/run-start" ? startRun(body) : request.path == "/api/run-stop" ? stopRun(body) : Response{400, "{}"};
}

void Executor::extendLease(const Json &body)
{
    if (body.contains("deadlineMs")) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(body["deadlineMs"].get<std::int64_t>(), clock() + longestLease));
    }
}

Response Executor::startRun(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    const auto fence = body.value("fencingToken", std::uint64_t{0});
    if (fence < m_fence) {
        return refuse("fence");
    }
    m_fence = fence;
    const RunKey key(body.at("task"), body.at("run"));
    if (m_running.contains(key)) {
        return {200, Json{{"clockMs", clock()}}.dump()};
    }
    if (body.at("deadlineMs").get<std::int64_t>() < clock()) {
        return refuse("late");
    }
    extendLease(body);
    if (const auto barred = m_barred.find(key.first); barred != m_barred.end() && key.second <= barred->second) {
        return refuse("old");
    }
    m_running[key] = {clock(), m_plan(key.first)};
    m_log.begin(m_kind.name, key.first, key.second);
    return {200, Json{{"clockMs", clock()}}.dump()};
}

Response Executor::stopRun(const Json &body)
{
    const std::lock_guard lock(m_mutex);
    const auto fence = body.value("fencingToken", std::uint64_t{0});
    if (fence < m_fence) {
        return refuse("fence");
    }
    m_fence = fence;
    const RunKey key(body.at("task"), body.at("run"));
    if (m_running.contains(key)) {
        finish(key, "stopped");
    }
    m_barred[key.first] = std::max(m_barred[key.first], key.second);
    return {200, Json{{"clockMs", clock()}}.dump()};
}

Response Executor::hold(const Json &body)
{
    std::unique_lock lock(m_mutex);
    const auto fence = body.value("fencingToken", std::uint64_t{0});
    if (fence < m_fence) {
        return refuse("fence");
    }
    m_fence = fence;
    extendLease(body);
    const auto lastSeen = body.value("lastSeen", std::uint64_t{0});
    std::erase_if(m_ends, [&](const Json &end) {
        return end.at(0).get<std::uint64_t>() <= lastSeen;
    });
    m_ended.wait_for(lock, std::chrono::milliseconds(body.value("waitMs", std::int64_t{0})), [this] {
        return !m_ends.empty();
    });
    Json running = Json::array();
    for (const auto &[key, run] : m_running) {
        const std::int64_t percent = std::min<std::int64_t>((clock() - run.begin) * 100 / std::max<std::int64_t>(run.plan.workMs, 1), 99);
        running.push_back({key.first, key.second, "", percent, 0});
    }
    return {200, Json{{"born", m_born}, {"clockMs", clock()}, {"running", running}, {"finished", m_ends}}.dump()};
}

void Executor::finish(const RunKey &key, const std::string &how)
{
    m_running.erase(key);
    m_barred[key.first] = std::max(m_barred[key.first], key.second);
    m_ends.push_back({m_nextEnd++, key.first, key.second, how, ""});
    m_log.end(m_kind.name, key.first, key.second, how);
    m_ended.notify_all();
}

void Executor::advance()
{
    const std::lock_guard lock(m_mutex);
    const std::map<RunKey, Run> before = m_running;
    for (const auto &[key, run] : before) {
        if (clock() > m_leaseEnd) {
            finish(key, "lapsed");
        } else if (clock() - run.begin >= run.plan.workMs) {
            finish(key, run.plan.fails ? "failed" : "done");
        }
    }
}

void Executor::announce()
{
    constexpr std::int64_t cpu = 64000;
    constexpr std::int64_t memory = 131072;
    constexpr std::int64_t answerTime = 1000;
    std::unique_lock lock(m_mutex);
    const Json body{{"service", m_kind.service},
                    {"address", "127.0.0.1:" + std::to_string(m_port)},
                    {"zone", m_kind.zone},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"coldLeftMs", 0},
                    {"capacity", {{"cpu", cpu}, {"memMb", memory}, {"gpu", m_kind.gpu}}},
                    {"labels", {"a", m_kind.rack}},
                    {"clockMs", clock()},
                    {"born", m_born},
                    {"seq", ++m_sequence}};
    lock.unlock();
    call(m_announcePort, "PUT", "/api/instances/" + m_id, {{"Content-Type", "application/json"}, {"Host", "127.0.0.1"}}, body.dump(),
         answerTime);
}

} // namespace review
