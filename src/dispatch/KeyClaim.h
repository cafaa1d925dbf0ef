#pragma once

#include "dispatch/CallerRequest.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Names the record of an idempotency key.
struct KeyClaim {
    std::string workspace; ///< Workspace that asks.
    std::string service; ///< Service that is asked.
    std::string key; ///< The caller's key.
    std::string holder; ///< Unique id of the request that claims it.
    std::uint64_t bodyHash = 0; ///< Hash of the request's body.
};

/// What the table service said of a claim.
enum class ClaimState : std::uint8_t {
    Acquired, ///< This request holds the key.
    Answered, ///< An earlier request with the key was answered; the answer is there.
    Held, ///< An earlier request with the key runs, or ended unknown.
    BodyMismatch, ///< An earlier request with the key had another body.
    StoreUnavailable, ///< The claim could not be made; nothing runs.
};

/// Result of a claim.
struct ClaimResult {
    ClaimState state = ClaimState::StoreUnavailable; ///< What is known.
    CallerAnswer answer; ///< Recorded answer, when `Answered`.
};

} // namespace banyanlock
