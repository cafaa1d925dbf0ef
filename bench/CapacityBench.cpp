// Slopes for docs/CAPACITY.md: processor time, memory and message sizes at several sizes, with straight lines fitted.

#include "BenchTable.h"
#include "TableModel.h"
#include "WorkerModel.h"
#include "contract/ContractCodec.h"
#include "dispatch/RequestPipeline.h"
#include "schedule/Cell.h"
#include "schedule/JobCodec.h"
#include "schedule/WorkerCodec.h"

#include <chrono>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{

using namespace banyanlock;

/// Processor seconds of this process.
double processorSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/// Resident memory of this process, in megabytes.
double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    double resident = 0;
    file >> pages >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Straight line through measured points.
struct Line {
    double slope = 0;
    double intercept = 0;

    static Line fit(const std::vector<double> &x, const std::vector<double> &y)
    {
        double meanX = 0;
        double meanY = 0;
        for (std::size_t index = 0; index < x.size(); ++index) {
            meanX += x[index] / static_cast<double>(x.size());
            meanY += y[index] / static_cast<double>(y.size());
        }
        double covariance = 0;
        double variance = 0;
        for (std::size_t index = 0; index < x.size(); ++index) {
            covariance += (x[index] - meanX) * (y[index] - meanY);
            variance += (x[index] - meanX) * (x[index] - meanX);
        }
        const double slope = covariance / variance;
        return {slope, meanY - slope * meanX};
    }
};

/// A cell with workers that answer at once, in virtual time.
class CellRig
{
public:
    explicit CellRig(std::uint32_t workerCount)
        : m_fleet(makeWorkers(workerCount))
        , m_configuration(m_counters)
        , m_plan(m_fleet, {}, {})
    {
        Contract contract;
        contract.workspace = "w";
        contract.limits.accelerators = 100000;
        m_configuration.adopt(
            std::vector<TableRow>{{ConfigurationRows::table, ConfigurationRows::contractKey("w"), 1, encodeContract(contract)}});
        m_cell = std::make_unique<Cell>("fd", "entry", CellContext{m_timers, m_counters, m_fleet, m_configuration, m_plan, m_jobs});
        for (const WorkerInfo &info : m_fleet.workers()) {
            m_workers.emplace_back(info, 1, WorkerBehaviour());
        }
        m_cell->acquireOwnership(1, m_now);
        m_cell->onJobsRead(1, m_now);
    }

    void submit(std::uint32_t tasks, std::uint32_t accelerators)
    {
        JobRecord record;
        record.id = "job-" + std::to_string(m_nextJob++);
        record.spec.workspace = "w";
        record.spec.name = "n";
        record.spec.shape = {tasks, accelerators, 1, 0, Adjacency::FailureDomain};
        record.spec.durationHintMilliseconds = 1000000000;
        record.cell = "fd";
        record.version = ++m_version;
        m_jobs.adopt(record);
    }

    void run(Duration length)
    {
        const TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += fromMilliseconds(10);
            m_timers.advanceTo(m_now);
            carryOut();
        }
    }

    std::size_t runningGangs() const
    {
        return static_cast<std::size_t>(std::ranges::count(m_cell->gangs(), GangPhase::Running, &Gang::phase));
    }

    std::uint64_t bytes() const
    {
        return m_bytes;
    }

    double workerSeconds() const
    {
        return m_workerSeconds;
    }

private:
    static std::vector<WorkerInfo> makeWorkers(std::uint32_t count)
    {
        std::vector<WorkerInfo> workers;
        for (std::uint32_t index = 0; index < count; ++index) {
            workers.push_back({"w" + std::to_string(index), "", "fd", "r" + std::to_string(index / 16), 2, 64, 1024});
        }
        return workers;
    }

    void carryOut()
    {
        for (CellAction &action : m_cell->takeActions()) {
            if (SendWorkerMessage *message = std::get_if<SendWorkerMessage>(&action)) {
                const auto place = std::ranges::find(m_fleet.workers(), message->worker, &WorkerInfo::name);
                const double before = processorSeconds();
                const WorkerReport report
                    = m_workers[static_cast<std::size_t>(place - m_fleet.workers().begin())].onMessage(message->message, m_now);
                m_workerSeconds += processorSeconds() - before;
                // Encoding and decoding are the owner's work too.
                const std::string sent = encodeWorkerMessage(message->message);
                const std::string received = encodeWorkerReport(report);
                m_bytes += sent.size() + received.size();
                m_cell->onReport(message->worker, valueOf(decodeWorkerReport(received)), m_now);
            } else if (CommitJob *commit = std::get_if<CommitJob>(&action)) {
                m_cell->onCommit(commit->job, {CommitState::Committed, ++m_version, {}}, m_now);
            }
        }
    }

    Counters m_counters;
    TimerService m_timers;
    Fleet m_fleet;
    Configuration m_configuration;
    ReservationPlan m_plan;
    JobTable m_jobs;
    std::unique_ptr<Cell> m_cell;
    std::vector<WorkerModel> m_workers;
    TimePoint m_now{fromMilliseconds(1000000)};
    std::uint64_t m_version = 1;
    std::uint64_t m_bytes = 0;
    double m_workerSeconds = 0;
    int m_nextJob = 1;
};

