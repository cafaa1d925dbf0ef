// Measures the owner of a pool in virtual time: the scheduler against workers that execute its orders, at several sizes of the pool. The
// load has the mix of a large deployment: urgent gangs of 8, gangs of 25 on whole workers, and bulk jobs of 78 independent tasks.

#include "BenchTable.h"
#include "PlannerBench.h"
#include "core/Random.h"
#include "graph/GraphCodec.h"
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace banyanlock;

constexpr Duration tick = fromMilliseconds(10);
constexpr Duration callDelay = fromMilliseconds(20); // there and back
constexpr Duration commitDelay = fromMilliseconds(30);
constexpr Duration stepInterval = fromMilliseconds(20); // as in the daemon
constexpr std::int64_t unixOrigin = 1'700'000'000'000;

/// @return Processor time of this thread, in milliseconds.
double processorMilliseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// Adds the processor time of its lifetime to a sum.
class ProcessorTimer
{
public:
    explicit ProcessorTimer(double &sum)
        : m_sum(sum)
        , m_begin(processorMilliseconds())
    {
    }
    ~ProcessorTimer()
    {
        m_sum += processorMilliseconds() - m_begin;
    }
    ProcessorTimer(const ProcessorTimer &) = delete;
    ProcessorTimer &operator=(const ProcessorTimer &) = delete;

private:
    double &m_sum;
    double m_begin;
};

/// Kind of job of the load.
struct JobKind {
    std::uint32_t priority;
    std::uint32_t tasks;
    bool gang;
    std::int64_t processors;
    std::int64_t maxAccelerators;
    std::int64_t milliseconds;
    double perSecondAndWorker;
};

constexpr std::array kinds{JobKind{0, 8, true, 15000, 2, 2500, 3.65 / 240}, JobKind{1, 25, true, 52000, 4, 8500, 0.668 / 240},
                           JobKind{2, 78, false, 11000, 1, 6100, 0.782 / 240}};

/// An agent with its worker: executes orders at once.
struct ModelAgent {
    struct Run {
        RunName name;
        TimePoint end{};
    };
    struct Poll {
        CallAgent call;
        TimePoint deadline{};
    };

    std::string address;
    WorkerStatus status;
    std::vector<Run> runs;
    std::uint64_t nextEnd = 1;
    std::optional<Poll> poll;

    void execute(const SuperviseRequest &request, TimePoint now, const std::map<std::string, Duration> &durations)
    {
        status.highestEpoch = std::max(status.highestEpoch, request.epoch);
        status.runsKnownEpoch = status.highestEpoch;
        std::erase_if(status.ends, [&](const RunEnd &end) {
            return end.number <= request.acknowledgedEnd;
        });
        for (const TaskOrder &order : request.orders) {
            if (order.kind == TaskOrderKind::Start) {
                runs.push_back({order.run, now + durations.at(order.run.task.job)});
            } else {
                endRuns(RunEnding::Stopped, [&](const Run &run) {
                    return run.name == order.run;
                });
            }
        }
        if (request.batch != 0) {
            status.lastOrderBatch = request.batch;
            listRuns();
        }
    }

    template <typename Predicate> void endRuns(RunEnding ending, Predicate ends)
    {
        for (const Run &run : runs) {
            if (ends(run)) {
                status.ends.push_back({nextEnd++, run.name, ending, {}});
            }
        }
        if (std::erase_if(runs, ends) > 0) {
            listRuns();
        }
    }

    void listRuns()
    {
        ++status.number;
        status.runs.clear();
        for (const Run &run : runs) {
            status.runs.push_back({run.name, false, {}});
        }
    }
};

/// Processor time by part and counts of one run.
struct Measurement {
    double step = 0;
    double answers = 0;
    double batches = 0;
    double longestStep = 0;
    std::size_t calls = 0;
    std::size_t rowBytes = 0;
    std::size_t finished = 0;
};

