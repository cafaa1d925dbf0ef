#pragma once

#include "dispatch/AgentLoad.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// An agent's announcement of its backend server, repeated as a heartbeat.
struct Announcement {
    std::string agent; ///< Name of the agent from its settings.
    std::uint64_t incarnation = 0; ///< Random number that identifies the agent's process.
    std::string service; ///< Service that the backend server offers.
    std::string address; ///< RPC address of the agent.
    std::string failureDomain; ///< Failure domain of the agent.
    std::string region; ///< Region of the failure domain.
    std::uint16_t slots = 0; ///< Requests that the backend server runs concurrently.
    std::uint16_t queueSlots = 0; ///< Attempts that the agent queues while all slots are in use.
    AgentLoad load; ///< Load at the time of the announcement.
    bool leaving = false; ///< The agent is draining and accepts no new attempts.
    bool healthy = true; ///< Whether the backend server accepts connections.
};

} // namespace banyanlock
