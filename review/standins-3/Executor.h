#pragma once

#include "Record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review
{

/// What a task does.
struct TaskPlan {
    std::int64_t workMs = 1000; ///< Run time.
    bool fails = false; ///< Whether it ends as failed.
};

/// A run of a task as an executor saw it.
struct SeenRun {
    std::string executor; ///< Name of the executor's machine.
    std::string task; ///< Name of the task.
    std::uint64_t run = 0; ///< Number of the run.
    std::int64_t begin = 0; ///< When it began.
    std::int64_t end = -1; ///< When it ended; -1 while it is at work.
    std::string how; ///< How it ended.
};

/// All runs on all executors.
class RunLog
{
public:
    /// @param record Record of the case.
    explicit RunLog(Record &record)
        : m_record(record)
    {
    }

    /// Notes the begin of a run.
    void begin(const std::string &executor, const std::string &task, std::uint64_t run);

    /// Notes the end of a run.
    void end(const std::string &executor, const std::string &task, std::uint64_t run, const std::string &how);

    /// @return A copy of all runs.
    std::vector<SeenRun> runs();

private:
    Record &m_record;
    std::mutex m_mutex;
    std::vector<SeenRun> m_runs;
};

/// An executor: carries out orders, holds leases and announces itself, as the platform's protocol says. It checks neither room nor labels.
class Executor
{
public:
    /// Place and size of an executor.
    struct Kind {
        std::string name; ///< Name of the machine, for the record.
        std::string service; ///< Service.
        std::string zone; ///< Zone.
        std::string rack; ///< Rack.
        std::int64_t gpu = 8; ///< Accelerators.
    };

    /// @param kind Place and size.
    /// @param announcePort Port of the agent that takes announcements.
    /// @param log Log of runs.
    /// @param plan What each task does.
    Executor(Kind kind, int announcePort, RunLog &log, std::function<TaskPlan(const std::string &)> plan);

    /// @return Port for orders.
    int port() const
    {
        return m_port;
    }

    /// Starts to serve and to announce itself.
    void start();

    /// Stands still as on a suspended machine: nothing is answered, tasks don't work, and the steady clock doesn't count the time.
    /// @param milliseconds Length of the suspension; the call returns at its end.
    void suspend(std::int64_t milliseconds);

private:
    struct Run {
        std::int64_t begin = 0; // on the executor's clock
        TaskPlan plan;
    };
    using RunKey = std::pair<std::string, std::uint64_t>;

    Response serve(const Request &request);
    Response startRun(const nlohmann::json &body);
    Response stopRun(const nlohmann::json &body);
    Response hold(const nlohmann::json &body);
    Response refuse(const char *reason) const;
    std::int64_t clock() const;
    void finish(const RunKey &key, const std::string &how);
    void extendLease(const nlohmann::json &body);
    void advance();
    void announce();

    Kind m_kind;
    std::string m_id;
    std::int64_t m_born;
    std::int64_t m_bornAt;
    std::atomic<std::int64_t> m_suspendedFor = 0;
    int m_announcePort;
    int m_port;
    RunLog &m_log;
    std::function<TaskPlan(const std::string &)> m_plan;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<RunKey, Run> m_running;
    std::map<std::string, std::uint64_t> m_barred; // highest run that was stopped or has ended, by task
    std::vector<nlohmann::json> m_ends;
    std::uint64_t m_nextEnd = 1;
    std::uint64_t m_sequence = 0;
};

} // namespace review
