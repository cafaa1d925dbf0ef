#include "rpc/SupervisionCodec.h"

#include "core/InputLimits.h"
#include "core/Log.h"
#include "rpc/WireText.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

constexpr std::uint32_t maxPercent = 100;

bool isAmount(std::int64_t amount)
{
    return amount >= 0 && amount <= InputLimits::resource;
}

bool isPlausible(const WorkerAnnouncement &worker)
{
    return isAmount(worker.capacity.processors) && isAmount(worker.capacity.memory) && isAmount(worker.capacity.accelerators)
        && worker.minTimeUntilExit >= Duration::zero() && worker.minTimeUntilExit <= InputLimits::span
        && worker.failureDomain.size() <= InputLimits::nameBytes && worker.incarnation.worker.size() <= InputLimits::nameBytes;
}

void encodeIncarnation(const WorkerIncarnation &incarnation, wire::WorkerLife::Builder builder)
{
    builder.setWorker(readerOf(incarnation.worker));
    builder.setBornUnixMilliseconds(incarnation.startedUnixMilliseconds);
}

WorkerIncarnation decodeIncarnation(wire::WorkerLife::Reader reader)
{
    return {textOf(reader.getWorker()), reader.getBornUnixMilliseconds()};
}

void encodeRun(const RunName &run, wire::RunName::Builder builder)
{
    builder.setJob(readerOf(run.task.job));
    builder.setOccurrence(run.task.occurrence);
    builder.setStep(run.task.step);
    builder.setIndex(run.task.index);
    builder.setRun(run.run);
}

RunName decodeRun(wire::RunName::Reader reader)
{
    return {{textOf(reader.getJob()), reader.getOccurrence(), reader.getStep(), reader.getIndex()}, reader.getRun()};
}

RunEnding decodeEnding(std::uint8_t number)
{
    // An unknown number, sent by a later version, is treated as a failure of the run.
    return number <= static_cast<std::uint8_t>(RunEnding::WorkerLost) ? static_cast<RunEnding>(number) : RunEnding::Failed;
}

TimePoint decodeTime(std::int64_t microseconds)
{
    // Sums with other times must fit.
    return TimePoint(std::clamp(Duration(microseconds), -InputLimits::span, InputLimits::span));
}

TaskOrder decodeOrder(wire::TaskOrder::Reader reader)
{
    TaskOrder order;
    order.kind = reader.getKind() == static_cast<std::uint8_t>(TaskOrderKind::Start) ? TaskOrderKind::Start : TaskOrderKind::Stop;
    order.run = decodeRun(reader.getRun());
    order.incarnation = decodeIncarnation(reader.getLife());
    order.payload = textOf(reader.getPayload());
    order.checkpoint = textOf(reader.getCheckpoint());
    order.startBy = decodeTime(reader.getStartByMicroseconds());
    return order;
}

void encodeOrder(const TaskOrder &order, wire::TaskOrder::Builder builder)
{
    builder.setKind(static_cast<std::uint8_t>(order.kind));
    encodeRun(order.run, builder.initRun());
    encodeIncarnation(order.incarnation, builder.initLife());
    builder.setPayload(readerOf(order.payload));
    builder.setCheckpoint(readerOf(order.checkpoint));
    builder.setStartByMicroseconds(order.startBy.time_since_epoch().count());
}

void encodeWorker(const WorkerAnnouncement &worker, wire::WorkerStatus::Builder builder)
{
    encodeIncarnation(worker.incarnation, builder.initLife());
    builder.setService(readerOf(worker.service));
    builder.setFailureDomain(readerOf(worker.failureDomain));
    builder.setProcessors(worker.capacity.processors);
    builder.setMemory(worker.capacity.memory);
    builder.setAccelerators(worker.capacity.accelerators);
    builder.setDraining(worker.draining);
    builder.setLeavesAfterMicroseconds(worker.minTimeUntilExit.count());
    auto labels = builder.initLabels(static_cast<unsigned>(worker.labels.size()));
    for (unsigned index = 0; index < worker.labels.size(); ++index) {
        labels.set(index, readerOf(worker.labels[index]));
    }
}

WorkerAnnouncement decodeWorker(wire::WorkerStatus::Reader reader)
{
    WorkerAnnouncement worker;
    worker.incarnation = decodeIncarnation(reader.getLife());
    worker.service = textOf(reader.getService());
    worker.failureDomain = textOf(reader.getFailureDomain());
    worker.capacity = {reader.getProcessors(), reader.getMemory(), reader.getAccelerators()};
    worker.draining = reader.getDraining();
    worker.minTimeUntilExit = Duration(reader.getLeavesAfterMicroseconds());
    for (const auto label : reader.getLabels()) {
        worker.labels.emplace_back(textOf(label));
    }
    if (!isPlausible(worker)) {
        Log::warning("worker_status_implausible", {{"worker", worker.incarnation.worker}});
        worker.capacity = {};
        worker.minTimeUntilExit = {};
        worker.draining = true; // it gets no tasks
    }
    return worker;
}

} // namespace

void encode(const SuperviseRequest &request, wire::SuperviseRequest::Builder builder)
{
    builder.setEpoch(request.epoch);
    builder.setRenews(request.renews);
    builder.setValidUntilMicroseconds(request.validUntil.time_since_epoch().count());
    builder.setBatch(request.batch);
    encodeIncarnation(request.acknowledgedIncarnation, builder.initAcknowledgedLife());
    builder.setAcknowledgedEnd(request.acknowledgedEnd);
    builder.setKnownIncarnation(request.knownIncarnation);
    builder.setKnownStatus(request.knownStatus);
    builder.setWaitMicroseconds(request.wait.count());
    builder.setWorkerFence(request.workerFence);
    auto services = builder.initServices(static_cast<unsigned>(request.services.size()));
    for (unsigned index = 0; index < request.services.size(); ++index) {
        services.set(index, readerOf(request.services[index]));
    }
    auto orders = builder.initOrders(static_cast<unsigned>(request.orders.size()));
    for (unsigned index = 0; index < request.orders.size(); ++index) {
        encodeOrder(request.orders[index], orders[index]);
    }
}

