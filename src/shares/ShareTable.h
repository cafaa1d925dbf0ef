#pragma once

#include "core/Time.h"
#include "graph/Resources.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Share of the pool that each workspace has used lately: the mean of its share of the dominant resource, weighted by an exponential
/// decay of 10 s. For each span, call `advance` once, then `use` for each workspace that held resources.
class ShareTable
{
public:
    /// Lets the shares of all workspaces decay.
    /// @param span Length of the span; a negative span counts as zero.
    void advance(Duration span);

    /// Adds what a workspace held during a span.
    /// @param workspace The workspace.
    /// @param held Resources that its tasks held; negative amounts count as zero.
    /// @param span Length of the span; a negative span counts as zero.
    /// @param pool Capacity of the pool; a resource without capacity is ignored.
    void use(std::string_view workspace, const Resources &held, Duration span, const Resources &pool);

    /// @param workspace A workspace.
    /// @return Its share of the dominant resource, 0 to 1; zero for an unknown workspace.
    double shareOf(std::string_view workspace) const;

    /// @return Sum of the shares of all workspaces. It may exceed 1 if they use different resources.
    double total() const;

private:
    std::map<std::string, double, std::less<>> m_shares;
};

/// Limits how much work aged groups may start ahead of others, so that each starts at last and the others lose little. A fiftieth of the
/// pool's capacity accrues as credit. Work may overdraw the credit; aged groups go first again once it is repaid.
class AgeingBudget
{
public:
    /// Adds the credit of a span.
    /// @param span Length of the span; a negative span counts as zero.
    /// @param pool Capacity of the pool.
    void accrue(Duration span, const Resources &pool);

    /// Subtracts the work of aged units that were started while aged groups went first.
    /// @param work Forecast work, in core-equivalent seconds.
    void charge(double work);

    /// @return Whether aged groups go first.
    bool isDue() const;

private:
    double m_credit = 0.0; // core-equivalent seconds
};

} // namespace banyanlock
