#pragma once

#include "core/AttemptId.h"
#include "core/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace banyanlock
{

/// A body that requests, attempts and retries share without copying.
using Body = std::shared_ptr<const std::string>;

/// One attempt at a request, from an entry to an agent.
struct AttemptMessage {
    AttemptId id; ///< Unique id; the fence against duplicates.
    std::uint64_t agentIncarnation = 0; ///< The agent process that is meant.
    TimePoint startBy{}; ///< Latest start, on the agent's clock.
    Duration timeout{}; ///< Limit for the backend server's answer.
    bool idempotent = false; ///< Whether the request may run more than once.
    std::string workspace; ///< Workspace that asks.
    std::string service; ///< Service that is asked.
    std::string contentType; ///< Content type of the body.
    Body body; ///< Body of the request.
};

} // namespace banyanlock
