#pragma once

#include "graph/GraphSpec.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// A queue that callers submit jobs to.
struct PoolQueue {
    std::string name; ///< Name of the queue.
    std::string host; ///< Host name that callers send requests to.
    std::string pathPrefix; ///< Path prefix of requests for the queue.
    std::string service; ///< Service whose workers run its jobs.
    std::uint32_t priority = 0; ///< Priority; 0 is the highest and may preempt others.
    std::uint32_t attemptLimit = 1; ///< Number of failed runs of a unit after which its job fails.
    double slackFactor = 1.0; ///< Latency objective of a job, as a multiple of its critical path.
    Duration targetLatency{}; ///< Constant that is added to the latency objective.
    bool open = false; ///< Callers need no API key.
};

/// A workspace with its API keys and its guarantee.
struct PoolWorkspace {
    std::string name; ///< Name of the workspace.
    std::vector<std::string> keys; ///< API keys of its callers.
    std::int64_t guaranteedAccelerators = 0; ///< Accelerators that its jobs of priority 0 are guaranteed to get.
};

/// One version of the pool's configuration.
struct PoolConfiguration {
    std::uint64_t version = 0; ///< Version that operators assign; increases with each change.
    std::vector<PoolQueue> queues; ///< All queues.
    std::vector<PoolWorkspace> workspaces; ///< All workspaces.

    /// Finds the queue that a request addresses.
    /// @param host Host name of the request, without port.
    /// @param path Path of the request.
    /// @return The queue with the longest matching path prefix, or null.
    const PoolQueue *findQueue(std::string_view host, std::string_view path) const
    {
        const PoolQueue *best = nullptr;
        for (const PoolQueue &queue : queues) {
            const bool fits = queue.host == host && path.starts_with(queue.pathPrefix);
            if (fits && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
                best = &queue;
            }
        }
        return best;
    }

    /// @param key API key of a caller.
    /// @return The workspace that the key belongs to, or null.
    const PoolWorkspace *findWorkspaceOfKey(std::string_view key) const
    {
        const auto found = std::ranges::find_if(workspaces, [&](const PoolWorkspace &workspace) {
            return std::ranges::find(workspace.keys, key) != workspace.keys.end();
        });
        return found == workspaces.end() ? nullptr : &*found;
    }

    /// @param name Name of a workspace.
    /// @return Number of guaranteed accelerators; zero for an unknown workspace.
    std::int64_t guaranteeOf(std::string_view name) const
    {
        const auto found = std::ranges::find(workspaces, name, &PoolWorkspace::name);
        return found == workspaces.end() ? 0 : found->guaranteedAccelerators;
    }
};

} // namespace banyanlock
