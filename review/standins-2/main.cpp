// Runs one case of the review: main CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#include "Deployment.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <thread>

namespace review
{
namespace
{

using Json = nlohmann::json;

enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

struct Context {
    Record &record;
    bool trouble = true;
};

void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

template <typename Condition> bool waitFor(int timeoutMilliseconds, Condition condition)
{
    const std::int64_t until = elapsedMilliseconds() + timeoutMilliseconds;
    while (!condition()) {
        if (elapsedMilliseconds() >= until) {
            return false;
        }
        sleepFor(20);
    }
    return true;
}

std::vector<SideMachine> sides(std::size_t count, std::size_t ofRack)
{
    std::vector<SideMachine> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back({"zone-" + std::to_string(index % 3 + 1), "r-" + std::to_string(index / ofRack + 1)});
    }
    return result;
}

/// @return Machines of executors of which only the last one has the label `b`.
std::vector<SideMachine> sidesWithLabel(std::size_t count)
{
    std::vector<SideMachine> result = sides(count, 4);
    result.back().kind = "b";
    return result;
}

/// Submits a job of one short task that needs the label `b`.
bool submitLabelled(Deployment &deployment, const std::string &job)
{
    const Json task{{"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"gpu", 1}, {"estimateMs", 500}, {"requirements", "b"}};
    return deployment.submit(1, job, {{"spec", "audit"}, {"phases", Json::array({task})}}, {{1, false, false, 500, 1000, 100, 1}});
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Judges whether the last accepted job, which one idle executor can run, begins. The rule asks `finish_s` (14 s) after the end of the
/// traffic, and allows 3 s with nothing running.
Verdict judgeStart(Deployment &deployment, const Context &context, const std::string &job)
{
    const std::int64_t acceptedAt = elapsedMilliseconds();
    const bool ran = waitFor(30000, [&] {
        const std::vector<StartEvent> starts = deployment.executors().starts();
        return std::ranges::any_of(starts, [&](const StartEvent &start) {
            return start.task.starts_with(job);
        });
    });
    context.record.write("state of the job " + std::to_string(elapsedMilliseconds() - acceptedAt) + " ms after its acceptance: "
                         + deployment.state(1, job) + (ran ? "" : "; no task has begun, and the executor that can run it is idle"));
    return ran ? Verdict::Held : Verdict::Broken;
}

/// Judges whether a lasting gang of two tasks works again. The rule allows 6 s after the last run, and 3 s with nothing running after that.
Verdict judgeLastingGang(Deployment &deployment, const Context &context, const std::string &job, std::int64_t forMilliseconds,
                         const std::string &room)
{
    const std::int64_t disruptedAt = elapsedMilliseconds();
    std::int64_t idleSince = -1;
    while (elapsedMilliseconds() < disruptedAt + forMilliseconds) {
        const bool works = deployment.executors().running(job) == 2;
        idleSince = works ? -1 : idleSince < 0 ? elapsedMilliseconds() : idleSince;
        sleepFor(50);
    }
    const std::string state = deployment.state(1, job);
    const std::int64_t idle = idleSince < 0 ? 0 : elapsedMilliseconds() - idleSince;
    context.record.write("state of the job: " + state
                         + (idle == 0 ? "; its tasks work" : "; no task at work for " + std::to_string(idle) + " ms; " + room));
    constexpr std::int64_t allowedMs = 6000 + 3000;
    return idle >= allowedMs ? Verdict::Broken : Verdict::Held;
}

/// A gang of tasks that last ends `done`; its tasks must run again.
Verdict longRunningGang(const Context &context)
{
    Deployment deployment(context.record, 1, sides(4, 4));
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    const std::string job = "5c0e7a21d94b36f8";
    const Json body{
        {"spec", "serve"},
        {"phases",
         {{{"count", 2}, {"cpu", 26000}, {"memMb", 38000}, {"gpu", 8}, {"estimateMs", 2000}, {"gang", true}, {"longRunning", true}}}}};
    if (!deployment.submit(1, job, body, {{2, true, true, 0, 26000, 38000, 8}}) || !waitFor(10000, [&] {
            return deployment.executors().running(job) == 2;
        })) {
        return Verdict::NotRun;
    }
    sleepFor(3000);
    if (context.trouble) {
        context.record.write("the tasks end done");
        deployment.executors().endTasks(job, "done");
    }
    return judgeLastingGang(deployment, context, job, 20000, "all 32 GPUs are free");
}

/// The text of a job holds U+0000.
Verdict specWithNul(const Context &context)
{
    Deployment deployment(context.record, 1, sides(2, 2));
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    const std::string job = "5c0e7a21d94b36f8";
    const std::string spec = context.trouble ? std::string("review\0--booking=4711", 21) : "review --booking=4711";
    const Json body{{"spec", spec}, {"phases", {{{"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"estimateMs", 500}}}}};
    if (!deployment.submit(1, job, body, {{1, false, false, 500, 1000, 100, 0}})) {
        return Verdict::NotRun;
    }
    if (!waitFor(10000, [&] {
            return deployment.state(1, job) == "completed";
        })) {
        return Verdict::NotRun;
    }
    bool broken = false;
    for (const StartEvent &start : deployment.executors().starts()) {
        if (start.task.starts_with(job) && start.spec != spec) {
            context.record.write(start.executor + " was told to start " + start.task + " with a spec of "
                                 + std::to_string(start.spec.size()) + " bytes; the client sent " + std::to_string(spec.size()));
            broken = true;
        }
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

/// An executor goes down and up by turns while the time of day on its machine jumps back.
Verdict rebornExecutor(const Context &context)
{
    // Only the last of eight executors has the label that the job needs.
    Deployment deployment(context.record, 1, sidesWithLabel(8));
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    Executor &special = deployment.executor(7);
    constexpr int downMs = 500;
    constexpr int upMs = 1000;
    constexpr std::int64_t clockStepMs = 2400;
    special.crash();
    sleepFor(downMs);
    special.start();
    const std::int64_t earlierBorn = special.born();
    sleepFor(upMs);
    special.crash();
    sleepFor(downMs);
    special.start(context.trouble ? -clockStepMs : 0);
    context.record.write("the last two lives of " + special.place().id + " were born at " + std::to_string(earlierBorn) + " and "
                         + std::to_string(special.born()));
    sleepFor(10000); // calm; the executor announces itself every 1.5 s
    const std::string job = "5c0e7a21d94b36f8";
    if (!submitLabelled(deployment, job)) {
        return Verdict::NotRun;
    }
    return judgeStart(deployment, context, job);
}

/// A heartbeat of another writer, for a service that no configuration names, reaches the agent of an executor.
Verdict foreignHeartbeat(const Context &context)
{
    // Only the last of eight executors has the label that the job needs.
    Deployment deployment(context.record, 1, sidesWithLabel(8));
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    const std::string lasting = "6c0e7a21d94b36f8";
    const Json task{{"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"gpu", 1}, {"requirements", "b"}, {"longRunning", true}};
    if (!deployment.submit(2, lasting, {{"spec", "serve"}, {"phases", Json::array({task})}}, {{1, false, true, 0, 1000, 100, 1}})
        || !waitFor(10000, [&] {
               return deployment.executors().running(lasting) == 1;
           })) {
        return Verdict::NotRun;
    }
    sleepFor(3000); // two heartbeats
    const ExecutorPlace &place = deployment.executor(7).place();
    if (context.trouble) {
        const Json heartbeat{{"service", "other-service"},
                             {"address", "127.0.9.9:8080"},
                             {"zone", place.zone},
                             {"version", "v1"},
                             {"slots", 8},
                             {"state", "ready"},
                             {"coldLeftMs", 0},
                             {"capacity", {{"cpu", 1000}, {"memMb", 1000}, {"gpu", 0}}},
                             {"labels", {"a", "r-9"}},
                             {"clockMs", 1000},
                             {"seq", 1},
                             {"born", unixMilliseconds() - 1000}};
        const auto answer = sendRequest(place.address, place.controlPort, "PUT", "/api/instances/i-other", {}, heartbeat.dump(), 1000);
        context.record.write("another writer: PUT /api/instances/i-other at the agent of " + place.id + " " + heartbeat.dump() + " -> "
                             + (answer ? std::to_string(answer->status) : "no answer"));
    }
    sleepFor(10000); // the executor announces itself every 1.5 s
    const std::string job = "5c0e7a21d94b36f8";
    if (!submitLabelled(deployment, job)) {
        return Verdict::NotRun;
    }
    const Verdict verdict = judgeStart(deployment, context, job);
    context.record.write("tasks of the lasting job " + lasting + " at work: " + std::to_string(deployment.executors().running(lasting)));
    return verdict;
}

/// A job is placed on an executor that has just crashed silently, so none of its tasks begins.
Verdict pendingCount(const Context &context)
{
    // Only the last of eight executors has the label that the job needs.
    Deployment deployment(context.record, 1, sidesWithLabel(8));
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    sleepFor(3000); // two heartbeats
    if (context.trouble) {
        deployment.executor(7).goDark();
        sleepFor(300);
    }
    const std::string job = "5c0e7a21d94b36f8";
    if (!submitLabelled(deployment, job)) {
        return Verdict::NotRun;
    }
    const std::int64_t acceptedAt = elapsedMilliseconds();
    constexpr std::int64_t visibleMs = 3000;
    bool broken = false;
    while (elapsedMilliseconds() < acceptedAt + 20000) {
        sleepFor(1000);
        const auto answer = deployment.call(0, "GET", deployment.pathOf(1, ""), "");
        const std::vector<StartEvent> starts = deployment.executors().starts();
        const bool begun = std::ranges::any_of(starts, [&](const StartEvent &start) {
            return start.task.starts_with(job);
        });
        if (answer && answer->status == 200 && !begun && elapsedMilliseconds() > acceptedAt + visibleMs + 2000 + 200
            && Json::parse(answer->body).value("pending", -1) == 0) {
            broken = true;
        }
    }
    context.record.write("state of the job: " + deployment.state(1, job));
    return broken ? Verdict::Broken : Verdict::Held;
}

/// A lasting gang that prefers one rack loses an executor, and no rack can hold the gang any more.
Verdict gangWithoutRack(const Context &context)
{
    // Two executors in the first rack, one in each of the others.
    std::vector<SideMachine> machines = sides(8, 1);
    machines[1].rack = machines[0].rack;
    Deployment deployment(context.record, 1, machines);
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    const std::string job = "5c0e7a21d94b36f8";
    const Json body{{"spec", "serve"},
                    {"phases",
                     {{{"count", 2},
                       {"cpu", 26000},
                       {"memMb", 38000},
                       {"gpu", 8},
                       {"estimateMs", 3600000},
                       {"gang", true},
                       {"sameRack", true},
                       {"longRunning", true}}}}};
    if (!deployment.submit(1, job, body, {{2, true, true, 0, 26000, 38000, 8}}) || !waitFor(10000, [&] {
            return deployment.executors().running(job) == 2;
        })) {
        return Verdict::NotRun;
    }
    sleepFor(3000);
    if (context.trouble) {
        deployment.executor(1).crash(); // for good
    }
    return judgeLastingGang(deployment, context, job, 40000, "7 executors with 56 GPUs are idle, and the gang needs 16");
}

Verdict run(const std::string &name, const Context &context)
{
    const std::map<std::string, Verdict (*)(const Context &)> cases{
        {"foreign-heartbeat", foreignHeartbeat}, {"long-running-gang", longRunningGang}, {"spec-with-nul", specWithNul},
        {"gang-without-rack", gangWithoutRack},  {"reborn-executor", rebornExecutor},    {"pending-count", pendingCount}};
    const auto found = cases.find(name);
    return found == cases.end() ? Verdict::NotRun : found->second(context);
}

} // namespace
} // namespace review

int main(int count, char **arguments)
{
    if (count != 3) {
        return 2;
    }
    review::Record record(arguments[2]);
    const char *trouble = std::getenv("TROUBLE");
    const review::Context context{record, trouble == nullptr || std::string(trouble) != "0"};
    try {
        const review::Verdict verdict = review::run(arguments[1], context);
        const char *const words[] = {"the rule held", "the rule was broken", "the case couldn't run"};
        record.write(words[static_cast<int>(verdict)]);
        std::printf("%s: %s\n", arguments[1], words[static_cast<int>(verdict)]);
        return static_cast<int>(verdict);
    } catch (const std::exception &error) {
        record.write(std::string("the case couldn't run: ") + error.what());
        return 2;
    }
}
