#include "StandinServer.h"
#include "Standins.h"
#include "WorkerModel.h"
#include "core/Random.h"
#include "core/SettingKey.h"
#include "runtime/HttpClient.h"
#include "schedule/WorkerCodec.h"
#include "store/TableCodec.h"

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace banyanlock
{
namespace
{

constexpr int statusBadRequest = 400;
constexpr Duration advanceInterval = fromMilliseconds(50);

/// Checkpoints in the object store; blocking calls do for a stand-in.
class CheckpointStore
{
public:
    explicit CheckpointStore(std::string url)
        : m_url(std::move(url))
    {
    }

    void save(const TaskKey &task, Duration progress) const
    {
        HttpRequest request;
        request.method = "PUT";
        request.url = urlOf(task);
        request.body = std::to_string(progress.count());
        HttpClient::exchange(request);
    }

    Duration load(const TaskKey &task) const
    {
        HttpRequest request;
        request.url = urlOf(task);
        const HttpReply reply = HttpClient::exchange(request);
        std::int64_t progress = 0;
        const bool good = reply.delivery == HttpDelivery::Complete && reply.status == 200 && parseSettingNumber(reply.body, progress);
        return Duration(good ? progress : 0);
    }

private:
    std::string urlOf(const TaskKey &task) const
    {
        return m_url + "/checkpoints/" + task.job + "/" + std::to_string(task.index);
    }

    std::string m_url;
};

bool registerWorker(const std::string &tableUrl, const WorkerInfo &info)
{
    TableTransaction transaction;
    transaction.changeId = "worker/" + info.name;
    transaction.writes.push_back({workerTable, info.name, encodeWorkerInfo(info)});
    HttpRequest request;
    request.method = "POST";
    request.url = tableUrl + "/v1/transactions";
    request.body = encodeTransaction(transaction);
    return HttpClient::exchange(request).status == 200;
}

/// One worker with its ports.
struct RunningWorker {
    std::unique_ptr<WorkerModel> model;
    std::unique_ptr<StandinServer> server;
};

ServerResponse act(WorkerModel &model, const ServerRequest &request, const Fault &fault)
{
    ServerResponse response;
    const Result<WorkerMessage> message = decodeWorkerMessage(request.body);
    if (!isOk(message)) {
        response.status = statusBadRequest;
        return response;
    }
    WorkerBehaviour behaviour;
    behaviour.failStarts = fault.kind == FaultKind::FailStarts;
    model.setBehaviour(behaviour);
    response.contentType = "application/json";
    response.body = std::make_shared<const std::string>(encodeWorkerReport(model.onMessage(valueOf(message), EventLoop::now())));
    return response;
}

ServerResponse describeTasks(const WorkerModel &model)
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const TaskKey &key : model.runningTasks()) {
        tasks.push_back(key.job + "/" + std::to_string(key.run) + "/" + std::to_string(key.index));
    }
    ServerResponse response;
    response.contentType = "application/json";
    response.body = std::make_shared<const std::string>(nlohmann::json{{"running", tasks}, {"starts", model.starts()}}.dump());
    return response;
}

WorkerInfo describeWorker(const WorkerStandinOptions &options, std::uint16_t index)
{
    WorkerInfo info;
    info.name = options.failureDomain + "-w" + std::to_string(index);
    info.failureDomain = options.failureDomain;
    info.rack = options.failureDomain + "-r" + std::to_string(index / options.workersPerRack);
    info.accelerators = options.accelerators;
    info.processors = options.processors;
    info.memoryMegabytes = options.memoryMegabytes;
    return info;
}

} // namespace

int runWorkerStandins(const WorkerStandinOptions &options)
{
    EventLoop loop;
    const CheckpointStore checkpoints(options.objectUrl);
    std::vector<RunningWorker> workers;
    for (std::uint16_t index = 0; index < options.count; ++index) {
        WorkerInfo info = describeWorker(options, index);
        const Endpoint service{options.firstEndpoint.address, static_cast<std::uint16_t>(options.firstEndpoint.port + 2 * index)};
        const Endpoint control{service.address, static_cast<std::uint16_t>(service.port + 1)};
        info.address = service.toString();
        RunningWorker worker;
        worker.model = std::make_unique<WorkerModel>(info, Random::systemSeed(), WorkerBehaviour());
        WorkerModel &model = *worker.model;
        model.setProgressStore(
            [&](const TaskKey &task, Duration progress) {
                checkpoints.save(task, progress);
            },
            [&](const TaskKey &task) {
                return checkpoints.load(task);
            });
        worker.server = std::make_unique<StandinServer>(loop, [&model](const ServerRequest &request, const Fault &fault) {
            return act(model, request, fault);
        });
        worker.server->setControl([&model](const ServerRequest &) {
            return describeTasks(model);
        });
        const Result<Done> listening = worker.server->listen(service, control);
        if (!isOk(listening) || !registerWorker(options.tableUrl, info)) {
            std::cerr << "worker " << info.name << " can't start\n";
            return 1;
        }
        workers.push_back(std::move(worker));
    }
    loop.repeat(advanceInterval, [&](TimePoint now) {
        for (RunningWorker &worker : workers) {
            worker.model->advance(now);
        }
    });
    loop.onShutdown([&] {
        loop.stop();
    });
    loop.run();
    return 0;
}

} // namespace banyanlock
