#pragma once

#include "core/ResultCode.h"
#include "dispatch/AgentLoad.h"
#include "dispatch/AttemptMessage.h"

#include <string>

namespace banyanlock
{

/// An agent's reply to an attempt.
struct AttemptReply {
    AttemptId id; ///< The attempt that is answered.
    std::uint64_t agentIncarnation = 0; ///< The agent process that answers.
    ResultCode code = ResultCode::Ok; ///< `Ok` with the backend server's answer, or why there is none.
    int status = 0; ///< HTTP status of the backend server's answer.
    std::string contentType; ///< Content type of the answer.
    Body body; ///< Whole body of the answer.
    std::uint64_t declaredBytes = 0; ///< Size of the body when the agent sent it.
    AgentLoad load; ///< Load of the agent after this attempt.
};

/// @param reply Reply to check.
/// @return Whether the body has the size that the agent declared.
inline bool isComplete(const AttemptReply &reply)
{
    return reply.declaredBytes == (reply.body ? reply.body->size() : 0);
}

} // namespace banyanlock
