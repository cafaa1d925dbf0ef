#pragma once

#include "Http.h"
#include "Record.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace review
{

/// A step of a job as its client has submitted it, as far as executors need to know it.
struct StepModel {
    std::uint32_t count = 1;
    bool gang = false;
    bool longRunning = false;
    std::int64_t workMilliseconds = 1000;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
};

/// Start of a task that an executor has begun.
struct StartEvent {
    std::int64_t at = 0;
    std::string executor;
    std::string task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
};

/// End of a run at an executor.
struct EndEvent {
    std::int64_t at = 0;
    std::string executor;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
};

/// What an executor says of itself, and where.
struct ExecutorPlace {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels; ///< Kind and rack.
    std::string address; ///< Loopback address of its machine.
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0; ///< Of the agent on the same machine.
    std::int64_t cpu = 64000;
    std::int64_t memory = 131072;
    std::int64_t accelerators = 8;
};

class Executor;

/// All executors of a deployment, with what they share: the jobs' steps, gangs and the events that the checks read.
class ExecutorWorld
{
public:
    explicit ExecutorWorld(Record &record)
        : m_record(record)
    {
    }
    ~ExecutorWorld();
    ExecutorWorld(const ExecutorWorld &) = delete;
    ExecutorWorld &operator=(const ExecutorWorld &) = delete;

    /// Makes an executor; it does not run yet.
    Executor &add(const ExecutorPlace &place);

    /// Tells the executors what a job's tasks are.
    void addJob(const std::string &id, std::vector<StepModel> steps);

    /// Ends all runs of a step, as tasks do on their own.
    /// @param prefix Beginning of the tasks' names, such as `JOB.0.0.`.
    /// @param how How they end; the members of a gang end together.
    /// @return Number of ended runs.
    std::size_t endTasks(const std::string &prefix, const std::string &how);

    std::vector<StartEvent> starts();
    std::vector<EndEvent> ends();

    /// Holds the first start of a task up: it gets no answer and is not carried out yet.
    /// @param task Name of the task.
    void holdUpStart(const std::string &task);

    /// @return The executor that got the held-up start; null if none has.
    Executor *holder();

    /// @return Number of runs of which the task's name begins so.
    std::size_t running(const std::string &prefix);

private:
    friend class Executor;

    StepModel stepOf(const std::string &task) const;
    std::size_t presentMembers(const std::string &task, std::uint32_t run) const;

    Record &m_record;
    std::recursive_mutex m_mutex; // guards all executors
    std::string m_heldUpTask;
    nlohmann::json m_heldUpStart; // null until it has come
    Executor *m_holder = nullptr;
    std::map<std::string, std::vector<StepModel>> m_jobs;
    std::vector<StartEvent> m_starts;
    std::vector<EndEvent> m_ends;
    std::vector<std::unique_ptr<Executor>> m_executors;
};

/// An executor as PROTOCOL.md describes it: runs tasks under a lease, lists runs and ends, and announces itself.
class Executor
{
public:
    Executor(ExecutorWorld &world, ExecutorPlace place);
    ~Executor();
    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    /// Begins a life.
    /// @param heldUpFirst Whether the held-up start is carried out before any other call.
    void start(bool heldUpFirst = false);

    /// Ends the life like a crash: it sends nothing, and its connections break.
    void crash();

    const ExecutorPlace &place() const
    {
        return m_place;
    }

private:
    friend class ExecutorWorld;

    using RunId = std::pair<std::string, std::uint32_t>; // task and run

    struct Run {
        StepModel step;
        std::int64_t startedAt = 0;
        std::int64_t workingSince = 0; // zero until all members are present
        std::int64_t saved = 0;
        std::string checkpoint;
    };
    struct End {
        std::uint64_t number = 0;
        RunId run;
        std::string how;
        std::string checkpoint;
    };

    std::int64_t clock() const;
    HttpAnswer serve(const HttpRequest &request);
    HttpAnswer startRun(const nlohmann::json &body);
    HttpAnswer stopRun(const nlohmann::json &body);
    HttpAnswer hold(const nlohmann::json &body);
    bool isFenced(const nlohmann::json &body);
    void extendLease(const nlohmann::json &body);
    bool fits(const StepModel &step) const;
    void advance();
    void end(const RunId &run, const std::string &how);
    void announce();
    void work();
    nlohmann::json clockDocument() const;
    nlohmann::json lists() const;

    ExecutorWorld &m_world;
    ExecutorPlace m_place;
    HttpServer m_server;
    std::thread m_worker;
    std::thread m_announcer;
    std::atomic<bool> m_alive = false;
    std::int64_t m_born = 0;
    std::int64_t m_bornElapsed = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<RunId, Run> m_running;
    std::map<RunId, std::int64_t> m_stopping; // with the time of the end
    std::deque<End> m_finished;
    std::uint64_t m_nextEnd = 1;
    std::map<std::string, std::uint32_t> m_closed; // highest run that was stopped or has ended, by task
};

} // namespace review
