#pragma once

#include "core/AttemptId.h"
#include "core/Time.h"

#include <cstdint>

namespace banyanlock
{

/// Asks an agent to guarantee that an attempt never starts.
struct Revocation {
    AttemptId id; ///< The attempt.
    std::uint64_t agentIncarnation = 0; ///< Incarnation of the agent process that the attempt was addressed to.
    TimePoint startBy{}; ///< The attempt's start deadline, on the agent's clock.
};

/// An agent's answer to a revocation.
enum class RevocationState : std::uint8_t {
    Revoked, ///< The attempt did not start and never will.
    Started, ///< The attempt was forwarded; it may have run.
    WrongIncarnation, ///< The attempt was addressed to another process; nothing is known about it.
};

} // namespace banyanlock
