#pragma once

#include "Executor.h"
#include "SoakProcess.h"
#include "SoakProxy.h"
#include "Store.h"

#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace review
{

/// Size of a play.
struct PlayOptions {
    std::string program; ///< Path of the product's program.
    std::string folder; ///< Folder of the case; receives `record.txt`.
    std::string directory; ///< Temporary folder for settings and logs.
    bool trouble = true; ///< Whether the disruption happens.
    bool onlyFlap = false; ///< Whether executors restart, but no clock is set back.
    std::size_t entries = 3; ///< Entries, one a zone.
    std::size_t executors = 4; ///< Executors, each with an agent.
    banyanlock::Duration agentDelay{}; ///< One-way delay between entries and agents, as between regions.
};

/// A job as its client knows it.
struct Job {
    std::string path; ///< Path with its id.
    nlohmann::json body; ///< What is handed in.
    std::size_t entry = 0; ///< Where it was handed in first.
    int tries = 0; ///< Attempts to hand it in.
    bool accepted = false; ///< Answered with 2xx.
    bool cancelled = false; ///< A cancellation was sent.
    bool shownEnded = false; ///< Shown as ended.
    std::string state; ///< State in the latest answer.
    int lastStatus = 0; ///< Status of the latest answer about its state.
    banyanlock::TimePoint acceptedAt{}; ///< When it was accepted.
    std::vector<TaskNature> steps; ///< Nature of the tasks of each step.
};

/// Runs the product's entries and agents as processes beside a store, executors and clients in this process.
class Play
{
public:
    /// @param options Size of the play.
    explicit Play(PlayOptions options);

    ~Play();

    Play(const Play &) = delete;
    Play &operator=(const Play &) = delete;

    /// Starts everything and waits until all entries are ready, then runs the loop until `finish`.
    /// @param onReady Called when traffic may start.
    /// @return Exit code: 0 if no rule was broken, 1 if one was, 2 if the case could not run.
    int run(std::function<void()> onReady);

    /// Ends the play.
    void finish();

    /// Ends the play as one that could not run.
    /// @param reason Why.
    void fail(const std::string &reason);

    /// Calls a function later.
    /// @param milliseconds Time after the start of traffic.
    /// @param function Function to call.
    void at(std::int64_t milliseconds, std::function<void()> function);

    /// Writes a line to the record.
    /// @param line Text.
    void record(const std::string &line);

    /// Notes that a rule was broken.
    /// @param line What was seen.
    void violate(const std::string &line);

    /// Hands in a job, again after answers that ask for it.
    /// @param id Id of the job: 16 hexadecimal digits.
    /// @param queue Name of the queue: `urgent`, `normal` or `bulk`.
    /// @param body What is handed in.
    /// @param steps Nature of the tasks of each step.
    void submit(const std::string &id, const std::string &queue, const nlohmann::json &body, std::vector<TaskNature> steps);

    /// Asks an entry for the state of all accepted jobs that are not known to have ended.
    void askAll();

    /// Asks for the number of pending jobs of a queue.
    /// @param queue Name of the queue.
    /// @param entry Number of the entry.
    /// @param callback Receives the number.
    void askPending(const std::string &queue, std::size_t entry, std::function<void(std::int64_t)> callback);

    /// @param id Id of a job.
    /// @return Whether one of its tasks has ever started.
    bool hasBegun(const std::string &id) const;

    /// @param id Id of a job.
    /// @return Whether one of its tasks runs now.
    bool isRunning(const std::string &id) const;

    /// @return Seconds since the start of traffic.
    double seconds() const;

    /// Checks the rules on runs: TWICE, BUDGET, UNASKED and LIMIT.
    /// @param attempts Failed runs after which a task may not start again.
    void checkRuns(std::uint32_t attempts);

    /// From now on and for 3.5 s, looks each 100 ms for accepted jobs that have nothing running although there is room, then finishes.
    /// @param task Room that a waiting task needs.
    void checkLostThenFinish(const Room &task);

    /// @return Jobs by id.
    std::map<std::string, Job> &jobs()
    {
        return m_jobs;
    }

    /// @return The store.
    Store &store()
    {
        return *m_store;
    }

    /// @return The executors and what they saw.
    Fleet &fleet()
    {
        return m_fleet;
    }

    /// @param index Number of an executor.
    /// @return The process of its agent.
    banyanlock::SoakProcess &agent(std::size_t index)
    {
        return *m_processes[m_options.entries + index];
    }

    /// Stops listening for an executor and resets its connections, or listens again.
    /// @param index Number of the executor.
    /// @param refused Whether connections to it are refused.
    void setRefused(std::size_t index, bool refused);

    /// Partitions a worker's machine from the entries, silently, or heals the partition.
    /// @param index Number of the executor.
    /// @param cut Whether it is cut off.
    void setCut(std::size_t index, bool cut);

    /// @return Options of the play.
    const PlayOptions &options() const
    {
        return m_options;
    }

private:
    void writeConfiguration();
    void waitUntilReady();
    void call(const std::string &method, const std::string &path, std::size_t entry, const std::string &body,
              std::function<void(const banyanlock::HttpReply &)> callback);
    void handIn(const std::string &id);
    void sampleLost(const Room &task, banyanlock::TimePoint until);

    PlayOptions m_options;
    std::ofstream m_record;
    banyanlock::EventLoop m_loop;
    banyanlock::HttpClient m_http;
    Fleet m_fleet;
    std::unique_ptr<Store> m_store;
    std::vector<banyanlock::Endpoint> m_executorEndpoints;
    std::vector<banyanlock::Endpoint> m_executorProxyEndpoints;
    std::vector<std::unique_ptr<banyanlock::SoakProxy>> m_executorProxies;
    std::vector<std::unique_ptr<banyanlock::SoakProxy>> m_agentProxies;
    std::vector<std::string> m_callerAddresses;
    std::vector<std::string> m_readyAddresses;
    std::vector<std::unique_ptr<banyanlock::SoakProcess>> m_processes; // entries, then agents
    std::map<std::string, Job> m_jobs;
    std::map<std::string, banyanlock::TimePoint> m_idleSince;
    std::function<void()> m_onReady;
    std::size_t m_readyEntries = 0;
    int m_readyTries = 0;
    std::size_t m_nextEntry = 0;
    banyanlock::TimePoint m_begin{};
    std::vector<std::string> m_violations;
    bool m_failed = false;
};

} // namespace review
