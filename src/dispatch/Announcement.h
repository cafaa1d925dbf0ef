#pragma once

#include "dispatch/AgentLoad.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// An agent's announcement of its backend server; repeated as a heartbeat.
struct Announcement {
    std::string agent; ///< Name of the agent from its settings.
    std::uint64_t incarnation = 0; ///< Random number of the agent's process.
    std::string service; ///< Service that the backend server offers.
    std::string address; ///< RPC address of the agent.
    std::string failureDomain; ///< Failure domain of the agent.
    std::string region; ///< Region of the failure domain.
    std::uint16_t slots = 0; ///< Requests that the backend server runs at once.
    std::uint16_t queueSlots = 0; ///< Further attempts that the agent holds waiting.
    AgentLoad load; ///< Load at this moment.
    bool leaving = false; ///< The agent takes no new attempts from now on.
    bool healthy = true; ///< The backend server accepts connections.
};

} // namespace banyanlock
