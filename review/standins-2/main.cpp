// Runs one case of the review: main CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#include "Deployment.h"

#include <algorithm>
#include <atomic>
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

/// A held-up start of a run that has failed reaches the next life of its executor, while the next run is at work elsewhere.
Verdict heldUpStart(const Context &context)
{
    Deployment deployment(context.record, 1, sides(8, 4));
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    const std::string job = "5c0e7a21d94b36f8";
    ExecutorWorld &executors = deployment.executors();
    if (context.trouble) {
        executors.holdUpStart(job + ".0.0.0");
    }
    const Json task{{"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"gpu", 1}, {"estimateMs", 30000}};
    if (!deployment.submit(1, job, {{"spec", "audit"}, {"phases", Json::array({task})}}, {{1, false, false, 30000, 1000, 100, 1}})
        || !waitFor(10000, [&] {
               return executors.running(job) == 1;
           })) {
        return Verdict::NotRun;
    }
    const std::int64_t heldUpAt = elapsedMilliseconds();
    if (context.trouble) {
        Executor &executor = *executors.holder();
        sleepFor(500);
        executors.endTasks(job, "failed");
        const auto worksElsewhere = [&] {
            const std::vector<StartEvent> starts = executors.starts();
            return executors.running(job) == 1 && starts.back().executor != executor.place().id;
        };
        if (!waitFor(3000, worksElsewhere)) {
            return Verdict::NotRun;
        }
        sleepFor(2000);
        executor.crash();
        sleepFor(500);
        executor.start(true);
        constexpr std::int64_t latestMs = 12000;
        if (elapsedMilliseconds() - heldUpAt > latestMs) {
            return Verdict::NotRun; // no call is carried out later than that
        }
    }
    std::size_t atOnce = 0;
    std::int64_t overlapMs = 0;
    const std::int64_t until = elapsedMilliseconds() + 8000;
    for (std::int64_t last = elapsedMilliseconds(); elapsedMilliseconds() < until; sleepFor(2)) {
        const std::size_t running = executors.running(job);
        atOnce = std::max(atOnce, running);
        overlapMs += running > 1 ? elapsedMilliseconds() - last : 0;
        last = elapsedMilliseconds();
    }
    context.record.write("runs of the task at the same time: " + std::to_string(atOnce) + ", for " + std::to_string(overlapMs) + " ms");
    return atOnce > 1 ? Verdict::Broken : Verdict::Held;
}

/// All tasks of a lasting job fail soon after each start, so that their executors are barred for everybody.
Verdict failingNeighbour(const Context &context)
{
    constexpr std::uint32_t executorCount = 8;
    Deployment deployment(context.record, 1, sides(executorCount, 4));
    deployment.start();
    if (!deployment.waitUntilReady(20000)) {
        return Verdict::NotRun;
    }
    ExecutorWorld &executors = deployment.executors();
    const std::string failing = "6c0e7a21d94b36f8";
    const Json lasting{{"count", executorCount}, {"cpu", 100}, {"memMb", 10}, {"longRunning", true}, {"antiAffinity", 1}};
    if (!deployment.submit(2, failing, {{"spec", "serve"}, {"phases", Json::array({lasting})}},
                           {{executorCount, false, true, 0, 100, 10, 0}})
        || !waitFor(10000, [&] {
               return executors.running(failing) == executorCount;
           })) {
        return Verdict::NotRun;
    }
    std::atomic<bool> over = false;
    std::thread failures([&] {
        while (context.trouble && !over) {
            sleepFor(200);
            executors.endTasks(failing, "failed");
        }
    });
    // Steps of half a second, one after the other.
    constexpr std::uint32_t stepCount = 8;
    const std::string job = "5c0e7a21d94b36f8";
    Json phases = Json::array();
    std::vector<StepModel> steps;
    for (std::uint32_t step = 0; step < stepCount; ++step) {
        Json phase{{"count", 1}, {"cpu", 1000}, {"memMb", 100}, {"estimateMs", 500}};
        if (step > 0) {
            phase["after"] = {step - 1};
        }
        phases.push_back(phase);
        steps.push_back({1, false, false, 500, 1000, 100, 0});
    }
    bool broken = false;
    const bool accepted = deployment.submit(1, job, {{"spec", "audit"}, {"phases", phases}}, steps);
    const std::int64_t acceptedAt = elapsedMilliseconds();
    // From `finish_s` after the end of the traffic on, nothing may be running for 3 s while a task's turn has come.
    constexpr std::int64_t finishMs = 14000;
    constexpr std::int64_t allowedIdleMs = 3000;
    std::int64_t idleSince = acceptedAt + finishMs;
    std::string state;
    while (accepted && elapsedMilliseconds() < acceptedAt + 60000 && state != "completed") {
        sleepFor(20);
        const std::int64_t now = elapsedMilliseconds();
        if (now < acceptedAt + finishMs || executors.running(job) > 0) {
            idleSince = std::max(now, acceptedAt + finishMs);
            continue;
        }
        if (now - idleSince > allowedIdleMs && !broken) {
            context.record.write(
                "the job has had nothing running for over 3 s, with a step whose turn has come and 8 executors without work");
            broken = true;
        }
        state = now - idleSince > 500 ? deployment.state(1, job) : state;
    }
    over = true;
    failures.join();
    context.record.write("state of the job " + std::to_string(elapsedMilliseconds() - acceptedAt)
                         + " ms after its acceptance: " + deployment.state(1, job));
    return !accepted ? Verdict::NotRun : broken ? Verdict::Broken : Verdict::Held;
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
    const std::map<std::string, Verdict (*)(const Context &)> cases{{"foreign-heartbeat", foreignHeartbeat},
                                                                    {"held-up-start", heldUpStart},
                                                                    {"spec-with-nul", specWithNul},
                                                                    {"gang-without-rack", gangWithoutRack},
                                                                    {"failing-neighbour", failingNeighbour}};
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
