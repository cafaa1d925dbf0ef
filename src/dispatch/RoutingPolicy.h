#pragma once

#include "dispatch/RoutingContext.h"

#include <concepts>
#include <optional>
#include <string_view>
#include <variant>

namespace banyanlock
{

/// Policy that selects the member for an attempt.
template <typename Policy>
concept RoutingPolicy = requires(Policy policy, const RoutingContext &context)
{
    {
        policy.choose(context)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Baseline: selects the candidates in turn.
class RoundRobinPolicy
{
public:
    /// @param context Context of the routing decision.
    /// @return Index of the selected member, or an empty value if there is no candidate.
    std::optional<std::size_t> choose(const RoutingContext &context);

private:
    std::size_t m_next = 0;
};

/// Baseline: selects the candidate with the fewest attempts of this entry in flight.
class LeastConnectionsPolicy
{
public:
    /// @param context Context of the routing decision.
    /// @return Index of the selected member, or an empty value if there is no candidate.
    std::optional<std::size_t> choose(const RoutingContext &context);
};

/// Selects the candidate with the lowest expected completion time. Other regions are used only when no member of the entry's region is
/// expected to answer before the deadline.
class CompletionTimePolicy
{
public:
    /// @param context Context of the routing decision.
    /// @return Index of the selected member, or an empty value if every candidate is full.
    std::optional<std::size_t> choose(const RoutingContext &context);

private:
    std::size_t m_rotation = 0;
};

/// Routing policy selected by the settings.
using AnyRoutingPolicy = std::variant<CompletionTimePolicy, LeastConnectionsPolicy, RoundRobinPolicy>;

/// Creates a policy from its name in the settings.
/// @param name `completion_time`, `least_connections` or `round_robin`.
/// @return The policy, or an empty value for an unknown name.
std::optional<AnyRoutingPolicy> routingPolicyFromName(std::string_view name);

} // namespace banyanlock
