#pragma once

#include "core/ResultCode.h"
#include "dispatch/AgentLoad.h"
#include "dispatch/AttemptMessage.h"

#include <string>

namespace banyanlock
{

/// An agent's reply to an attempt.
struct AttemptReply {
    AttemptId id; ///< Id of the attempt.
    std::uint64_t agentIncarnation = 0; ///< Incarnation of the replying agent process.
    ResultCode code = ResultCode::Ok; ///< `Ok` with the backend server's answer, else the reason for having none.
    int status = 0; ///< HTTP status of the backend server's answer.
    std::string contentType; ///< Content type of the answer.
    Body body; ///< Complete body of the answer.
    std::uint64_t declaredBytes = 0; ///< Size of the body in bytes as sent by the agent; a smaller body was truncated.
    AgentLoad load; ///< Load of the agent at the time of the reply.
};

/// @param reply Reply to check.
/// @return Whether the body has the size that the agent declared.
inline bool isComplete(const AttemptReply &reply)
{
    return reply.declaredBytes == (reply.body ? reply.body->size() : 0);
}

} // namespace banyanlock
