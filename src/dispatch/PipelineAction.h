#pragma once

#include "dispatch/AttemptMessage.h"
#include "dispatch/FairQueue.h"
#include "dispatch/KeyClaim.h"
#include "dispatch/Revocation.h"

#include <string>
#include <variant>

namespace banyanlock
{

/// Action: sends an attempt to an agent.
struct SendAttempt {
    std::string address; ///< RPC address of the agent.
    AttemptMessage message; ///< The attempt.
};

/// Action: asks an agent to revoke an attempt.
struct SendRevocation {
    std::string address; ///< RPC address of the agent.
    Revocation revocation; ///< Attempt to revoke.
};

/// Action: answers a caller. Emitted exactly once for each request.
struct AnswerCaller {
    RequestHandle request = 0; ///< The request.
    CallerAnswer answer; ///< The answer.
};

/// Action: claims an idempotency key in the table service.
struct ClaimKey {
    RequestHandle request = 0; ///< The request.
    KeyClaim claim; ///< The key.
};

/// Action: records the answer under a claimed key.
struct SettleClaim {
    KeyClaim claim; ///< The key.
    CallerAnswer answer; ///< Answer to return to later requests with the key.
};

/// Action: releases a claimed key of a request that is proved not to have run.
struct ReleaseClaim {
    KeyClaim claim; ///< The key.
};

/// Action of the pipeline that the host daemon performs.
using PipelineAction = std::variant<SendAttempt, SendRevocation, AnswerCaller, ClaimKey, SettleClaim, ReleaseClaim>;

} // namespace banyanlock
