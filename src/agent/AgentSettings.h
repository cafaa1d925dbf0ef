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
    std::string failureDomain; ///< Failure domain that it runs in.
    std::string region; ///< Region of the failure domain.
    std::string service; ///< Service that the backend server offers.
    std::string rpcAddress; ///< Where entries reach the agent.
    std::string backendAddress; ///< Where the agent reaches its backend server.
    std::vector<std::string> entries; ///< RPC addresses of the entries.
    std::string logLevel = "info"; ///< Least level of log lines.
    std::int64_t slots = 8; ///< Requests that the backend server runs at once.
    std::int64_t queueSlots = 2; ///< Further attempts held waiting.
    std::int64_t connections = 64; ///< Connections to the backend server.
    std::int64_t announceMilliseconds = 300; ///< Time between two announcements.
};

/// @return All keys of an agent's settings.
std::span<const SettingKey<AgentSettings>> agentSettingKeys();

} // namespace banyanlock
