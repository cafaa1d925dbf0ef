#pragma once

#include "dispatch/Announcement.h"
#include "dispatch/AttemptReply.h"
#include "dispatch/PeerHeartbeat.h"
#include "dispatch/Revocation.h"
#include "pool/WorkerStatus.h"

#include <functional>

namespace banyanlock
{

/// Calls that an agent serves. They run on the RPC thread; the reply functions may be called from every thread.
struct AgentHandlers {
    std::function<void(AttemptMessage, std::function<void(AttemptReply)>)> forward; ///< Offers an attempt.
    std::function<void(Revocation, std::function<void(RevocationState)>)> revoke; ///< Asks for a promise.
};

/// Calls that an entry serves. They run on the RPC thread; the reply functions may be called from every thread.
struct EntryHandlers {
    std::function<void(Announcement)> announce; ///< Takes an agent's announcement.
    std::function<void(PeerHeartbeat, std::function<void(PeerHeartbeat)>)> heartbeat; ///< Takes a peer's heartbeat.
};

/// Calls that the agent of a pool's worker serves. They run on the RPC thread; the reply function may be called from every thread.
struct SupervisorHandlers {
    std::function<void(SuperviseRequest, std::function<void(WorkerStatus)>)> supervise; ///< Takes a call of the pool's owner.
};

} // namespace banyanlock
