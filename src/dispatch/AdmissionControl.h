#pragma once

#include "core/Result.h"
#include "dispatch/TokenBucket.h"
#include "dispatch/WorkspaceLimits.h"

#include <span>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Applies the contracts' rate and in-flight limits to the requests of one entry.
class AdmissionControl
{
public:
    /// Takes over new limits; workspaces that are no longer named are refused from now on.
    /// @param limits All workspaces.
    void configure(std::span<const WorkspaceLimits> limits);

    /// Admits a request, or says why not.
    /// @param workspace Workspace that asks.
    /// @param now Current time.
    /// @return `Ok`, `UnknownWorkspace`, `RateLimited` or `InFlightLimited`.
    ResultCode admit(std::string_view workspace, TimePoint now);

    /// Takes back an admission at the end of the request.
    /// @param workspace Workspace that asked.
    void release(std::string_view workspace);

    /// @param workspace Workspace to look up.
    /// @return Its weight; 1 for an unknown one.
    std::uint32_t shareOf(std::string_view workspace) const;

private:
    struct WorkspaceState {
        WorkspaceLimits limits;
        TokenBucket bucket;
        std::uint32_t inFlight = 0;
        bool known = true;
    };

    WorkspaceState *find(std::string_view workspace);

    std::vector<WorkspaceState> m_workspaces;
};

} // namespace banyanlock
