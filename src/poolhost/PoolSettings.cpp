#include "poolhost/PoolSettings.h"

#include <array>

namespace banyanlock
{

std::span<const SettingKey<PoolEntrySettings>> poolEntrySettingKeys()
{
    using S = PoolEntrySettings;
    using Key = SettingKey<S>;
    using enum SettingUnit;
    static const std::array keys{
        Key{"name", Text, &S::name, 0, 0, true, "Name of the entry, unique among the entries."},
        Key{"failure_domain", Text, &S::failureDomain, 0, 0, true, "Failure domain that the entry runs in."},
        Key{"caller_address", Address, &S::callerAddress, 0, 0, true, "Where callers reach the entry."},
        Key{"ready_address", Address, &S::readyAddress, 0, 0, true, "Where the balancer asks whether the entry is ready."},
        Key{"metrics_address", Address, &S::metricsAddress, 0, 0, false, "Where the entry's counters are served."},
        Key{"table_url", Url, &S::tableUrl, 0, 0, true, "URL of the platform's table service."},
        Key{"log_level", Text, &S::logLevel, 0, 0, false, "`debug`, `info`, `warning` or `error`."},
        Key{"lease_ms", Milliseconds, &S::leaseMilliseconds, 1000, 60000, false, "Lease of the workers' tasks."},
        Key{"stale_limit_ms", Milliseconds, &S::staleLimitMilliseconds, 1000, 60000, false,
            "Age of the configuration from which keys are not believed any more."},
        Key{"stop_ms", Milliseconds, &S::stopMilliseconds, 500, 600000, false, "Time between the signal to stop and the kill."},
        Key{"remote_factor", Count, &S::remoteFactor, 1, 100, false, "How many times longer tasks take away from their data."},
    };
    return keys;
}

std::span<const SettingKey<PoolAgentSettings>> poolAgentSettingKeys()
{
    using S = PoolAgentSettings;
    using Key = SettingKey<S>;
    using enum SettingUnit;
    static const std::array keys{
        Key{"name", Text, &S::name, 0, 0, true, "Name of the agent, unique among the agents."},
        Key{"failure_domain", Text, &S::failureDomain, 0, 0, true, "Failure domain that the agent runs in."},
        Key{"announce_address", Address, &S::announceAddress, 0, 0, true, "Where the worker announces itself."},
        Key{"rpc_address", Address, &S::rpcAddress, 0, 0, true, "Where the pool's owner reaches the agent."},
        Key{"metrics_address", Address, &S::metricsAddress, 0, 0, false, "Where the agent's counters are served."},
        Key{"worker_url", Url, &S::workerUrl, 0, 0, true, "URL of the worker on the agent's instance."},
        Key{"table_url", Url, &S::tableUrl, 0, 0, true, "URL of the platform's table service."},
        Key{"log_level", Text, &S::logLevel, 0, 0, false, "`debug`, `info`, `warning` or `error`."},
        Key{"lease_ms", Milliseconds, &S::leaseMilliseconds, 1000, 60000, false, "Lease of the worker's tasks."},
    };
    return keys;
}

} // namespace banyanlock
