#include "dispatch/RoutingPolicy.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

constexpr double sameDomainMicroseconds = 200;
constexpr double sameRegionMicroseconds = 2000;
constexpr double otherRegionMicroseconds = 40000;
constexpr double highestFailureRate = 0.95;
constexpr double loadSlowdown = 0.5; // share of a service time that a fully loaded server adds
constexpr std::size_t enoughNear = 32; // members with room among which the best is hardly better than any
constexpr Duration staleReport = fromMilliseconds(30);
constexpr std::uint32_t standingPlacesOfFour = 3;

double distanceMicroseconds(const Member &member, const RoutingContext &context)
{
    if (member.announced.failureDomain == context.failureDomain) {
        return sameDomainMicroseconds;
    }
    return member.announced.region == context.region ? sameRegionMicroseconds : otherRegionMicroseconds;
}

double expectedMicroseconds(const Member &member, const RoutingContext &context)
{
    const double slots = std::max<double>(1, member.announced.slots);
    const double load = member.load();
    const double service = member.serviceMicroseconds;
    const double waiting = load >= slots ? (load - slots + 1) * service / slots : 0;
    const double slowdown = service * loadSlowdown * std::min(1.0, load / slots);
    // A failed attempt is paid for by another one.
    const double tries = 1.0 / (1.0 - std::min(highestFailureRate, member.failureRate));
    return (service + waiting + slowdown) * tries + distanceMicroseconds(member, context);
}

bool hasRoom(const Member &member)
{
    return member.load() < static_cast<std::uint32_t>(member.announced.slots) + member.announced.queueSlots;
}

/// Other entries fill and free a member unseen. Once a report is old, one attempt finds out, since its reply brings a new one, be it a
/// refusal.
bool mayProbe(const Member &member, TimePoint now)
{
    return member.sentSinceReport == 0 && now - member.clockReadAt >= staleReport;
}

/// Attempts that an entry without near members keeps at a far one whatever its last report says: by the time that a report of a free slot
/// has crossed a region, a nearer entry has taken the slot.
bool hasStandingPlace(const Member &member)
{
    return member.outstanding < std::uint32_t(member.announced.slots) * standingPlacesOfFour / 4;
}

struct Choice {
    std::optional<std::size_t> index;
    double cost = 0;
    double load = 0;
};

void consider(Choice &best, std::size_t index, double cost, double load)
{
    if (!best.index || cost < best.cost || (cost == best.cost && load < best.load)) {
        best = {index, cost, load};
    }
}

} // namespace

std::optional<std::size_t> RoundRobinPolicy::choose(const RoutingContext &context)
{
    const auto members = context.table.members();
    for (std::size_t step = 0; step < members.size(); ++step) {
        const std::size_t index = (m_next + step) % members.size();
        if (isCandidate(members[index], context)) {
            m_next = index + 1;
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> LeastConnectionsPolicy::choose(const RoutingContext &context)
{
    Choice best;
    const auto members = context.table.members();
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (isCandidate(members[index], context)) {
            consider(best, index, members[index].outstanding, 0);
        }
    }
    return best.index;
}

std::optional<std::size_t> CompletionTimePolicy::choose(const RoutingContext &context)
{
    Choice near;
    Choice far;
    Choice standing;
    bool nearServes = false;
    const auto members = context.table.members();
    ++m_rotation; // equal members take turns, so that entries don't all pick the first
    std::size_t nearWithRoom = 0;
    for (std::size_t step = 0; step < members.size() && nearWithRoom < enoughNear; ++step) {
        const std::size_t index = (m_rotation + step) % members.size();
        const Member &member = members[index];
        const bool isNear = member.announced.region == context.region;
        nearServes = nearServes || (isNear && serves(member, context));
        if (!isCandidate(member, context)) {
            continue;
        }
        if (hasRoom(member) || mayProbe(member, context.now)) {
            consider(isNear ? near : far, index, expectedMicroseconds(member, context), member.load());
            nearWithRoom += isNear && hasRoom(member) ? 1 : 0;
        } else if (hasStandingPlace(member)) {
            consider(standing, index, member.outstanding, member.load());
        }
    }
    const auto remaining = static_cast<double>((context.deadline - context.now).count());
    if (near.index && near.cost <= remaining) {
        return near.index;
    }
    if (far.index && (!near.index || far.cost < near.cost)) {
        return far.index;
    }
    return near.index || nearServes ? near.index : standing.index;
}

std::optional<AnyRoutingPolicy> routingPolicyFromName(std::string_view name)
{
    if (name == "completion_time") {
        return CompletionTimePolicy();
    }
    if (name == "least_connections") {
        return LeastConnectionsPolicy();
    }
    if (name == "round_robin") {
        return RoundRobinPolicy();
    }
    return std::nullopt;
}

} // namespace banyanlock
