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

/// Bounded queue of the requests for one service, fair between workspaces by weight.
///
/// Each workspace has a virtual time that advances by 1/weight for each request taken. The workspace with the least virtual time goes
/// next, so a burst waits behind its own workspace's share and not in front of others.
class FairQueue
{
public:
    /// Appends a request.
    /// @param workspace Workspace that asks.
    /// @param request The request.
    void pushBack(std::string_view workspace, RequestHandle request);

    /// Puts a request back in front of its workspace's others, for another attempt.
    /// @param workspace Workspace that asks.
    /// @param request The request.
    void pushFront(std::string_view workspace, RequestHandle request);

    /// @return The request to serve next, or nothing when the queue is empty.
    std::optional<RequestHandle> front() const;

    /// Takes the request that `front` names.
    /// @param weight Weight of its workspace.
    void popFront(std::uint32_t weight);

    /// Takes a request out, wherever it stands.
    /// @param workspace Workspace that asks.
    /// @param request The request.
    /// @return Whether it was there.
    bool remove(std::string_view workspace, RequestHandle request);

    /// @return The last request of the workspace that has the most, or nothing when the queue is empty.
    std::optional<RequestHandle> backOfLongestQueue() const;

    /// @return Requests of all workspaces.
    std::size_t size() const
    {
        return m_size;
    }

    /// @param workspace Workspace to look up.
    /// @return Requests of this workspace.
    std::size_t sizeOf(std::string_view workspace) const;

    /// @return Workspaces with at least one request.
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
