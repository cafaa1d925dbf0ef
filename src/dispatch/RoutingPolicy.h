#pragma once

#include "dispatch/RoutingContext.h"

#include <concepts>
#include <optional>
#include <string_view>
#include <variant>

namespace banyanlock
{

/// A policy that picks the member for an attempt.
template <typename Policy>
concept RoutingPolicy = requires(Policy policy, const RoutingContext &context)
{
    {
        policy.choose(context)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Baseline: takes the candidates in turn.
class RoundRobinPolicy
{
public:
    /// @param context The choice to make.
    /// @return Index of the chosen member, or nothing.
    std::optional<std::size_t> choose(const RoutingContext &context);

private:
    std::size_t m_next = 0;
};

/// Baseline: takes the candidate with the fewest open attempts of this entry.
class LeastConnectionsPolicy
{
public:
    /// @param context The choice to make.
    /// @return Index of the chosen member, or nothing.
    std::optional<std::size_t> choose(const RoutingContext &context);
};

/// Takes the candidate with the least expected completion time; other regions only when near members can't serve in time.
class CompletionTimePolicy
{
public:
    /// @param context The choice to make.
    /// @return Index of the chosen member, or nothing when every candidate is full.
    std::optional<std::size_t> choose(const RoutingContext &context);

private:
    std::size_t m_rotation = 0;
};

/// A policy chosen by the settings.
using AnyRoutingPolicy = std::variant<CompletionTimePolicy, LeastConnectionsPolicy, RoundRobinPolicy>;

/// Makes a policy from its name in the settings.
/// @param name `completion_time`, `least_connections` or `round_robin`.
/// @return The policy, or nothing for an unknown name.
std::optional<AnyRoutingPolicy> routingPolicyFromName(std::string_view name);

} // namespace banyanlock
