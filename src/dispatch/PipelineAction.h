#pragma once

#include "dispatch/AttemptMessage.h"
#include "dispatch/FairQueue.h"
#include "dispatch/KeyClaim.h"
#include "dispatch/Revocation.h"

#include <string>
#include <variant>

namespace banyanlock
{

/// Sends an attempt to an agent.
struct SendAttempt {
    std::string address; ///< RPC address of the agent.
    AttemptMessage message; ///< The attempt.
};

/// Asks an agent to revoke an attempt.
struct SendRevocation {
    std::string address; ///< RPC address of the agent.
    Revocation revocation; ///< The attempt.
};

/// Answers a caller. Exactly one for each request.
struct AnswerCaller {
    RequestHandle request = 0; ///< The request.
    CallerAnswer answer; ///< The answer.
};

/// Claims an idempotency key in the table service.
struct ClaimKey {
    RequestHandle request = 0; ///< The request.
    KeyClaim claim; ///< The key.
};

/// Records the answer under a claimed key.
struct SettleClaim {
    KeyClaim claim; ///< The key.
    CallerAnswer answer; ///< Answer for later requests with the key.
};

/// Gives a claimed key back after a proof of not run.
struct ReleaseClaim {
    KeyClaim claim; ///< The key.
};

/// What the pipeline asks its shell to do.
using PipelineAction = std::variant<SendAttempt, SendRevocation, AnswerCaller, ClaimKey, SettleClaim, ReleaseClaim>;

} // namespace banyanlock
