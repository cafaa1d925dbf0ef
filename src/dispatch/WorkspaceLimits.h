#pragma once

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Limits that an entry enforces on the requests of one workspace.
struct WorkspaceLimits {
    std::string workspace; ///< Name of the workspace.
    double requestsPerSecond = 0; ///< Rate limit at this entry.
    std::uint32_t inFlight = 0; ///< Maximum number of requests in flight at this entry.
    std::uint32_t share = 1; ///< Weight relative to other workspaces while requests are queued.
};

} // namespace banyanlock