SuperviseRequest decode(wire::SuperviseRequest::Reader reader)
{
    SuperviseRequest request;
    request.epoch = reader.getEpoch();
    request.renews = reader.getRenews();
    request.validUntil = decodeTime(reader.getValidUntilMicroseconds());
    request.batch = reader.getBatch();
    request.acknowledgedIncarnation = decodeIncarnation(reader.getAcknowledgedLife());
    request.acknowledgedEnd = reader.getAcknowledgedEnd();
    request.knownIncarnation = reader.getKnownIncarnation();
    request.knownStatus = reader.getKnownStatus();
    request.wait = std::clamp(Duration(reader.getWaitMicroseconds()), Duration::zero(), InputLimits::span);
    request.workerFence = reader.getWorkerFence();
    for (const auto service : reader.getServices()) {
        request.services.emplace_back(textOf(service));
    }
    for (const auto order : reader.getOrders()) {
        request.orders.push_back(decodeOrder(order));
    }
    return request;
}

void encode(const WorkerStatus &status, wire::WorkerStatus::Builder builder)
{
    builder.setAgentIncarnation(status.agentIncarnation);
    builder.setNumber(status.number);
    builder.setClockMicroseconds(status.clock.time_since_epoch().count());
    builder.setUnixMilliseconds(status.unixMilliseconds);
    builder.setHighestEpoch(status.highestEpoch);
    builder.setOrdersSeen(status.lastOrderBatch);
    builder.setListed(status.runsKnown);
    builder.setEndsTruncated(status.endsTruncated);
    builder.setAnswering(status.answering);
    builder.setLapsed(status.leaseExpired);
    builder.setRefusing(status.connectionRefused);
    builder.setListedEpoch(status.runsKnownEpoch);
    builder.setUnfenced(status.unfenced);
    builder.setWorkerFence(status.workerFence);
    builder.setLeaving(status.agentStopping);
    builder.setListsAgeMicroseconds(status.listsAge.count());
    encodeWorker(status.worker, builder);
    auto runs = builder.initRuns(static_cast<unsigned>(status.runs.size()));
    for (unsigned index = 0; index < status.runs.size(); ++index) {
        encodeRun(status.runs[index].run, runs[index].initRun());
        runs[index].setStarting(status.runs[index].starting);
        runs[index].setCheckpoint(readerOf(status.runs[index].checkpoint));
        runs[index].setPercent(static_cast<std::uint8_t>(std::min(status.runs[index].percent, maxPercent)));
    }
    auto ends = builder.initEnds(static_cast<unsigned>(status.ends.size()));
    for (unsigned index = 0; index < status.ends.size(); ++index) {
        ends[index].setNumber(status.ends[index].number);
        encodeRun(status.ends[index].run, ends[index].initRun());
        ends[index].setEnding(static_cast<std::uint8_t>(status.ends[index].ending));
        ends[index].setCheckpoint(readerOf(status.ends[index].checkpoint));
    }
    auto refusals = builder.initRefusals(static_cast<unsigned>(status.refusals.size()));
    for (unsigned index = 0; index < status.refusals.size(); ++index) {
        encodeRun(status.refusals[index].run, refusals[index].initRun());
        refusals[index].setReason(readerOf(status.refusals[index].reason));
    }
}

WorkerStatus decode(wire::WorkerStatus::Reader reader)
{
    WorkerStatus status;
    status.agentIncarnation = reader.getAgentIncarnation();
    status.number = reader.getNumber();
    status.clock = decodeTime(reader.getClockMicroseconds());
    status.unixMilliseconds = std::clamp<std::int64_t>(reader.getUnixMilliseconds(), 0, InputLimits::unixMilliseconds);
    status.highestEpoch = reader.getHighestEpoch();
    status.lastOrderBatch = reader.getOrdersSeen();
    status.runsKnown = reader.getListed();
    status.endsTruncated = reader.getEndsTruncated();
    status.answering = reader.getAnswering();
    status.leaseExpired = reader.getLapsed();
    status.connectionRefused = reader.getRefusing();
    status.runsKnownEpoch = reader.getListedEpoch();
    status.unfenced = reader.getUnfenced();
    status.workerFence = reader.getWorkerFence();
    status.agentStopping = reader.getLeaving();
    status.listsAge = std::clamp(Duration(reader.getListsAgeMicroseconds()), Duration::zero(), InputLimits::span);
    status.worker = decodeWorker(reader);
    for (const auto report : reader.getRuns()) {
        status.runs.push_back({decodeRun(report.getRun()), report.getStarting(), textOf(report.getCheckpoint()),
                               std::min<std::uint32_t>(report.getPercent(), maxPercent)});
    }
    for (const auto end : reader.getEnds()) {
        status.ends.push_back({end.getNumber(), decodeRun(end.getRun()), decodeEnding(end.getEnding()), textOf(end.getCheckpoint())});
    }
    for (const auto refusal : reader.getRefusals()) {
        status.refusals.push_back({decodeRun(refusal.getRun()), textOf(refusal.getReason())});
    }
    return status;
}

} // namespace banyanlock
