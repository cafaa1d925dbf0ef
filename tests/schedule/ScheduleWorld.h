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

/// Size and faults of a schedule world.
struct ScheduleOptions {
    int entries = 2; ///< Entries; each can own each cell.
    int domains = 2; ///< Failure domains.
    int racksPerDomain = 2; ///< Racks of each.
    int workersPerRack = 2; ///< Workers of each rack.
    std::uint32_t accelerators = 8; ///< Accelerators of each worker.
    NetworkFaults network; ///< Faults of all links.
    double lostAnswerProbability = 0; ///< Chance that the answer of a transaction that took effect is lost.
    double lostRequestProbability = 0; ///< Chance that a transaction never reaches the store.
    double slowStoreProbability = 0; ///< Chance that a transaction or a read takes up to three seconds.
    double staleReadProbability = 0; ///< Chance that rows of an old read are adopted once more.
    double failStarts = 0; ///< Chance that a worker fails everything that it starts.
    bool routeSubmissions = false; ///< Whether the first entry's router picks the cells of jobs; else chance does.
    CellPolicy policy; ///< Policy of all cells.
    CellTiming timing; ///< Times of all cells.
};

/// A submitted job as the outside sees it.
struct TrackedJob {
    std::string id; ///< Id of the job.
    JobSpec spec; ///< What was asked for.
    TimePoint submittedAt{}; ///< When it was recorded.
    std::optional<TimePoint> cancelledWhileQueued; ///< When it was cancelled before any start.
    std::optional<TimePoint> startedAt; ///< When its first task started.
    std::optional<TimePoint> endedAt; ///< When its row said that it had ended.
    std::optional<TimePoint> partialSince; ///< Since when only a part of its gang runs.
};

/// Entries with cells, workers and the table service in virtual time, with everything that can go wrong between them. Violations of the
/// promises are collected as text.
class ScheduleWorld
{
public:
    /// Longest time for which a part of a gang may run without the rest: the checkpoint's grace, then one validity of a message.
    static constexpr Duration maxPartialGangDuration = fromMilliseconds(12000);

    /// Time after which nothing starts in a failure domain that is out.
    static constexpr Duration maxStartDelayAfterOut = fromMilliseconds(3000);

    /// @param seed Seed of all chances.
    /// @param options Size and faults.
    ScheduleWorld(std::uint64_t seed, ScheduleOptions options);

    ~ScheduleWorld();

    /// Records a job.
    /// @param spec The job.
    /// @return Its id.
    std::string submit(const JobSpec &spec);

    /// Cancels a job as an operator would.
    /// @param id Id of the job.
    void cancel(const std::string &id);

    /// Takes a failure domain out or brings it in.
    /// @param domain Index of the failure domain.
    /// @param out Whether it goes out.
    void setOut(int domain, bool out);

    /// Puts a contract.
    /// @param contract The contract.
    void putContract(const Contract &contract);

    /// Puts a contract without guarantees.
    /// @param workspace Workspace.
    /// @param accelerators Its limit.
    void putLimit(const std::string &workspace, std::uint32_t accelerators);

    /// Lets an entry take a cell, whoever owns it.
    /// @param entry Index of the entry.
    /// @param domain Index of the failure domain.
    void acquireCell(int entry, int domain);

    /// Kills an entry and starts a new process in its place.
    /// @param entry Index of the entry.
    void restartEntry(int entry);

    /// Stops an entry from acting for a while; messages wait.
    /// @param entry Index of the entry.
    /// @param length How long.
    void freezeEntry(int entry, Duration length);

    /// Kills a worker's process and starts a new one; its tasks are gone.
    /// @param worker Index of the worker.
    void rebootWorker(int worker);

    /// Stops a worker's interface from acting for a while; messages wait, tasks and leases go on.
    /// @param worker Index of the worker.
    /// @param length How long.
    void freezeWorker(int worker, Duration length);

    /// Cuts a worker off for a while.
    /// @param worker Index of the worker.
    /// @param length How long.
    void disconnectWorker(int worker, Duration length);

    /// Cuts one entry off from the store for a while.
    /// @param entry Index of the entry.
    /// @param length How long.
    void disconnectEntryFromStore(int entry, Duration length);

    /// Lets one entry's reads show nothing new for a while; its writes go through.
    /// @param entry Index of the entry.
    /// @param length How long.
    void makeReadsStale(int entry, Duration length);

    /// Makes the store unreachable for a while.
    /// @param length How long.
    void interruptStore(Duration length);

    /// Lets the store lose the answers of transactions for a while.
    /// @param length How long.
    void loseStoreAnswers(Duration length);

    /// Ends all faults of links and store.
    void clearFaults();

    /// Lets time pass.
    /// @param length How much.
    void run(Duration length);

    /// Checks what must hold at the end: every job has ended.
    void checkAllJobsEnded();

    /// @return What was violated.
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

    /// @return Step of a job at the owner of its cell: the phase of its gang, `queued`, or empty.
    /// @param id Id of the job.
    std::string stepOf(const std::string &id) const;

    /// @return Run of a job in the store.
    /// @param id Id of the job.
    std::uint32_t runOf(const std::string &id) const;

    /// @return Counters of all entries together.
    const Counters &counters() const
    {
        return m_counters;
    }

    /// @return Accelerator microseconds of finished or saved work.
    double workDone() const
    {
        return m_workDone;
    }

    /// @return Accelerators in use now.
    std::uint32_t acceleratorsInUse() const;

    /// @return Accelerators that no task runs on, in failure domains that are in.
    std::uint32_t freeAccelerators() const;

    /// @param workers Workers of one rack that a gang needs.
    /// @param accelerators Accelerators that it needs on each.
    /// @return Free accelerators that gangs of this shape could take.
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

    /// @return Source of all chances.
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
    void recordViolation(const std::string &text);

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
