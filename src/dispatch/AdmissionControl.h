#pragma once

#include "core/Result.h"
#include "dispatch/TokenBucket.h"
#include "dispatch/WorkspaceLimits.h"

#include <span>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Enforces the contracts' rate and in-flight limits on the requests of one entry.
class AdmissionControl
{
public:
    /// Replaces the limits of all workspaces. Requests of workspaces that are no longer listed are refused.
    /// @param limits Limits of all workspaces.
    void configure(std::span<const WorkspaceLimits> limits);

    /// Admits a request if its workspace is within its limits.
    /// @param workspace Workspace of the request.
    /// @param now Current time.
    /// @return `Ok` if admitted, else `UnknownWorkspace`, `RateLimited` or `InFlightLimited`.
    ResultCode admit(std::string_view workspace, TimePoint now);

    /// Releases the in-flight slot of an admitted request when the request ends.
    /// @param workspace Workspace of the request.
    void release(std::string_view workspace);

    /// @param workspace Workspace to look up.
    /// @return Weight of the workspace; 1 if it is unknown.
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
