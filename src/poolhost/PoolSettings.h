#pragma once

#include "core/SettingKey.h"

#include <cstdint>
#include <span>
#include <string>

namespace banyanlock
{

/// Settings of an entry that serves and owns a pool.
struct PoolEntrySettings {
    std::string name; ///< Name of the entry.
    std::string failureDomain; ///< Failure domain that it runs in.
    std::string callerAddress; ///< Where callers reach it.
    std::string readyAddress; ///< Where the balancer asks whether it is ready.
    std::string metricsAddress; ///< Where its counters are served; empty for nowhere.
    std::string tableUrl; ///< URL of the table service.
    std::string logLevel = "info"; ///< Least level of log lines.
    std::int64_t leaseMilliseconds = 6000; ///< Lease of the workers' tasks.
    std::int64_t staleLimitMilliseconds = 5000; ///< Age of the configuration from which keys are not believed any more.
    std::int64_t stopMilliseconds = 6000; ///< Time between the signal to stop and the kill.
    std::int64_t remoteFactor = 3; ///< How many times longer tasks take away from their data.
};

/// Settings of an agent that supervises a pool's worker.
struct PoolAgentSettings {
    std::string name; ///< Name of the agent.
    std::string failureDomain; ///< Failure domain that it runs in.
    std::string announceAddress; ///< Where the worker announces itself.
    std::string rpcAddress; ///< Where the pool's owner reaches it.
    std::string metricsAddress; ///< Where its counters are served; empty for nowhere.
    std::string workerUrl; ///< URL of the worker.
    std::string tableUrl; ///< URL of the table service.
    std::string logLevel = "info"; ///< Least level of log lines.
    std::int64_t leaseMilliseconds = 6000; ///< Lease of the worker's tasks.
};

/// @return All keys of a pool entry's settings.
std::span<const SettingKey<PoolEntrySettings>> poolEntrySettingKeys();

/// @return All keys of a pool agent's settings.
std::span<const SettingKey<PoolAgentSettings>> poolAgentSettingKeys();

} // namespace banyanlock
