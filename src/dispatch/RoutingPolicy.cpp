#include "dispatch/RoutingPolicy.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

constexpr double sameDomainLatencyMicroseconds = 200;
constexpr double sameRegionLatencyMicroseconds = 2000;
constexpr double otherRegionLatencyMicroseconds = 40000;
constexpr double maxFailureRate = 0.95;
constexpr double fullLoadSlowdown = 0.5; // share of the service time that full load adds
constexpr std::size_t maxNearCandidates = 32; // scanning more members with capacity hardly improves the choice
constexpr Duration staleReportAge = fromMilliseconds(30);
constexpr std::uint32_t fallbackSlotQuarters = 3; // quarters of a remote member's slots that an entry uses regardless of its report

double latencyMicroseconds(const Member &member, const RoutingContext &context)
{
    if (member.announced.failureDomain == context.failureDomain) {
        return sameDomainLatencyMicroseconds;
    }
    return member.announced.region == context.region ? sameRegionLatencyMicroseconds : otherRegionLatencyMicroseconds;
}

double expectedCompletionMicroseconds(const Member &member, const RoutingContext &context)
{
    const double slots = std::max<double>(1, member.announced.slots);
    const double load = member.load();
    const double service = member.serviceMicroseconds;
    const double waiting = load >= slots ? (load - slots + 1) * service / slots : 0;
    const double slowdown = service * fullLoadSlowdown * std::min(1.0, load / slots);
    // Each failed attempt costs another one.
    const double expectedAttempts = 1.0 / (1.0 - std::min(maxFailureRate, member.failureRate));
    return (service + waiting + slowdown) * expectedAttempts + latencyMicroseconds(member, context);
}

bool hasCapacity(const Member &member)
{
    return member.load() < static_cast<std::uint32_t>(member.announced.slots) + member.announced.queueSlots;
}

/// Other entries change a member's load without this entry's knowledge. Once the report is stale, one attempt is sent as a probe, since
/// every reply carries a new report, even a refusal.
bool mayProbe(const Member &member, TimePoint now)
{
    return member.sentSinceReport == 0 && now - member.reportReceivedAt >= staleReportAge;
}

/// An entry without members in its own region keeps some attempts in flight at a remote member regardless of the last report: by the time a
/// report of a free slot has reached another region, an entry closer to the member has taken the slot.
bool hasFallbackCapacity(const Member &member)
{
    return member.outstanding < std::uint32_t(member.announced.slots) * fallbackSlotQuarters / 4;
}

struct BestCandidate {
    std::optional<std::size_t> index;
    double cost = 0;
    double load = 0;
};

void updateBest(BestCandidate &best, std::size_t index, double cost, double load)
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
    BestCandidate best;
    const auto members = context.table.members();
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (isCandidate(members[index], context)) {
            updateBest(best, index, members[index].outstanding, 0);
        }
    }
    return best.index;
}

std::optional<std::size_t> CompletionTimePolicy::choose(const RoutingContext &context)
{
    BestCandidate near;
    BestCandidate far;
    BestCandidate fallback;
    bool hasNearMember = false;
    const auto members = context.table.members();
    ++m_rotation; // rotates the start, so that entries don't all select the first of equal members
    std::size_t nearCandidates = 0;
    for (std::size_t step = 0; step < members.size() && nearCandidates < maxNearCandidates; ++step) {
        const std::size_t index = (m_rotation + step) % members.size();
        const Member &member = members[index];
        const bool isNear = member.announced.region == context.region;
        hasNearMember = hasNearMember || (isNear && serves(member, context));
        if (!isCandidate(member, context)) {
            continue;
        }
        if (hasCapacity(member) || mayProbe(member, context.now)) {
            updateBest(isNear ? near : far, index, expectedCompletionMicroseconds(member, context), member.load());
            nearCandidates += isNear && hasCapacity(member) ? 1 : 0;
        } else if (hasFallbackCapacity(member)) {
            updateBest(fallback, index, member.outstanding, member.load());
        }
    }
    const auto remaining = static_cast<double>((context.deadline - context.now).count());
    if (near.index && near.cost <= remaining) {
        return near.index;
    }
    if (far.index && (!near.index || far.cost < near.cost)) {
        return far.index;
    }
    return near.index || hasNearMember ? near.index : fallback.index;
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
