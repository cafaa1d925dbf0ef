#pragma once

#include "placement/WorkerInfo.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// All workers, ordered by failure domain, rack and name, so that every process sees them in the same order.
class Fleet
{
public:
    /// @param workers Workers in any order; of several with the same name the last counts.
    explicit Fleet(std::vector<WorkerInfo> workers = {});

    /// @return All workers in order.
    std::span<const WorkerInfo> workers() const
    {
        return m_workers;
    }

    /// @param failureDomain Failure domain to look up.
    /// @return Its workers; consecutive, racks together.
    std::span<const WorkerInfo> workersOf(std::string_view failureDomain) const;

    /// @return Names of all failure domains, ordered.
    std::vector<std::string> failureDomains() const;

private:
    std::vector<WorkerInfo> m_workers;
};

} // namespace banyanlock
