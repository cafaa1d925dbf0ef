#pragma once

#include "dispatch/MemberTable.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// What a routing policy may look at for one choice.
struct RoutingContext {
    const MemberTable &table; ///< Known members.
    TimePoint now; ///< Current time.
    TimePoint deadline; ///< The request's deadline.
    std::string_view service; ///< Service that is asked.
    std::string_view failureDomain; ///< The entry's failure domain.
    std::string_view region; ///< The entry's region.
    std::span<const std::string> outDomains; ///< Failure domains that are out.
    std::span<const std::uint64_t> excluded; ///< Incarnations that this request has been refused by.
};

/// Decides whether a member serves the request's service now.
/// @param member Member to look at.
/// @param context The choice to make.
/// @return Whether it offers the service, is eligible, and in a failure domain that is in.
bool serves(const Member &member, const RoutingContext &context);

/// Decides whether a member may be chosen at all.
/// @param member Member to look at.
/// @param context The choice to make.
/// @return Whether it serves the request's service and is not excluded.
bool isCandidate(const Member &member, const RoutingContext &context);

} // namespace banyanlock