/// A pool in virtual time.
class OwnerBench
{
public:
    /// @param workers Number of workers.
    /// @param load Load relative to the deployment's; from 2 on jobs wait for room.
    OwnerBench(std::uint32_t workers, double load)
        : m_load(load)
    {
        m_operators.configurationRowVersion = 1;
        m_operators.configuration.workspaces.push_back({"workspace", {}, static_cast<std::int64_t>(workers) * 4});
        constexpr std::uint32_t rackSize = 8;
        for (std::uint32_t index = 0; index < workers; ++index) {
            ModelAgent agent;
            agent.address = "10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
                + std::to_string(index % 256) + ":7000";
            agent.status.agentIncarnation = 1;
            agent.status.number = 1;
            agent.status.runsKnown = true;
            agent.status.answering = true;
            agent.status.workerFence = 1;
            WorkerAnnouncement &worker = agent.status.worker;
            worker.incarnation = {"worker-" + std::to_string(index), unixOrigin};
            worker.service = "service";
            worker.failureDomain = "domain-" + std::to_string(index % 6);
            worker.capacity = {128000, 524288, 8};
            worker.labels = {"a", "rack-" + std::to_string(index / rackSize)};
            m_agents[agent.address] = std::move(agent);
        }
    }

    Measurement run(Duration warmup, Duration length)
    {
        m_scheduler.acquireOwnership(1, true, m_now);
        for (const auto &[address, agent] : m_agents) {
            m_scheduler.addAgent(address);
        }
        advance(warmup);
        m_measured = Measurement();
        const std::size_t ended = m_jobs.ended().size();
        advance(length);
        m_measured.finished = m_jobs.ended().size() - ended;
        return m_measured;
    }

    std::size_t runningTasks() const
    {
        std::size_t tasks = 0;
        for (const auto &[address, agent] : m_agents) {
            tasks += agent.runs.size();
        }
        return tasks;
    }

    std::size_t openJobs() const
    {
        return m_jobs.open().size();
    }

private:
    void advance(Duration span)
    {
        const TimePoint end = m_now + span;
        while (m_now < end) {
            m_now += tick;
            submitJobs();
            deliver();
            flush();
        }
    }

    void submitJobs()
    {
        for (const JobKind &kind : kinds) {
            m_owed[&kind]
                += m_load * kind.perSecondAndWorker * static_cast<double>(m_agents.size()) * static_cast<double>(tick.count()) / 1e6;
            for (; m_owed[&kind] >= 1.0; m_owed[&kind] -= 1.0) {
                submit(kind);
            }
        }
    }

    void submit(const JobKind &kind)
    {
        GraphRecord record;
        const std::string number = std::to_string(++m_submitted);
        record.id = std::string(16 - number.size(), '0') + number;
        record.spec.payload = "work";
        StepSpec step;
        step.tasks = kind.tasks;
        step.gang = kind.gang;
        step.demand = {kind.processors, 4000, 1 + m_random.below(static_cast<std::uint32_t>(kind.maxAccelerators))};
        step.estimate = fromMilliseconds(kind.milliseconds);
        step.checkpoints = !kind.gang;
        record.spec.steps = {step};
        record.terms = {"queue", "workspace", "service", kind.priority, 3, 2.0, fromMilliseconds(500)};
        record.acceptedUnixMilliseconds = unixOrigin + toMilliseconds(m_now.time_since_epoch());
        m_durations[record.id] = fromMilliseconds(kind.milliseconds * (80 + m_random.below(40)) / 100);
        const std::string table(PoolRows::table);
        m_jobs.adopt({table, PoolRows::keyOf(PoolRows::specPrefix, record.id), ++m_version, encodeGraphSpec(record), false}, true);
        m_jobs.adopt({table, PoolRows::keyOf(PoolRows::progressPrefix, record.id), ++m_version, encodeGraphProgress({}), false}, true);
        m_scheduler.onRows();
    }

    void deliver()
    {
        for (auto &[address, agent] : m_agents) {
            const std::uint64_t before = agent.status.number;
            agent.endRuns(RunEnding::Succeeded, [&](const ModelAgent::Run &run) {
                return m_now >= run.end;
            });
            if (agent.poll && (agent.status.number != before || m_now >= agent.poll->deadline)) {
                m_answers.push_back({m_now + callDelay / 2, agent.poll->call});
                agent.poll.reset();
            }
        }
        while (!m_arrivals.empty() && m_now >= m_arrivals.front().first) {
            const CallAgent call = std::move(m_arrivals.front().second);
            m_arrivals.pop_front();
            ModelAgent &agent = m_agents.at(call.agent);
            agent.execute(call.request, m_now, m_durations);
            if (hasUpdate(agent.status, call.request) || call.request.wait == Duration::zero()) {
                m_answers.push_back({m_now + callDelay / 2, call});
            } else {
                agent.poll = ModelAgent::Poll{call, m_now + call.request.wait};
            }
        }
        while (!m_answers.empty() && m_now >= m_answers.front().first) {
            const CallAgent call = std::move(m_answers.front().second);
            m_answers.pop_front();
            WorkerStatus status = m_agents.at(call.agent).status;
            status.clock = m_now;
            status.unixMilliseconds = unixOrigin + toMilliseconds(m_now.time_since_epoch());
            const ProcessorTimer timer(m_measured.answers);
            m_scheduler.onCallAnswered(call.agent, call.call, &status, m_now - callDelay, m_now);
        }
        if (m_batch && m_now >= m_batchDone) {
            const ProcessorTimer timer(m_measured.batches);
            m_batch.reset();
            m_scheduler.onCommitted(m_now);
        }
    }