/// Share of a core that the cell takes, in percent, while jobs wait for more than the cell has free.
double shareWithQueue(CellRig &rig, std::uint32_t workers)
{
    constexpr int jobs = 100;
    constexpr double seconds = 10;
    for (int job = 0; job < jobs; ++job) {
        rig.submit(workers, 2);
    }
    rig.run(fromMilliseconds(2000));
    const double before = processorSeconds() - rig.workerSeconds();
    rig.run(fromMilliseconds(10000));
    return 100 * (processorSeconds() - rig.workerSeconds() - before) / seconds;
}

void measureCell()
{
    std::printf("\n## Cell owner, steady state: one heartbeat a second to each worker, 1.6 accelerators a worker in use\n\n");
    const BenchTable table(
        {"workers", "running tasks", "processor, % of a core", "with 100 jobs that find no room", "bytes a second", "memory MB"});
    std::vector<double> sizes;
    std::vector<double> shares;
    std::vector<double> rates;
    std::vector<double> memory;
    for (const std::uint32_t workers : {85U, 170U, 340U}) {
        const double memoryBefore = residentMegabytes();
        CellRig rig(workers);
        rig.run(fromMilliseconds(2000));
        for (std::uint32_t job = 0; job < workers * 3 / 4; ++job) {
            rig.submit(1, 2);
        }
        for (std::uint32_t job = 0; job < workers * 3; ++job) {
            rig.submit(1, 0);
        }
        rig.run(fromMilliseconds(20000));
        constexpr double seconds = 10;
        const double before = processorSeconds() - rig.workerSeconds();
        const std::uint64_t bytesBefore = rig.bytes();
        rig.run(fromMilliseconds(10000));
        const double used = processorSeconds() - rig.workerSeconds() - before;
        sizes.push_back(workers);
        shares.push_back(100 * used / seconds);
        rates.push_back(static_cast<double>(rig.bytes() - bytesBefore) / seconds);
        memory.push_back(residentMegabytes() - memoryBefore);
        const double queued = shareWithQueue(rig, workers);
        BenchTable::addRow({std::to_string(workers), std::to_string(rig.runningGangs()), formatNumber(shares.back(), 2),
                            formatNumber(queued, 2), formatNumber(rates.back(), 0), formatNumber(memory.back(), 2)});
    }
    const Line processor = Line::fit(sizes, shares);
    const Line traffic = Line::fit(sizes, rates);
    std::printf("\nFit: processor %.4f%% + %.5f%% a worker; traffic %.0f + %.0f bytes a second a worker.\n", processor.intercept,
                processor.slope, traffic.intercept, traffic.slope);
}

template <typename Work> double millisecondsOf(Work work)
{
    const double before = processorSeconds();
    work();
    return 1000 * (processorSeconds() - before);
}

void measureDecisions()
{
    std::printf("\n## One decision at the letter's size (bound 50 ms)\n\n");
    const BenchTable table({"decision", "size", "processor ms"});
    for (const std::uint32_t tasks : {128U, 256U, 512U}) {
        CellRig rig(340);
        rig.run(fromMilliseconds(2000));
        rig.submit(tasks, 1);
        const double before = rig.workerSeconds();
        const double spent = millisecondsOf([&] {
            rig.run(fromMilliseconds(200));
        });
        BenchTable::addRow({"gang placed, prepared, recorded and started, all messages included",
                            std::to_string(tasks) + " tasks on 340 workers", formatNumber(spent - 1000 * (rig.workerSeconds() - before))});
    }
    std::vector<WorkerInfo> workers;
    for (std::uint32_t index = 0; index < 6100; ++index) {
        const std::string domain = "fd" + std::to_string(index % 18);
        workers.push_back(
            {"w" + std::to_string(index), "", domain, domain + "-r" + std::to_string(index / 18 / 16), index % 7 < 4 ? 1U : 2U, 64, 1024});
    }
    std::vector<Contract> contracts;
    for (int workspace = 0; workspace < 110; ++workspace) {
        Contract contract;
        contract.workspace = "team" + std::to_string(1000 + workspace);
        contract.guarantees = {{2, 8, 1, Adjacency::Rack}, {1, 16, 1, Adjacency::FailureDomain}};
        contract.limits.accelerators = 1000;
        contracts.push_back(contract);
    }
    const double fleetTime = millisecondsOf([&] {
        const Fleet fleet(workers);
        const ReservationPlan plan(fleet, contracts, {});
    });
    BenchTable::addRow({"all reservations packed anew", "6,100 workers, 110 contracts", formatNumber(fleetTime)});
    const Fleet fleet(workers);
    const double checkTime = millisecondsOf([&] {
        findGuaranteeShortfall(fleet, contracts);
    });
    BenchTable::addRow({"contract checked", "6,100 workers, 110 contracts", formatNumber(checkTime)});
}

