#pragma once

#include "StandinServer.h"
#include "core/Endpoint.h"
#include "core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanlock
{

/// Runs a stand-in until SIGTERM.
/// @param loop Its loop.
/// @param server Its server.
/// @param service Where the service is reached.
/// @param control Where faults are set.
/// @return Exit code.
int runStandin(EventLoop &loop, StandinServer &server, const Endpoint &service, const Endpoint &control);

/// Runs a table service.
/// @param service Where it is reached.
/// @param control Where faults are set.
/// @return Exit code.
int runTableStandin(const Endpoint &service, const Endpoint &control);

/// Runs an object store.
/// @param service Where it is reached.
/// @param control Where faults are set.
/// @return Exit code.
int runObjectStandin(const Endpoint &service, const Endpoint &control);

/// Runs a backend server that counts how often each body was run.
/// @param service Where it is reached.
/// @param control Where faults are set and runs are read.
/// @param serviceTime Time that a request takes.
/// @return Exit code.
int runBackendStandin(const Endpoint &service, const Endpoint &control, Duration serviceTime);

/// Workers of one failure domain.
struct WorkerStandinOptions {
    std::string failureDomain; ///< Failure domain of the workers.
    std::uint16_t count = 3; ///< How many workers.
    std::uint16_t workersPerRack = 3; ///< How many to a rack.
    std::uint32_t accelerators = 8; ///< Accelerators of each.
    std::uint32_t processors = 128; ///< Processor cores of each.
    std::uint32_t memoryMegabytes = 262144; ///< Memory of each, in megabytes.
    Endpoint firstEndpoint; ///< Where the first is reached; control on the next port, then the next worker.
    std::string tableUrl; ///< Table service to register with.
    std::string objectUrl; ///< Object store for checkpoints.
};

/// Runs some workers in one process.
/// @param options What to run.
/// @return Exit code.
int runWorkerStandins(const WorkerStandinOptions &options);

/// What the load tool sends.
struct LoadOptions {
    std::vector<std::string> targets; ///< Addresses to send to, in turn.
    std::string path; ///< Path of the requests.
    std::string workspace; ///< Workspace that asks.
    int callers = 1; ///< Callers at once.
    int requests = 100; ///< Requests in all.
    bool idempotent = false; ///< Whether requests may run more than once.
    long timeoutMilliseconds = 5000; ///< Limit for each answer.
    int bodyBytes = 64; ///< Size of the bodies.
    std::string bodyPrefix = "load"; ///< Start of each body; a number makes it unique.
    std::string outcomesPath; ///< File for outcome and body of each request; may be empty.
};

/// Sends a load and prints outcomes and times as JSON.
/// @param options What to send.
/// @return Exit code: 0 if every answer was whole and its own.
int runLoad(const LoadOptions &options);

} // namespace banyanlock
