#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// Required proximity of a gang's workers.
enum class Adjacency : std::uint8_t {
    FailureDomain, ///< All in one failure domain.
    Rack, ///< All in one rack.
    Worker, ///< A single worker.
};

/// @param adjacency Adjacency to name.
/// @return Name as used in the external interfaces.
const char *adjacencyName(Adjacency adjacency);

/// @param name Name as used in the external interfaces.
/// @param adjacency Receives the adjacency.
/// @return Whether the name is known.
bool adjacencyFromName(const std::string &name, Adjacency &adjacency);

/// Gang shape whose accelerators a workspace is guaranteed to get.
struct GuaranteedShape {
    std::uint32_t count = 1; ///< Number of gangs of this shape at a time.
    std::uint32_t workers = 1; ///< Workers of each gang.
    std::uint32_t acceleratorsPerWorker = 1; ///< Accelerators on each worker.
    Adjacency adjacency = Adjacency::FailureDomain; ///< Proximity of the workers.
};

/// System-wide limits of a workspace.
struct ContractLimits {
    std::uint32_t requestsPerSecond = 100; ///< Maximum rate of requests.
    std::uint32_t requestsInFlight = 100; ///< Maximum number of requests in flight.
    std::uint32_t accelerators = 0; ///< Maximum number of accelerators in use, including the guaranteed ones.
};

/// Guarantees and limits of one workspace.
struct Contract {
    std::string workspace; ///< Name of the workspace.
    std::vector<GuaranteedShape> guarantees; ///< Guaranteed shapes, which can be reclaimed at any time.
    ContractLimits limits; ///< Limits of the workspace.
    std::uint32_t share = 1; ///< Weight relative to other workspaces under contention.
    bool surviveFailureDomainLoss = false; ///< Whether the guarantees hold after the loss of any one failure domain.
};

/// @param contract Contract to evaluate.
/// @return Total number of accelerators in its guaranteed shapes.
inline std::uint32_t guaranteedAccelerators(const Contract &contract)
{
    std::uint32_t total = 0;
    for (const GuaranteedShape &shape : contract.guarantees) {
        total += shape.count * shape.workers * shape.acceleratorsPerWorker;
    }
    return total;
}

} // namespace banyanlock
