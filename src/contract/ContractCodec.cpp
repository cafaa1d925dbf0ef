#include "contract/ContractCodec.h"

#include "contract/JsonFields.h"

#include <array>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr std::uint32_t maxRate = 1000000;
constexpr std::uint32_t maxAccelerators = 100000;
constexpr std::uint32_t maxGangSize = 512;
constexpr std::uint32_t maxAcceleratorsPerWorker = 32;
constexpr std::uint32_t maxShare = 1000;
constexpr std::size_t maxShapes = 64;

struct AdjacencyName {
    Adjacency adjacency;
    const char *name;
};

constexpr std::array adjacencyNames{
    AdjacencyName{Adjacency::FailureDomain, "failure_domain"},
    AdjacencyName{Adjacency::Rack, "rack"},
    AdjacencyName{Adjacency::Worker, "worker"},
};

GuaranteedShape readShape(const Json &json, std::size_t index, std::string &error)
{
    GuaranteedShape shape;
    JsonFields fields(json, "guarantees[" + std::to_string(index) + "]", error);
    fields.rejectUnknown({"count", "workers", "accelerators_per_worker", "adjacency"});
    fields.readNumber("count", shape.count, 1, maxGangSize);
    fields.readNumber("workers", shape.workers, 1, maxGangSize);
    fields.readNumber("accelerators_per_worker", shape.acceleratorsPerWorker, 1, maxAcceleratorsPerWorker);
    std::string adjacency = adjacencyName(shape.adjacency);
    fields.readEnum("adjacency", adjacency, {"worker", "rack", "failure_domain"});
    adjacencyFromName(adjacency, shape.adjacency);
    if (shape.adjacency == Adjacency::Worker && shape.workers != 1) {
        fields.fail("workers", "must be 1 when adjacency is worker");
    }
    return shape;
}

void readGuarantees(JsonFields &fields, Contract &contract, std::string &error)
{
    const Json *shapes = fields.find("guarantees");
    if (shapes == nullptr) {
        return;
    }
    if (!shapes->is_array() || shapes->size() > maxShapes) {
        fields.fail("guarantees", "must be a list of at most 64 shapes");
        return;
    }
    for (std::size_t index = 0; index < shapes->size(); ++index) {
        contract.guarantees.push_back(readShape((*shapes)[index], index, error));
    }
}

void readLimits(JsonFields &fields, Contract &contract, std::string &error)
{
    const Json *limits = fields.find("limits");
    if (limits == nullptr) {
        fields.fail("limits", "missing");
        return;
    }
    JsonFields limitFields(*limits, "limits", error);
    limitFields.rejectUnknown({"requests_per_second", "requests_in_flight", "accelerators"});
    limitFields.readNumber("requests_per_second", contract.limits.requestsPerSecond, 0, maxRate);
    limitFields.readNumber("requests_in_flight", contract.limits.requestsInFlight, 0, maxRate);
    limitFields.readNumber("accelerators", contract.limits.accelerators, 0, maxAccelerators);
    if (error.empty() && contract.limits.accelerators < guaranteedAccelerators(contract)) {
        limitFields.fail("accelerators", "is less than the guaranteed " + std::to_string(guaranteedAccelerators(contract)));
    }
}

} // namespace

const char *adjacencyName(Adjacency adjacency)
{
    return adjacencyNames[static_cast<std::size_t>(adjacency)].name;
}

bool adjacencyFromName(const std::string &name, Adjacency &adjacency)
{
    for (const AdjacencyName &row : adjacencyNames) {
        if (name == row.name) {
            adjacency = row.adjacency;
            return true;
        }
    }
    return false;
}

Result<Contract> decodeContract(const std::string &text)
{
    const Result<Json> parsed = parseJsonObject(text, ResultCode::InvalidContract);
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    Contract contract;
    std::string error;
    JsonFields fields(valueOf(parsed), "", error);
    fields.rejectUnknown({"workspace", "guarantees", "limits", "share", "survive_failure_domain_loss"});
    fields.readName("workspace", contract.workspace);
    fields.readNumber("share", contract.share, 1, maxShare);
    fields.readBool("survive_failure_domain_loss", contract.surviveFailureDomainLoss);
    readGuarantees(fields, contract, error);
    readLimits(fields, contract, error);
    if (!error.empty()) {
        return Error{ResultCode::InvalidContract, error};
    }
    return contract;
}

std::string encodeContract(const Contract &contract)
{
    Json shapes = Json::array();
    for (const GuaranteedShape &shape : contract.guarantees) {
        shapes.push_back({{"count", shape.count},
                          {"workers", shape.workers},
                          {"accelerators_per_worker", shape.acceleratorsPerWorker},
                          {"adjacency", adjacencyName(shape.adjacency)}});
    }
    const Json limits = {{"requests_per_second", contract.limits.requestsPerSecond},
                         {"requests_in_flight", contract.limits.requestsInFlight},
                         {"accelerators", contract.limits.accelerators}};
    const Json json = {{"workspace", contract.workspace},
                       {"guarantees", shapes},
                       {"limits", limits},
                       {"share", contract.share},
                       {"survive_failure_domain_loss", contract.surviveFailureDomainLoss}};
    return json.dump();
}

} // namespace banyanlock
