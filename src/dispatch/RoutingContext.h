#pragma once

#include "dispatch/MemberTable.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Input of a routing policy for one attempt.
struct RoutingContext {
    const MemberTable &table; ///< Known members.
    TimePoint now; ///< Current time.
    TimePoint deadline; ///< The request's deadline.
    std::string_view service; ///< Requested service.
    std::string_view failureDomain; ///< The entry's failure domain.
    std::string_view region; ///< The entry's region.
    std::span<const std::string> outDomains; ///< Failure domains that are out.
    std::span<const std::uint64_t> excluded; ///< Incarnations of the agents at which earlier attempts at this request have failed.
};

/// Tells whether a member can serve the request's service at present.
/// @param member Member to check.
/// @param context Context of the routing decision.
/// @return Whether it offers the service, is eligible, and its failure domain is not out.
bool serves(const Member &member, const RoutingContext &context);

/// Tells whether a member is a candidate for the next attempt.
/// @param member Member to check.
/// @param context Context of the routing decision.
/// @return Whether it serves the request's service and is not excluded.
bool isCandidate(const Member &member, const RoutingContext &context);

} // namespace banyanlock
