#include "dispatch/RoutingContext.h"

#include <algorithm>

namespace banyanlock
{

bool serves(const Member &member, const RoutingContext &context)
{
    const Announcement &announced = member.announced;
    return announced.service == context.service && context.table.isEligible(member, context.now)
        && std::ranges::find(context.outDomains, announced.failureDomain) == context.outDomains.end();
}

bool isCandidate(const Member &member, const RoutingContext &context)
{
    const bool excluded = std::ranges::find(context.excluded, member.announced.incarnation) != context.excluded.end();
    return serves(member, context) && !excluded;
}

} // namespace banyanlock
