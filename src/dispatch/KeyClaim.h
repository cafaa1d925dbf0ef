#pragma once

#include "dispatch/CallerRequest.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Claim of an idempotency key, identifying the key's record in the table service.
struct KeyClaim {
    std::string workspace; ///< Workspace of the request.
    std::string service; ///< Requested service.
    std::string key; ///< Idempotency key of the caller.
    std::string holder; ///< Unique id of the claiming request.
    std::uint64_t bodyHash = 0; ///< Hash of the request body.
};

/// Outcome of a claim at the table service.
enum class ClaimState : std::uint8_t {
    Acquired, ///< This request holds the key.
    Answered, ///< An earlier request with the key was answered; its answer is returned.
    Held, ///< An earlier request with the key is in progress, or ended with an unknown outcome.
    BodyMismatch, ///< An earlier request with the key had a different body.
    StoreUnavailable, ///< The table service did not confirm the claim; the request does not run.
};

/// Result of a claim.
struct ClaimResult {
    ClaimState state = ClaimState::StoreUnavailable; ///< Outcome of the claim.
    CallerAnswer answer; ///< Recorded answer if the state is `Answered`.
};

} // namespace banyanlock
