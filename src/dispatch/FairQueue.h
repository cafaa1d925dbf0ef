#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Handle of a request inside the pipeline.
using RequestHandle = std::uint64_t;

/// Weighted fair queue of the requests for one service. The caller bounds its size.
///
/// Each workspace has a virtual time that advances by 1/weight for each of its requests that is removed from the front. The workspace with
/// the lowest virtual time is served next, so that a burst of one workspace doesn't delay the requests of others.
class FairQueue
{
public:
    /// Appends a request to the queue of its workspace.
    /// @param workspace Workspace of the request.
    /// @param request The request.
    void pushBack(std::string_view workspace, RequestHandle request);

    /// Puts a request back at the front of its workspace's queue for a retry.
    /// @param workspace Workspace of the request.
    /// @param request The request.
    void pushFront(std::string_view workspace, RequestHandle request);

    /// @return The request to serve next, or an empty value when the queue is empty.
    std::optional<RequestHandle> front() const;

    /// Removes the request that `front` returns.
    /// @param weight Weight of the request's workspace.
    void popFront(std::uint32_t weight);

    /// Removes a request from any position.
    /// @param workspace Workspace of the request.
    /// @param request The request.
    /// @return Whether the request was queued.
    bool remove(std::string_view workspace, RequestHandle request);

    /// @return The last request of the workspace with the most queued requests, or an empty value when the queue is empty.
    std::optional<RequestHandle> backOfLongestQueue() const;

    /// @return Number of queued requests of all workspaces.
    std::size_t size() const
    {
        return m_size;
    }

    /// @param workspace Workspace to look up.
    /// @return Number of queued requests of the workspace.
    std::size_t sizeOf(std::string_view workspace) const;

    /// @return Number of workspaces with at least one queued request.
    std::size_t activeWorkspaces() const;

private:
    struct WorkspaceQueue {
        std::string workspace;
        std::deque<RequestHandle> requests;
        double virtualTime = 0;
    };

    WorkspaceQueue &queueOf(std::string_view workspace);
    const WorkspaceQueue *nextQueue() const;

    std::vector<WorkspaceQueue> m_queues;
    std::size_t m_size = 0;
    double m_systemVirtualTime = 0;
};

} // namespace banyanlock
