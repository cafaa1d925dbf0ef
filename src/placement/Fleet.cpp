#include "placement/Fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace banyanlock
{

Fleet::Fleet(std::vector<WorkerInfo> workers)
    : m_workers(std::move(workers))
{
    std::ranges::stable_sort(m_workers, [](const WorkerInfo &left, const WorkerInfo &right) {
        return std::tie(left.failureDomain, left.rack, left.name) < std::tie(right.failureDomain, right.rack, right.name);
    });
}

std::span<const WorkerInfo> Fleet::workersOf(std::string_view failureDomain) const
{
    const auto nameOf = [](const WorkerInfo &worker) {
        return std::string_view(worker.failureDomain);
    };
    const auto first = std::ranges::lower_bound(m_workers, failureDomain, {}, nameOf);
    const auto last = std::ranges::upper_bound(m_workers, failureDomain, {}, nameOf);
    return {first, last};
}

std::vector<std::string> Fleet::failureDomains() const
{
    std::vector<std::string> names;
    for (const WorkerInfo &worker : m_workers) {
        if (names.empty() || names.back() != worker.failureDomain) {
            names.push_back(worker.failureDomain);
        }
    }
    return names;
}

} // namespace banyanlock
