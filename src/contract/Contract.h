#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// How near to each other the workers of a gang must be.
enum class Adjacency : std::uint8_t {
    FailureDomain, ///< In one failure domain.
    Rack, ///< In one rack.
    Worker, ///< On one worker.
};

/// @param adjacency Adjacency to name.
/// @return Name used in the interfaces.
const char *adjacencyName(Adjacency adjacency);

/// @param name Name as in the interfaces.
/// @param adjacency Receives the adjacency.
/// @return Whether the name is known.
bool adjacencyFromName(const std::string &name, Adjacency &adjacency);

/// A shape of accelerators that a workspace can always get.
struct GuaranteedShape {
    std::uint32_t count = 1; ///< How many of this shape at once.
    std::uint32_t workers = 1; ///< Workers of one shape.
    std::uint32_t acceleratorsPerWorker = 1; ///< Accelerators on each worker.
    Adjacency adjacency = Adjacency::FailureDomain; ///< How near the workers are.
};

/// Limits of a workspace over the whole system.
struct ContractLimits {
    std::uint32_t requestsPerSecond = 100; ///< Requests a second.
    std::uint32_t requestsInFlight = 100; ///< Requests at once.
    std::uint32_t accelerators = 0; ///< Accelerators at once, the guaranteed ones included.
};

/// Everything that one customer is promised and allowed.
struct Contract {
    std::string workspace; ///< Name of the workspace.
    std::vector<GuaranteedShape> guarantees; ///< Shapes that can always be reclaimed.
    ContractLimits limits; ///< Limits.
    std::uint32_t share = 1; ///< Weight against others when there is not enough for all.
    bool surviveFailureDomainLoss = false; ///< Whether the guarantees hold with any one failure domain gone.
};

/// @param contract Contract to add up.
/// @return Accelerators of all its guaranteed shapes.
inline std::uint32_t guaranteedAccelerators(const Contract &contract)
{
    std::uint32_t total = 0;
    for (const GuaranteedShape &shape : contract.guarantees) {
        total += shape.count * shape.workers * shape.acceleratorsPerWorker;
    }
    return total;
}

} // namespace banyanlock
