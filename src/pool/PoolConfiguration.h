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
    std::string host; ///< Host name that callers use.
    std::string pathPrefix; ///< Beginning of its jobs' paths.
    std::string service; ///< Service whose workers run its jobs.
    std::uint32_t priority = 0; ///< Rank; 0 goes first and may preempt others.
    std::uint32_t attemptLimit = 1; ///< Runs of a task that may fail.
    double slackFactor = 1.0; ///< Objective, in multiples of a job's longest chain.
    Duration targetLatency{}; ///< Time that the objective adds.
    bool open = false; ///< Calls need no key.
};

/// A workspace with its keys and its guarantee.
struct PoolWorkspace {
    std::string name; ///< Name of the workspace.
    std::vector<std::string> keys; ///< Keys that its callers may use.
    std::int64_t guaranteedAccelerators = 0; ///< Accelerators that its jobs of priority 0 can always get.
};

/// One version of the pool's configuration.
struct PoolConfiguration {
    std::uint64_t version = 0; ///< The operators' number; rises with each change.
    std::vector<PoolQueue> queues; ///< All queues.
    std::vector<PoolWorkspace> workspaces; ///< All workspaces.

    /// Finds the queue of a call.
    /// @param host Host name of the call, without port.
    /// @param path Path of the call.
    /// @return The queue with the longest prefix that fits, or null.
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

    /// @param key Key that a caller shows.
    /// @return The workspace that it belongs to, or null.
    const PoolWorkspace *findWorkspaceOfKey(std::string_view key) const
    {
        const auto found = std::ranges::find_if(workspaces, [&](const PoolWorkspace &workspace) {
            return std::ranges::find(workspace.keys, key) != workspace.keys.end();
        });
        return found == workspaces.end() ? nullptr : &*found;
    }

    /// @param name Name of a workspace.
    /// @return Its guaranteed accelerators; zero if it is unknown.
    std::int64_t guaranteeOf(std::string_view name) const
    {
        const auto found = std::ranges::find(workspaces, name, &PoolWorkspace::name);
        return found == workspaces.end() ? 0 : found->guaranteedAccelerators;
    }
};

} // namespace banyanlock
