#pragma once

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Limits that one entry applies to the requests of one workspace.
struct WorkspaceLimits {
    std::string workspace; ///< Name of the workspace.
    double requestsPerSecond = 0; ///< Rate limit of this entry.
    std::uint32_t inFlight = 0; ///< Limit of requests in flight at this entry.
    std::uint32_t share = 1; ///< Weight against other workspaces when slots are short.
};

} // namespace banyanlock
