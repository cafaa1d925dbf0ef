#include "dispatch/RoutingContext.h"

#include <algorithm>

namespace banyanlock
{

bool isCandidate(const Member &member, const RoutingContext &context)
{
    const Announcement &announced = member.announced;
    return announced.service == context.service && context.table.isEligible(member, context.now)
        && std::ranges::find(context.outDomains, announced.failureDomain) == context.outDomains.end()
        && std::ranges::find(context.excluded, announced.incarnation) == context.excluded.end();
}

} // namespace banyanlock
