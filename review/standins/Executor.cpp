#include "Executor.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace review
{
namespace
{

using namespace banyanlock;
using Json = nlohmann::json;

constexpr std::int64_t holdMaxMs = 6000;
constexpr std::int64_t gangTimeoutMs = 3000;
constexpr std::size_t listedEnds = 500;
constexpr Duration heartbeatInterval = fromMilliseconds(1500);

/// @return Name of the gang that a task is a member of.
std::string gangOf(const std::string &task)
{
    return task.substr(0, task.rfind('.') + 1);
}

} // namespace

Executor::Executor(EventLoop &loop, HttpClient &http, Fleet &fleet, std::string id, const Endpoint &endpoint, std::string control,
                   std::string zone, std::vector<std::string> labels)
    : m_loop(loop)
    , m_http(loop, http)
    , m_fleet(fleet)
    , m_id(std::move(id))
    , m_control(std::move(control))
    , m_address(endpoint.toString())
    , m_zone(std::move(zone))
    , m_labels(std::move(labels))
    , m_born(unixMillisecondsNow())
    , m_bornAt(EventLoop::now())
    , m_server(loop, HttpServerLimits(), m_counters, [this](const ServerRequest &request, const HttpServer::Responder &respond) {
        serve(request, respond);
    })
{
    const Result<Done> listening = m_server.listen(endpoint);
    if (!isOk(listening)) {
        throw std::runtime_error(errorOf(listening).detail);
    }
    m_loop.repeat(fromMilliseconds(5), [this](TimePoint now) {
        advance(now);
    });
    m_loop.repeat(fromMilliseconds(50), [this](TimePoint now) {
        if (!m_dark && now >= m_nextHeartbeat) {
            heartbeat();
        }
    });
}

std::int64_t Executor::clock() const
{
    return toMilliseconds(EventLoop::now() - m_bornAt);
}

Room Executor::used() const
{
    Room sum;
    for (const auto &[run, running] : m_running) {
        sum.cpu += running.nature.room.cpu;
        sum.memMb += running.nature.room.memMb;
        sum.gpu += running.nature.room.gpu;
    }
    return sum;
}

bool Executor::runsJob(const std::string &job) const
{
    return std::ranges::any_of(m_running, [&](const auto &entry) {
        return entry.first.first.starts_with(job + ".");
    });
}

void Executor::losePower()
{
    endLife();
    for (const Waiting &waiting : std::exchange(m_waiting, {})) {
        m_unanswered.push_back(waiting.respond);
    }
    m_dark = true;
    m_fleet.record(m_id + " is without power");
}

void Executor::endLife()
{
    std::vector<RunKey> gangs;
    for (auto &[run, running] : m_running) {
        running.start->how = "lost";
        running.start->endedAt = EventLoop::now();
        --m_fleet.present[{gangOf(run.first), run.second}];
        if (running.nature.members > 1) {
            gangs.push_back(run);
        }
    }
    m_running.clear();
    for (const RunKey &run : gangs) {
        breakOthers(run, 512);
    }
}

void Executor::restart(std::int64_t clockOffsetMs)
{
    endLife();
    m_dark = false;
    m_closed.clear();
    m_ends.clear();
    m_token = 0;
    m_nextEnd = 1;
    m_leaseEnd = 0;
    m_lapsed = false;
    m_sequence = 0;
    m_bornAt = EventLoop::now();
    m_born = unixMillisecondsNow() + clockOffsetMs;
    ServerResponse broken;
    broken.truncateBody = true;
    for (const Waiting &waiting : std::exchange(m_waiting, {})) {
        waiting.respond(broken);
    }
    m_fleet.record(m_id + " starts again, born " + std::to_string(m_born));
    heartbeat();
}

void Executor::answer(const HttpServer::Responder &respond, int status, Json body) const
{
    body["clockMs"] = clock();
    body["born"] = m_born;
    ServerResponse response;
    response.status = status;
    response.contentType = "application/json";
    response.body = std::make_shared<const std::string>(body.dump());
    respond(std::move(response));
}

void Executor::serve(const ServerRequest &request, const HttpServer::Responder &respond)
{
    if (m_dark) {
        m_unanswered.push_back(respond);
        return;
    }
    if (request.header("Expected-Instance").value_or(m_id) != m_id) {
        answer(respond, 421, Json::object());
        return;
    }
    try {
        const Json body = Json::parse(request.body);
        if (request.path == "/api/run-start" && body.at("task") == m_fleet.lateTask) {
            m_fleet.lateTask.clear();
            m_unanswered.push_back(respond);
            m_fleet.record(m_id + " leaves a start of " + body.at("task").get<std::string>() + " unanswered");
            m_loop.timers().subscribe(m_fleet.lateAt, [this, body](TimePoint) {
                m_fleet.record(m_id + " carries out the late start");
                if (!m_dark) {
                    start(body, [](const ServerResponse &) {
                    });
                }
            });
        } else if (request.path == "/api/run-start") {
            start(body, respond);
        } else if (request.path == "/api/run-stop") {
            stop(body, respond);
        } else if (request.path == "/api/hold") {
            hold(body, respond);
        } else {
            answer(respond, 404, Json::object());
        }
    } catch (const Json::exception &) {
        answer(respond, 400, Json::object());
    }
}

void Executor::start(const Json &body, const HttpServer::Responder &respond)
{
    const RunKey key{body.at("task"), body.at("run")};
    const std::uint64_t token = body.value("fencingToken", std::uint64_t{0});
    const std::int64_t deadline = body.at("deadlineMs");
    const auto refuse = [&](const char *reason) {
        m_fleet.record(m_id + " refuses " + key.first + "#" + std::to_string(key.second) + ": " + reason);
        answer(respond, 409, {{"reason", reason}});
    };
    if (token < m_token) {
        refuse("fence");
        return;
    }
    m_token = token;
    if (m_running.contains(key)) {
        answer(respond, 200, Json::object());
        return;
    }
    if (clock() > deadline) {
        refuse("late");
        return;
    }
    advance(EventLoop::now());
    m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clock() + holdMaxMs));
    m_lapsed = false;
    const auto closed = m_closed.find(key.first);
    if (closed != m_closed.end() && key.second <= closed->second) {
        refuse("old");
        return;
    }
    m_fleet.starts.push_back({key.first, key.second, body.at("spec"), m_id, EventLoop::now(), {}, "", false, false});
    Running running;
    running.start = &m_fleet.starts.back();
    running.nature = m_fleet.nature(key.first);
    m_running[key] = running;
    ++m_fleet.present[{gangOf(key.first), key.second}];
    m_fleet.record(m_id + " starts " + key.first + "#" + std::to_string(key.second));
    answer(respond, 200, Json::object());
}