void announceAgents(RequestPipeline &pipeline, int agents, TimePoint now)
{
    for (int agent = 0; agent < agents; ++agent) {
        Announcement announcement;
        announcement.agent = "agent" + std::to_string(agent);
        announcement.incarnation = static_cast<std::uint64_t>(agent) + 1;
        announcement.service = "s";
        announcement.failureDomain = "fd" + std::to_string(agent % 18);
        announcement.region = "r" + std::to_string(agent % 5);
        announcement.slots = 8;
        announcement.load.clock = now;
        pipeline.onAnnouncement(announcement, now);
    }
}

/// Sends one request and answers its attempt at once.
void passRequest(RequestPipeline &pipeline, TimePoint now)
{
    CallerRequest request;
    request.workspace = "w";
    request.service = "s";
    request.body = std::make_shared<const std::string>("b");
    request.timeout = fromMilliseconds(1000);
    pipeline.start(std::move(request), now);
    for (PipelineAction &action : pipeline.takeActions()) {
        if (const SendAttempt *attempt = std::get_if<SendAttempt>(&action)) {
            AttemptReply reply;
            reply.id = attempt->message.id;
            reply.agentIncarnation = attempt->message.agentIncarnation;
            reply.status = 200;
            reply.load.clock = now;
            pipeline.onReply(reply, now);
        }
    }
    pipeline.takeActions();
}

void measureRouting()
{
    std::printf("\n## Entry: one request through the pipeline, decisions only\n\n");
    const BenchTable table({"agents known", "processor us a request", "processor us an announcement", "memory MB"});
    std::vector<double> sizes;
    std::vector<double> times;
    for (const int agents : {10, 100, 1000}) {
        const double memoryBefore = residentMegabytes();
        TimerService timers;
        Counters counters;
        RequestPipeline pipeline({"fd0", "r0", 1}, CompletionTimePolicy(), timers, counters);
        const TimePoint now(fromMilliseconds(1000));
        pipeline.configure({{"w", 1e9, 1000000, 1}}, {}, now);
        announceAgents(pipeline, agents, now);
        const double announcing = millisecondsOf([&] {
            announceAgents(pipeline, agents, now);
        });
        constexpr int requests = 5000;
        const double passing = millisecondsOf([&] {
            for (int number = 0; number < requests; ++number) {
                passRequest(pipeline, now);
            }
        });
        BenchTable::addRow({std::to_string(agents), formatNumber(1000 * passing / requests, 2), formatNumber(1000 * announcing / agents, 2),
                            formatNumber(residentMegabytes() - memoryBefore, 2)});
        sizes.push_back(agents);
        times.push_back(1000 * passing / requests);
    }
    const Line line = Line::fit(sizes, times);
    std::printf("\nFit: %.2f us a request + %.4f us for each agent.\n", line.intercept, line.slope);
}

void measureRows()
{
    std::printf("\n## Sizes of rows and messages\n\n");
    const BenchTable table({"what", "bytes"});
    JobRecord record;
    record.id = "0123456789abcdef-123";
    record.spec.workspace = "team1000";
    record.spec.name = "night-training";
    record.cell = "fd-12";
    record.reason = "started by entry-a";
    for (const std::uint32_t tasks : {1U, 8U, 64U, 512U}) {
        record.tasks.assign(tasks, {"fd-12-w345", 255});
        BenchTable::addRow({"job row, " + std::to_string(tasks) + " tasks", std::to_string(encodeJobRecord(record).size())});
    }
    Contract contract;
    contract.workspace = "team1000";
    contract.guarantees.resize(3);
    BenchTable::addRow({"contract row, 3 shapes", std::to_string(encodeContract(contract).size())});
    WorkerMessage message;
    message.cell = "fd-12";
    BenchTable::addRow({"worker heartbeat without commands", std::to_string(encodeWorkerMessage(message).size())});
    WorkerReport report;
    BenchTable::addRow({"worker report without tasks", std::to_string(encodeWorkerReport(report).size())});
    report.tasks.assign(5, {{"0123456789abcdef-123", 1, 0}, TaskState::Running, 255});
    BenchTable::addRow({"worker report, 5 tasks", std::to_string(encodeWorkerReport(report).size())});
}

} // namespace

int main()
{
    measureCell();
    measureDecisions();
    measureRouting();
    measureRows();
    return 0;
}
