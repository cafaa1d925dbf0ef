#pragma once

#include "RowsServer.h"
#include "RunChecks.h"
#include "SoakProcess.h"
#include "SoakProxy.h"
#include "WorkerServer.h"
#include "core/Random.h"
#include "runtime/EventLoop.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanlock
{

/// Room of a worker, unless a fault has changed it.
inline constexpr Resources usualCapacity{128000, 256000, 8};

/// Kind of a worker, unless a fault has changed it.
inline constexpr const char *usualKind = "kind";

/// Size and length of a soak.
struct SoakOptions {
    std::uint64_t seed = 1; ///< Seed of loads and faults.
    std::string program; ///< Path of the product's program.
    std::string directory; ///< Where settings and logs are written.
    std::uint16_t firstPort = 26000; ///< First of the ports that are used.
    std::size_t entries = 3; ///< Entries.
    std::size_t workers = 6; ///< Workers, each with an agent.
    bool cutAnswers = false; ///< Connections close in place of half of the workers' answers, and workers refuse a part of the starts.
    bool callsBeforeContact = true; ///< Late calls may reach a new incarnation of a worker before its agent has called it.
    Duration faultTime = fromMilliseconds(12000); ///< Time for which faults are injected.
    Duration settleTime = fromMilliseconds(45000); ///< Longest time after it in which all accepted jobs must end.
};

/// Runs the real programs as processes against the platform's store and workers in this process, injects faults from outside, and checks
/// what callers were promised.
class Soak
{
public:
    /// @param options Size and length.
    explicit Soak(SoakOptions options);

    ~Soak();

    Soak(const Soak &) = delete;
    Soak &operator=(const Soak &) = delete;

    /// Runs it to its end.
    /// @return What went wrong; empty when every promise was kept.
    std::vector<std::string> run();

    /// @return Jobs that were accepted.
    std::size_t acceptedJobs() const;

private:
    /// What a caller knows of a job.
    struct Job {
        std::string path; // of its queue
        bool answered = false; // some try ended otherwise than with a refusal
        bool accepted = false;
        bool cancelled = false; // a cancellation was sent
        bool over = false; // shown as ended
        int tries = 0;
    };

    void makePlatform();
    void makePrograms();
    void writeConfiguration();
    void scheduleRound();
    void addJob();
    std::string makeJob();
    void submit(const std::string &id, std::size_t entry);
    void cancel(const std::string &id, std::size_t entry);
    void cancelHeldUpSubmission();
    void ask(const std::string &id, std::size_t entry);
    void call(const std::string &method, const std::string &id, std::size_t entry, const std::string &body,
              std::function<void(const HttpReply &)> callback);
    void takeState(const std::string &id, const HttpReply &reply, bool wasOver);
    void injectFault();
    void harmProcess();
    void harmStore();
    void harmLinks();
    void harmWorker();
    void harmMachine();
    void pauseProcesses();
    void makeCallsLate(double share);
    void restart(SoakProcess &process, Duration after);
    void losePower(std::size_t machine);
    void losePowerOfAll(std::uint32_t times);
    void changeKind(std::size_t machine, const Resources &capacity, const std::string &kind);
    SoakProcess &agentOf(std::size_t machine)
    {
        return *m_processes[m_options.entries + machine];
    }
    void heal();
    void checkSettled();
    void finish();
    void fault(const std::string &what);
    std::string address(std::size_t offset) const;
    Endpoint endpoint(std::size_t offset) const;

    SoakOptions m_options;
    Random m_random;
    EventLoop m_loop;
    HttpClient m_http;
    RunChecks m_checks;
    RowsServer m_rows;
    std::vector<std::unique_ptr<WorkerServer>> m_workers;
    std::vector<std::unique_ptr<SoakProxy>> m_storeProxies; // by process
    std::vector<std::unique_ptr<SoakProxy>> m_workerProxies; // by worker
    std::vector<std::unique_ptr<SoakProxy>> m_callerProxies; // by entry
    std::vector<std::unique_ptr<SoakProxy>> m_agentProxies; // by worker, between entries and agents
    std::vector<std::unique_ptr<SoakProcess>> m_processes; // entries, then agents
    std::map<std::string, std::pair<std::string, std::string>> m_specs; // body by job
    std::map<std::string, Job> m_jobs;
    std::uint64_t m_configurationVersion = 0;
    TimePoint m_faultsEnd{};
    TimePoint m_deadline{};
};

} // namespace banyanlock