void Executor::stop(const Json &body, const HttpServer::Responder &respond)
{
    const RunKey key{body.at("task"), body.at("run")};
    const std::uint64_t token = body.value("fencingToken", std::uint64_t{0});
    if (token < m_token) {
        answer(respond, 409, {{"reason", "fence"}});
        return;
    }
    m_token = token;
    if (m_running.contains(key)) {
        end(key, "stopped");
    } else {
        std::uint32_t &closed = m_closed[key.first];
        closed = std::max(closed, key.second);
    }
    answer(respond, 200, Json::object());
}

void Executor::hold(const Json &body, const HttpServer::Responder &respond)
{
    const std::uint64_t token = body.value("fencingToken", std::uint64_t{0});
    if (token < m_token) {
        answer(respond, 409, {{"reason", "fence"}});
        return;
    }
    m_token = token;
    advance(EventLoop::now());
    const std::uint64_t lastSeen = body.value("lastSeen", std::uint64_t{0});
    while (!m_ends.empty() && m_ends.front().number <= lastSeen) {
        const Ended &front = m_ends.front();
        front.start->noted = !front.start->lapsedSince;
        m_fleet.record(m_id + " hears that the end of " + front.run.first + "#" + std::to_string(front.run.second) + " is taken note of"
                       + (front.start->lapsedSince ? ", after its lease lapsed" : ""));
        m_ends.pop_front();
    }
    if (body.contains("deadlineMs")) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(body["deadlineMs"].get<std::int64_t>(), clock() + holdMaxMs));
        m_lapsed = m_lapsed && clock() > m_leaseEnd;
    }
    const std::int64_t wait = std::min<std::int64_t>(body.value("waitMs", std::int64_t{0}), 2000);
    if (wait > 0 && m_ends.empty()) {
        m_waiting.push_back({respond, EventLoop::now() + fromMilliseconds(wait)});
        return;
    }
    answerHold(respond);
}

void Executor::answerHold(const HttpServer::Responder &respond)
{
    Json running = Json::array();
    for (const auto &[run, state] : m_running) {
        running.push_back({run.first, run.second, "", 100, 0});
    }
    Json finished = Json::array();
    for (const Ended &ended : m_ends) {
        if (finished.size() == listedEnds) {
            break;
        }
        finished.push_back({ended.number, ended.run.first, ended.run.second, ended.how, ""});
    }
    answer(respond, 200, {{"running", running}, {"finished", finished}});
}

