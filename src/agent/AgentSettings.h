#pragma once

#include "core/SettingKey.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanlock
{

/// Settings of an agent.
struct AgentSettings {
    std::string name; ///< Name of the agent.
    std::string failureDomain; ///< Failure domain that the process runs in.
    std::string region; ///< Region of the failure domain.
    std::string service; ///< Service that the backend server offers.
    std::string rpcAddress; ///< Address on which the agent listens for entries.
    std::string backendAddress; ///< Address of the backend server.
    std::vector<std::string> entries; ///< RPC addresses of the entries.
    std::string logLevel = "info"; ///< Lowest level that is logged.
    std::int64_t slots = 8; ///< Requests that the backend server runs concurrently.
    std::int64_t queueSlots = 2; ///< Attempts that may queue beyond the slots.
    std::int64_t connections = 64; ///< Maximum number of connections to the backend server.
    std::int64_t announceMilliseconds = 300; ///< Interval between announcements.
};

/// @return All keys of an agent's settings.
std::span<const SettingKey<AgentSettings>> agentSettingKeys();

} // namespace banyanlock
