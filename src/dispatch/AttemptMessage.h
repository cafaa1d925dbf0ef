#pragma once

#include "core/AttemptId.h"
#include "core/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace banyanlock
{

/// Immutable body, shared between requests, attempts and retries without copying.
using Body = std::shared_ptr<const std::string>;

/// One attempt at a request, from an entry to an agent.
struct AttemptMessage {
    AttemptId id; ///< Unique id, by which the agent detects duplicates.
    std::uint64_t agentIncarnation = 0; ///< Incarnation of the agent process that the attempt is addressed to.
    TimePoint startBy{}; ///< Start deadline, on the agent's clock.
    Duration timeout{}; ///< Timeout for the backend server's answer.
    bool idempotent = false; ///< Whether the request may run more than once.
    std::string workspace; ///< Workspace of the request.
    std::string service; ///< Requested service.
    std::string contentType; ///< Content type of the body.
    Body body; ///< Body of the request.
};

} // namespace banyanlock