    void flush()
    {
        if (m_scheduler.isStepDue() && m_now - m_lastStep >= stepInterval) {
            m_lastStep = m_now;
            double milliseconds = 0;
            {
                const ProcessorTimer timer(milliseconds);
                m_scheduler.step(m_now, unixOrigin + toMilliseconds(m_now.time_since_epoch()));
            }
            m_measured.step += milliseconds;
            m_measured.longestStep = std::max(m_measured.longestStep, milliseconds);
        } else {
            m_scheduler.onTick();
        }
        if (!m_batch) {
            const ProcessorTimer timer(m_measured.batches);
            m_batch = m_scheduler.takeBatch(m_now);
            m_batchDone = m_now + commitDelay;
            for (std::size_t index = 0; m_batch && index < m_batch->writes.size(); ++index) {
                m_measured.rowBytes += m_batch->writes[index].value.value_or("").size();
            }
        }
        for (CallAgent &call : m_scheduler.takeCalls()) {
            ++m_measured.calls;
            m_arrivals.push_back({m_now + callDelay / 2, std::move(call)});
        }
    }

    double m_load;
    TimePoint m_now{std::chrono::seconds(1000)};
    Random m_random{1};
    Counters m_counters;
    GraphTable m_jobs;
    OperatorView m_operators;
    PoolScheduler m_scheduler{m_jobs, m_operators, {"operators", "configuration", "out/"}, PoolTiming(), PlannerPolicy(), m_counters};
    std::map<std::string, ModelAgent> m_agents;
    std::map<const JobKind *, double> m_owed;
    std::map<std::string, Duration> m_durations;
    std::deque<std::pair<TimePoint, CallAgent>> m_arrivals;
    std::deque<std::pair<TimePoint, CallAgent>> m_answers;
    std::optional<PoolBatch> m_batch;
    TimePoint m_batchDone{};
    TimePoint m_lastStep{};
    std::uint64_t m_version = 0;
    std::uint64_t m_submitted = 0;
    Measurement m_measured;
};

} // namespace

int main(int count, char **arguments)
{
    const std::uint32_t largest = count > 1 ? static_cast<std::uint32_t>(std::atoi(arguments[1])) : 1200;
    std::printf("Usage: owner_bench [largest number of workers]. Processor milliseconds for each simulated second.\n\n");
    const BenchTable table({"workers", "load", "running tasks", "open jobs", "calls/s", "answers", "step", "batches", "all",
                            "longest step, ms", "row KB/s", "jobs ended/s"});
    for (const std::uint32_t workers : {11U, 57U, 240U, 1200U, 6100U}) {
        if (workers > largest) {
            break;
        }
        for (const double load : {1.0, 2.5}) {
            OwnerBench bench(workers, load);
            const Duration length = fromMilliseconds(10000);
            const double seconds = static_cast<double>(length.count()) / 1e6;
            const Measurement measured = bench.run(fromMilliseconds(8000), length);
            BenchTable::addRow(
                {std::to_string(workers), formatNumber(load), std::to_string(bench.runningTasks()), std::to_string(bench.openJobs()),
                 formatNumber(static_cast<double>(measured.calls) / seconds, 0), formatNumber(measured.answers / seconds),
                 formatNumber(measured.step / seconds), formatNumber(measured.batches / seconds),
                 formatNumber((measured.answers + measured.step + measured.batches) / seconds), formatNumber(measured.longestStep),
                 formatNumber(static_cast<double>(measured.rowBytes) / 1000 / seconds, 0),
                 formatNumber(static_cast<double>(measured.finished) / seconds)});
        }
    }
    std::printf("\nOne plan:\n\n");
    runPlannerBench(largest);
    return EXIT_SUCCESS;
}
