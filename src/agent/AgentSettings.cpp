#include "agent/AgentSettings.h"

#include <array>

namespace banyanlock
{

std::span<const SettingKey<AgentSettings>> agentSettingKeys()
{
    using S = AgentSettings;
    using Key = SettingKey<S>;
    using enum SettingUnit;
    static const std::array keys{
        Key{"name", Text, &S::name, 0, 0, true, "Name of the agent, unique among the agents."},
        Key{"failure_domain", Text, &S::failureDomain, 0, 0, true, "Failure domain that the agent runs in."},
        Key{"region", Text, &S::region, 0, 0, true, "Region of the failure domain."},
        Key{"service", Text, &S::service, 0, 0, true, "Service that the backend server offers."},
        Key{"rpc_address", Address, &S::rpcAddress, 0, 0, true, "Where entries reach the agent."},
        Key{"backend_address", Address, &S::backendAddress, 0, 0, true, "Where the agent reaches its backend server."},
        Key{"entries", AddressList, &S::entries, 0, 0, true, "RPC addresses of the entries."},
        Key{"log_level", Text, &S::logLevel, 0, 0, false, "`debug`, `info`, `warning` or `error`."},
        Key{"slots", Count, &S::slots, 1, 10000, false, "Requests that the backend server runs concurrently."},
        Key{"queue_slots", Count, &S::queueSlots, 0, 10000, false, "Attempts that may queue beyond the slots."},
        Key{"connections", Count, &S::connections, 1, 10000, false, "Maximum number of connections to the backend server."},
        Key{"announce_ms", Milliseconds, &S::announceMilliseconds, 50, 500, false, "Interval between announcements."},
    };
    return keys;
}

} // namespace banyanlock
