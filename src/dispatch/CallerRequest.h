#pragma once

#include "core/AttemptId.h"
#include "core/ResultCode.h"
#include "core/Time.h"
#include "dispatch/AttemptMessage.h"

#include <string>

namespace banyanlock
{

/// A caller's request, parsed.
struct CallerRequest {
    std::string workspace; ///< Workspace that asks.
    std::string service; ///< Service that is asked.
    std::string contentType; ///< Content type of the body.
    Body body; ///< Body, passed on as it is.
    bool idempotent = false; ///< Whether it may run more than once.
    std::string idempotencyKey; ///< The caller's key for repeats; may be empty.
    Duration timeout{}; ///< The caller's limit for the answer.
};

/// The answer to a caller.
struct CallerAnswer {
    ResultCode code = ResultCode::Ok; ///< `Ok` with the backend server's answer, or why there is none.
    Outcome outcome = Outcome::Answered; ///< What is known of the request.
    int status = 0; ///< HTTP status of the backend server's answer.
    std::string contentType; ///< Content type of the answer.
    Body body; ///< Whole body of the answer.
    AttemptId attempt; ///< Attempt that was answered, or the last one.
    bool replayed = false; ///< The answer was recorded for an earlier request with the same key.
};

} // namespace banyanlock
