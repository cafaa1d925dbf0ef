#pragma once

#include "placement/WorkerInfo.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// All workers, ordered by failure domain, rack and name, so that worker indices are the same in every process.
class Fleet
{
public:
    /// @param workers Workers in any order; their names must be unique.
    explicit Fleet(std::vector<WorkerInfo> workers = {});

    /// @return All workers in order.
    std::span<const WorkerInfo> workers() const
    {
        return m_workers;
    }

    /// @param failureDomain Failure domain to look up.
    /// @return Workers of the failure domain, grouped by rack.
    std::span<const WorkerInfo> workersOf(std::string_view failureDomain) const;

    /// @return Names of all failure domains, ordered.
    std::vector<std::string> failureDomains() const;

private:
    std::vector<WorkerInfo> m_workers;
};

} // namespace banyanlock
