#pragma once

#include "core/AttemptId.h"
#include "core/ResultCode.h"
#include "core/Time.h"
#include "dispatch/AttemptMessage.h"

#include <string>

namespace banyanlock
{

/// Parsed request of a caller.
struct CallerRequest {
    std::string workspace; ///< Workspace of the request.
    std::string service; ///< Requested service.
    std::string contentType; ///< Content type of the body.
    Body body; ///< Body, forwarded unchanged.
    bool idempotent = false; ///< Whether the request may run more than once.
    std::string idempotencyKey; ///< Key by which repeats of the request are recognised; may be empty.
    Duration timeout{}; ///< Timeout for the answer, set by the caller.
};

/// Answer to a caller.
struct CallerAnswer {
    ResultCode code = ResultCode::Ok; ///< `Ok` with the backend server's answer, else the reason for having none.
    Outcome outcome = Outcome::Answered; ///< Whether the request was answered, did not run, or may have run.
    int status = 0; ///< HTTP status of the backend server's answer.
    std::string contentType; ///< Content type of the answer.
    Body body; ///< Complete body of the answer.
    AttemptId attempt; ///< Attempt that was answered, else the last attempt.
    bool replayed = false; ///< Whether the answer was recorded for an earlier request with the same idempotency key.
};

} // namespace banyanlock
