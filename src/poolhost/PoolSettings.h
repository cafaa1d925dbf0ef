#pragma once

#include "core/SettingKey.h"

#include <cstdint>
#include <span>
#include <string>

namespace banyanlock
{

/// Settings of an entry, which serves callers and may own the pool.
struct PoolEntrySettings {
    std::string name; ///< Name of the entry.
    std::string failureDomain; ///< Failure domain in which it runs.
    std::string callerAddress; ///< Address for callers.
    std::string readyAddress; ///< Address for readiness probes of the load balancer.
    std::string metricsAddress; ///< Address for metrics; empty to serve none.
    std::string tableUrl; ///< URL of the table service.
    std::string logLevel = "info"; ///< Minimum level of log lines.
    std::int64_t leaseMilliseconds = 6000; ///< Lease duration of the workers' tasks.
    std::int64_t suspensionMilliseconds = 4000; ///< Longest time for which a worker's instance may be suspended within a lease.
    std::int64_t staleLimitMilliseconds = 5000; ///< Age from which the configuration is stale and calls are refused.
    std::int64_t stopMilliseconds = 6000; ///< Time between the stop signal and the kill.
    std::int64_t remoteFactor = 3; ///< Slowdown factor of tasks that run away from their data.
    std::int64_t processorShare = 0; ///< Share of its processors that the instance may use, in thousandths; zero if unknown.
    std::int64_t tableRowBytes = 65536; ///< Maximum size of a row in the table service, in bytes.
    std::int64_t processorCores = 1; ///< Number of processors, or speed of the only one relative to others.
    std::string learnedRunTimes = "auto"; ///< When learned run times replace declared ones; read by `parsePartMode`.
    std::string workerSpeeds = "auto"; ///< When placement considers how fast workers are; read by `parsePartMode`.
    std::string fairShares = "auto"; ///< When workspaces get equal shares; read by `parsePartMode`.
    std::string holdRoom = "auto"; ///< When room is held for urgent units and blocked gangs; read by `parsePartMode`.
    std::string workerRecords = "off"; ///< When placement considers the record of each worker; read by `parsePartMode`.
    std::int64_t memoryMegabytes = 128; ///< Memory of the instance.
    std::int64_t maxBodyBytes = 1048576; ///< Maximum size of a request's body.
    std::int64_t maxDescriptors = 4096; ///< File descriptors that the process may open.
    std::int64_t maxConnections = 0; ///< Maximum number of callers' connections; zero to derive it from the descriptors.
    std::int64_t callerMemoryMegabytes = 0; ///< Memory for what is held on behalf of callers; zero to derive it from the memory.
};

/// Settings of an agent, which supervises a worker of the pool.
struct PoolAgentSettings {
    std::string name; ///< Name of the agent.
    std::string failureDomain; ///< Failure domain in which it runs.
    std::string announceAddress; ///< Address for the worker's announcements.
    std::string rpcAddress; ///< Address for the pool's owner.
    std::string metricsAddress; ///< Address for metrics; empty to serve none.
    std::string workerUrl; ///< URL of the worker.
    std::string tableUrl; ///< URL of the table service.
    std::string logLevel = "info"; ///< Minimum level of log lines.
    std::int64_t leaseMilliseconds = 6000; ///< Lease duration of the worker's tasks.
    std::int64_t memoryMegabytes = 128; ///< Memory of the instance.
    std::int64_t maxBodyBytes = 1048576; ///< Maximum size of a request's body.
    std::int64_t maxDescriptors = 4096; ///< File descriptors that the process may open.
    std::int64_t maxConnections = 0; ///< Maximum number of callers' connections; zero to derive it from the descriptors.
    std::int64_t callerMemoryMegabytes = 0; ///< Memory for what is held on behalf of callers; zero to derive it from the memory.
};

/// @return All keys of a pool entry's settings.
std::span<const SettingKey<PoolEntrySettings>> poolEntrySettingKeys();

/// @return All keys of a pool agent's settings.
std::span<const SettingKey<PoolAgentSettings>> poolAgentSettingKeys();

} // namespace banyanlock
