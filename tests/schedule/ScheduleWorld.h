#pragma once

#include "TableModel.h"
#include "WorkerModel.h"
#include "contract/Configuration.h"
#include "core/Counters.h"
#include "core/TimerService.h"
#include "schedule/Cell.h"
#include "support/VirtualNetwork.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyanlock
{

/// Size and fault rates of a simulation.
struct ScheduleOptions {
    int entries = 2; ///< Number of entries; each can own any cell.
    int domains = 2; ///< Number of failure domains.
    int racksPerDomain = 2; ///< Racks of each failure domain.
    int workersPerRack = 2; ///< Workers of each rack.
    std::uint32_t accelerators = 8; ///< Accelerators of each worker.
    NetworkFaults network; ///< Network faults of all links.
    double lostAnswerProbability = 0; ///< Probability that the reply to a committed transaction is lost.
    double lostRequestProbability = 0; ///< Probability that a transaction never reaches the store.
    double slowStoreProbability = 0; ///< Probability that a transaction or a read takes up to three seconds.
    double staleReadProbability = 0; ///< Probability that the configuration rows of an earlier read are applied again.
    double failStarts = 0; ///< Probability that a worker fails every task that it starts.
    bool routeSubmissions = false; ///< Whether the router of the first entry selects the cells of jobs; otherwise they are random.
    CellPolicy policy; ///< Scheduling policy of all cells.
    CellTiming timing; ///< Intervals and timeouts of all cells.
};

/// Submitted job as observed from outside the scheduler.
struct TrackedJob {
    std::string id; ///< Id of the job.
    JobSpec spec; ///< Specification as submitted.
    TimePoint submittedAt{}; ///< When the job was written to the store.
    std::optional<TimePoint> cancelledWhileQueued; ///< When it was cancelled while queued.
    std::optional<TimePoint> startedAt; ///< When its first task started.
    std::optional<TimePoint> endedAt; ///< When its row was first seen in a final state.
    std::optional<TimePoint> partialSince; ///< Since when only some tasks of its gang are running.
};

/// Simulation of entries with cells, workers and the table service in virtual time, with injected faults of processes, links and store.
/// Violations of the scheduler's invariants are collected as text.
class ScheduleWorld
{
public:
    /// Maximum time for which only some tasks of a gang may run: the checkpoint grace period plus the validity of one message.
    static constexpr Duration maxPartialGangDuration = fromMilliseconds(12000);

    /// Time after which no task starts in a failure domain that was taken out of service.
    static constexpr Duration maxStartDelayAfterOut = fromMilliseconds(3000);

    /// @param seed Seed of all random decisions.
    /// @param options Size and fault rates.
    ScheduleWorld(std::uint64_t seed, ScheduleOptions options);

    ~ScheduleWorld();

    /// Submits a job.
    /// @param spec Specification of the job.
    /// @return Id of the job.
    std::string submit(const JobSpec &spec);

    /// Cancels a job as the API does.
    /// @param id Id of the job.
    void cancel(const std::string &id);

    /// Takes a failure domain out of service or back into service.
    /// @param domain Index of the failure domain.
    /// @param out Whether it is taken out.
    void setOut(int domain, bool out);

    /// Writes a contract.
    /// @param contract Contract to write.
    void putContract(const Contract &contract);

    /// Writes a contract without guarantees.
    /// @param workspace Name of the workspace.
    /// @param accelerators Accelerator limit of the workspace.
    void putLimit(const std::string &workspace, std::uint32_t accelerators);

    /// Lets an entry acquire a cell regardless of its current owner.
    /// @param entry Index of the entry.
    /// @param domain Index of the failure domain.
    void acquireCell(int entry, int domain);

    /// Kills an entry and starts a new process for it.
    /// @param entry Index of the entry.
    void restartEntry(int entry);

    /// Suspends an entry for a time; messages to it are delivered afterwards.
    /// @param entry Index of the entry.
    /// @param length Duration of the fault.
    void freezeEntry(int entry, Duration length);

    /// Restarts the process of a worker; its tasks are lost.
    /// @param worker Index of the worker.
    void rebootWorker(int worker);

    /// Suspends the interface of a worker for a time. Messages to it are delivered afterwards; tasks and leases continue.
    /// @param worker Index of the worker.
    /// @param length Duration of the fault.
    void freezeWorker(int worker, Duration length);

    /// Partitions a worker from all entries for a time.
    /// @param worker Index of the worker.
    /// @param length Duration of the fault.
    void partitionWorker(int worker, Duration length);

    /// Partitions an entry from the store for a time.
    /// @param entry Index of the entry.
    /// @param length Duration of the fault.
    void partitionEntryFromStore(int entry, Duration length);

    /// Stops an entry from polling new rows for a time; its writes still succeed.
    /// @param entry Index of the entry.
    /// @param length Duration of the fault.
    void makeReadsStale(int entry, Duration length);

    /// Makes the store unreachable for a time.
    /// @param length Duration of the fault.
    void interruptStore(Duration length);

    /// Drops the replies to all transactions for a time.
    /// @param length Duration of the fault.
    void loseStoreAnswers(Duration length);

    /// Ends all faults of links, store and worker behaviour.
    void clearFaults();

    /// Advances the virtual time.
    /// @param length Duration to advance by.
    void run(Duration length);

    /// Records a violation for each job that has not ended.
    void checkAllJobsEnded();

    /// @return Descriptions of all violations.
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

    /// @return All jobs by id.
    const std::map<std::string, TrackedJob> &jobs() const
    {
        return m_jobs;
    }

    /// @return State of a job in the store.
    /// @param id Id of the job.
    JobState stateOf(const std::string &id) const;

    /// @return Phase of the job's gang at any entry, `queued` for a queued job without a gang, or empty.
    /// @param id Id of the job.
    std::string stepOf(const std::string &id) const;

    /// @return Run number of a job in the store.
    /// @param id Id of the job.
    std::uint32_t runOf(const std::string &id) const;

    /// @return Metrics summed over all entries.
    const Counters &counters() const
    {
        return m_counters;
    }

    /// @return Accelerator microseconds used by running tasks.
    double workDone() const
    {
        return m_workDone;
    }

    /// @return Accelerators in use now.
    std::uint32_t acceleratorsInUse() const;

    /// @return Accelerators without a running task in failure domains that are in service.
    std::uint32_t freeAccelerators() const;

    /// @param workers Workers of one rack that a gang needs.
    /// @param accelerators Accelerators that the gang needs on each worker.
    /// @return Free accelerators that gangs of this shape could use.
    std::uint32_t freeInWholeRacks(std::uint32_t workers, std::uint32_t accelerators) const;

    /// @return Rows written to the store.
    std::uint64_t rowsWritten() const
    {
        return m_store.rowsWritten();
    }

    /// @return Current virtual time.
    TimePoint now() const
    {
        return m_network.now();
    }

    /// @return Random number generator of the simulation.
    Random &random()
    {
        return m_random;
    }

    /// @return Number of workers.
    int workerCount() const
    {
        return static_cast<int>(m_workers.size());
    }

private:
    struct EntryProcess;
    struct WorkerProcess;

    EntryProcess &entryAt(int index) const;
    WorkerProcess &workerAt(int index) const;
    void startEntry(int index);
    void startWorker(int index);
    void withEntry(int index, std::uint64_t incarnation, const std::function<void(EntryProcess &)> &event);
    void withWorker(int index, const std::function<void(WorkerProcess &)> &event);
    void performActions(EntryProcess &entry);
    WorkerReport deliver(WorkerProcess &worker, const WorkerMessage &message);
    void perform(EntryProcess &entry, std::size_t cell, SendWorkerMessage &action);
    void perform(EntryProcess &entry, std::size_t cell, CommitJob &action);
    void perform(EntryProcess &entry, std::size_t cell, RefreshJob &action);
    void perform(EntryProcess &, std::size_t, LogGangEvent &)
    {
    }
    void tickEntry(int index, std::uint64_t incarnation);
    void tickWorkers();
    void poll(EntryProcess &entry);
    void adopt(EntryProcess &entry, const ScanResult &scan);
    void observeStart(const TaskKey &task, const WorkerInfo &worker);
    void observeGangs();
    void observeEnds();
    std::vector<std::uint32_t> freeByWorker() const;
    Duration storeDelay();
    bool storeIsUp() const;
    bool storeAnswers(const EntryProcess &entry) const;
    CommitResult writeConfiguration(const std::string &key, const std::string &value);
    std::string domainName(int domain) const;
    void reportViolation(const std::string &text);

    Random m_random;
    ScheduleOptions m_options;
    VirtualNetwork m_network;
    Counters m_counters;
    TableModel m_store;
    Fleet m_fleet;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
    std::vector<std::unique_ptr<EntryProcess>> m_deadEntries;
    std::vector<std::unique_ptr<WorkerProcess>> m_workers;
    std::map<std::string, TrackedJob> m_jobs;
    std::map<TaskKey, Duration> m_progress;
    std::map<std::string, TimePoint> m_outSince;
    std::map<std::string, std::set<std::uint32_t>> m_prepared;
    std::vector<std::string> m_violations;
    TimePoint m_storeDownUntil{};
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_observedVersion = 0;
    std::uint32_t m_nextJob = 1;
    double m_workDone = 0;
};

} // namespace banyanlock
