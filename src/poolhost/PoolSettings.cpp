#include "poolhost/PoolSettings.h"

#include <array>
#include <vector>

namespace banyanlock
{

namespace
{

/// Adds the limits of what a process holds for its callers, which both roles have.
/// @tparam S Settings structure of the role.
template <typename S> std::vector<SettingKey<S>> withCallerLimits(std::vector<SettingKey<S>> keys)
{
    using Key = SettingKey<S>;
    using enum SettingUnit;
    const std::array limits{
        Key{"memory_mb", Count, &S::memoryMegabytes, 32, 1048576, false, "Memory of the instance, in MiB."},
        Key{"max_body_bytes", Bytes, &S::maxBodyBytes, 262144, 16777216, false,
            "Maximum size of a request's body; a larger one closes the connection."},
        Key{"max_descriptors", Count, &S::maxDescriptors, 64, 1048576, false,
            "File descriptors that the process may open; a lower limit of the operating system applies instead."},
        Key{"max_connections", Count, &S::maxConnections, 0, 1048576, false,
            "Maximum number of connections from outside; above it the longest idle one is closed. 0: three quarters of the descriptors."},
        Key{"caller_memory_mb", Count, &S::callerMemoryMegabytes, 0, 1048576, false,
            "Memory for requests and unsent answers, in MiB; above it the largest and longest stalled are closed. 0: a quarter of the "
            "memory."},
    };
    keys.insert(keys.end(), limits.begin(), limits.end());
    return keys;
}

} // namespace

std::span<const SettingKey<PoolEntrySettings>> poolEntrySettingKeys()
{
    using S = PoolEntrySettings;
    using Key = SettingKey<S>;
    using enum SettingUnit;
    static const std::vector<Key> keys = withCallerLimits<S>({
        Key{"name", Text, &S::name, 0, 0, true, "Name of the entry, unique among the entries."},
        Key{"failure_domain", Text, &S::failureDomain, 0, 0, true, "Failure domain in which the entry runs."},
        Key{"caller_address", Address, &S::callerAddress, 0, 0, true, "Address for callers."},
        Key{"ready_address", Address, &S::readyAddress, 0, 0, true, "Address for readiness probes of the load balancer."},
        Key{"metrics_address", Address, &S::metricsAddress, 0, 0, false, "Address for metrics of the entry."},
        Key{"table_url", Url, &S::tableUrl, 0, 0, true, "URL of the platform's table service."},
        Key{"log_level", Text, &S::logLevel, 0, 0, false, "`debug`, `info`, `warning` or `error`."},
        Key{"lease_ms", Milliseconds, &S::leaseMilliseconds, 1000, 60000, false, "Lease duration of the workers' tasks."},
        Key{"suspension_ms", Milliseconds, &S::suspensionMilliseconds, 0, 60000, false,
            "Longest time for which a worker's instance may be suspended within a lease; its clock stands still meanwhile. Tasks of an "
            "unreachable worker are started elsewhere when lease and suspension have passed."},
        Key{"stale_limit_ms", Milliseconds, &S::staleLimitMilliseconds, 1000, 60000, false,
            "Age from which the configuration is stale and calls are refused."},
        Key{"stop_ms", Milliseconds, &S::stopMilliseconds, 500, 600000, false, "Time between the stop signal and the kill."},
        Key{"table_row_bytes", Count, &S::tableRowBytes, 8192, 16777216, false,
            "Maximum size of a row in the table service, in bytes. A job whose progress exceeds it is recorded in several rows."},
        Key{"remote_factor", Count, &S::remoteFactor, 1, 100, false, "Slowdown factor of tasks that run away from their data."},
        Key{"processor_share", Share, &S::processorShare, 1, 1000, false,
            "Share of its processors that the instance may use; the entries with most processor time own the pool."},
        Key{"processor_cores", Count, &S::processorCores, 1, 1024, false, "Number of processors of the instance."},
        Key{"learned_run_times", Switch, &S::learnedRunTimes, 0, 0, false,
            "Whether learned run times replace declared ones: `auto` (for queues whose declared times are contradicted), `on` or `off`."},
        Key{"worker_speeds", Switch, &S::workerSpeeds, 0, 0, false,
            "Whether placement considers how fast workers are: `auto` (once several are measurably slower), `on` or `off`."},
        Key{"fair_shares", Switch, &S::fairShares, 0, 0, false,
            "Whether workspaces get equal shares: `auto` (while several wait and one holds over half of what is in use), `on` or `off`."},
        Key{"hold_room", Switch, &S::holdRoom, 0, 0, false,
            "Whether room is held for urgent units and blocked gangs: `auto` (once runs are preempted soon after their start), `on` or "
            "`off`."},
        Key{"worker_records", Switch, &S::workerRecords, 0, 0, false,
            "Whether placement considers each worker's failures: `auto` (once a unit is down to its last attempt), `on` or `off`. By "
            "default off: on one day under load it cost callers more than it saved."},
    });
    return keys;
}

std::span<const SettingKey<PoolAgentSettings>> poolAgentSettingKeys()
{
    using S = PoolAgentSettings;
    using Key = SettingKey<S>;
    using enum SettingUnit;
    static const std::vector<Key> keys = withCallerLimits<S>({
        Key{"name", Text, &S::name, 0, 0, true, "Name of the agent, unique among the agents."},
        Key{"failure_domain", Text, &S::failureDomain, 0, 0, true, "Failure domain in which the agent runs."},
        Key{"announce_address", Address, &S::announceAddress, 0, 0, true, "Address for the worker's announcements."},
        Key{"rpc_address", Address, &S::rpcAddress, 0, 0, true, "RPC address for the pool's owner."},
        Key{"metrics_address", Address, &S::metricsAddress, 0, 0, false, "Address for metrics of the agent."},
        Key{"worker_url", Url, &S::workerUrl, 0, 0, true, "URL of the worker on the agent's instance."},
        Key{"table_url", Url, &S::tableUrl, 0, 0, true, "URL of the platform's table service."},
        Key{"log_level", Text, &S::logLevel, 0, 0, false, "`debug`, `info`, `warning` or `error`."},
        Key{"lease_ms", Milliseconds, &S::leaseMilliseconds, 1000, 60000, false, "Lease duration of the worker's tasks."},
    });
    return keys;
}

} // namespace banyanlock
