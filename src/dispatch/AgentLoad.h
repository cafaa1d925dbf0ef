#pragma once

#include "core/Time.h"

#include <cstdint>

namespace banyanlock
{

/// What an agent says of its load, with every announcement and reply.
struct AgentLoad {
    std::uint16_t inUse = 0; ///< Attempts running at the backend server.
    std::uint16_t queued = 0; ///< Attempts accepted and waiting for a slot.
    TimePoint clock{}; ///< The agent's own clock when it made the report.
};

} // namespace banyanlock
