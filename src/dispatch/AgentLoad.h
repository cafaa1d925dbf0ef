#pragma once

#include "core/Time.h"

#include <cstdint>

namespace banyanlock
{

/// Load report of an agent, sent with every announcement and reply.
struct AgentLoad {
    std::uint16_t inUse = 0; ///< Attempts running at the backend server.
    std::uint16_t queued = 0; ///< Attempts accepted and waiting for a slot.
    TimePoint clock{}; ///< Time of the report on the agent's clock.
};

} // namespace banyanlock
