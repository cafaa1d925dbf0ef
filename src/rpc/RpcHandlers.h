#pragma once

#include "dispatch/Announcement.h"
#include "dispatch/AttemptReply.h"
#include "dispatch/PeerHeartbeat.h"
#include "dispatch/Revocation.h"
#include "pool/WorkerStatus.h"

#include <functional>

namespace banyanlock
{

/// Handlers of the RPCs that an agent serves. They run on the RPC thread; the reply functions may be called from any thread.
struct AgentHandlers {
    std::function<void(AttemptMessage, std::function<void(AttemptReply)>)> forward; ///< Handles an attempt that an entry offers.
    std::function<void(Revocation, std::function<void(RevocationState)>)>
        revoke; ///< Handles a request to guarantee that an attempt never starts.
};

/// Handlers of the RPCs that an entry serves. They run on the RPC thread; the reply functions may be called from any thread.
struct EntryHandlers {
    std::function<void(Announcement)> announce; ///< Handles an agent's announcement.
    std::function<void(PeerHeartbeat, std::function<void(PeerHeartbeat)>)> heartbeat; ///< Handles a peer's heartbeat.
};

/// Handlers of the RPCs that the agent of a pool's worker serves. They run on the RPC thread; the reply function may be called from any
/// thread.
struct SupervisorHandlers {
    std::function<void(SuperviseRequest, std::function<void(WorkerStatus)>)> supervise; ///< Handles a call of the pool's owner.
};

} // namespace banyanlock