void Executor::end(const RunKey &run, const std::string &how)
{
    const auto found = m_running.find(run);
    Start *start = found->second.start;
    const std::uint32_t members = found->second.nature.members;
    start->how = how;
    start->endedAt = EventLoop::now();
    m_running.erase(found);
    --m_fleet.present[{gangOf(run.first), run.second}];
    std::uint32_t &closed = m_closed[run.first];
    closed = std::max(closed, run.second);
    m_ends.push_back({m_nextEnd++, run, how, start});
    m_fleet.record(m_id + " ends " + run.first + "#" + std::to_string(run.second) + " " + how);
    if (members > 1) {
        breakOthers(run, members);
    }
    for (const Waiting &waiting : std::exchange(m_waiting, {})) {
        answerHold(waiting.respond);
    }
}

void Executor::breakOthers(const RunKey &run, std::uint32_t members)
{
    const std::string prefix = gangOf(run.first);
    for (std::uint32_t index = 0; index < members; ++index) {
        for (const std::unique_ptr<Executor> &other : m_fleet.executors) {
            other->breakRun(prefix + std::to_string(index), run.second);
        }
    }
}

void Executor::breakRun(const std::string &task, std::uint32_t run)
{
    const auto found = m_running.find({task, run});
    if (found != m_running.end() && found->second.whole) {
        found->second.nature.members = 1;
        end({task, run}, "broken");
    }
}

void Executor::advance(TimePoint now)
{
    if (clock() > m_leaseEnd && !m_lapsed) {
        m_lapsed = true;
        for (const Ended &ended : m_ends) {
            ended.start->lapsedSince = true;
        }
        const std::map<RunKey, Running> before = m_running;
        for (const auto &[run, state] : before) {
            end(run, "lapsed");
        }
    }
    std::vector<RunKey> due;
    for (const auto &[run, running] : m_running) {
        if (!running.whole || now - running.wholeAt >= running.nature.work) {
            due.push_back(run);
        }
    }
    for (const RunKey &run : due) {
        const auto found = m_running.find(run);
        if (found == m_running.end()) {
            continue;
        }
        Running &running = found->second;
        if (!running.whole) {
            if (running.nature.members == 1 || m_fleet.present[{gangOf(run.first), run.second}] >= running.nature.members) {
                running.whole = true;
                running.wholeAt = now;
            } else if (now - running.start->at > fromMilliseconds(gangTimeoutMs)) {
                end(run, "alone");
            }
            continue;
        }
        if (now - running.wholeAt >= running.nature.work) {
            if (running.nature.fails) {
                if (running.nature.members == 1 || run.first.ends_with(".0")) {
                    end(run, "failed");
                }
            } else if (running.nature.members > 1) {
                // The members of a gang end well together.
                const std::string prefix = gangOf(run.first);
                const std::uint32_t members = std::exchange(running.nature.members, 1);
                end(run, "done");
                for (std::uint32_t index = 0; index < members; ++index) {
                    for (const std::unique_ptr<Executor> &other : m_fleet.executors) {
                        const RunKey member{prefix + std::to_string(index), run.second};
                        if (const auto partner = other->m_running.find(member); partner != other->m_running.end()) {
                            partner->second.nature.members = 1;
                            other->end(member, "done");
                        }
                    }
                }
            } else {
                end(run, "done");
            }
        }
    }
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (now >= waiting->until) {
            answerHold(waiting->respond);
            waiting = m_waiting.erase(waiting);
        } else {
            ++waiting;
        }
    }
}

void Executor::heartbeat()
{
    m_nextHeartbeat = EventLoop::now() + heartbeatInterval;
    HttpRequest request;
    request.method = "PUT";
    request.url = "http://" + m_control + "/api/instances/" + m_id;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = Json{{"service", "desk"},  {"address", m_address},
                        {"zone", m_zone},     {"version", "v1"},
                        {"slots", 8},         {"state", "ready"},
                        {"coldLeftMs", 0},    {"capacity", {{"cpu", m_room.cpu}, {"memMb", m_room.memMb}, {"gpu", m_room.gpu}}},
                        {"labels", m_labels}, {"clockMs", clock()},
                        {"born", m_born},     {"seq", ++m_sequence}}
                       .dump();
    request.timeoutMilliseconds = 1000;
    m_http.send(std::move(request), [](const HttpReply &) {
    });
}

} // namespace review
