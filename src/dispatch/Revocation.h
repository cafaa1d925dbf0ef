#pragma once

#include "core/AttemptId.h"
#include "core/Time.h"

#include <cstdint>

namespace banyanlock
{

/// Asks an agent to promise that an attempt never starts.
struct Revocation {
    AttemptId id; ///< The attempt.
    std::uint64_t agentIncarnation = 0; ///< The agent process that the attempt was addressed to.
    TimePoint startBy{}; ///< The attempt's start-by limit, on the agent's clock.
};

/// What the agent answers to a revocation.
enum class RevocationState : std::uint8_t {
    Revoked, ///< Promised: not started and never will.
    Started, ///< The attempt was forwarded; it may have run.
    WrongIncarnation, ///< Another process was meant; nothing can be promised.
};

} // namespace banyanlock
