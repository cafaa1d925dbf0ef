#include "dispatch/AdmissionControl.h"

#include "core/Assert.h"

#include <algorithm>

namespace banyanlock
{

AdmissionControl::WorkspaceState *AdmissionControl::find(std::string_view workspace)
{
    const auto state = std::ranges::find_if(m_workspaces, [&](const WorkspaceState &candidate) {
        return candidate.limits.workspace == workspace;
    });
    return state == m_workspaces.end() ? nullptr : &*state;
}

void AdmissionControl::configure(std::span<const WorkspaceLimits> limits)
{
    for (WorkspaceState &state : m_workspaces) {
        state.known = false;
    }
    for (const WorkspaceLimits &limit : limits) {
        WorkspaceState *state = find(limit.workspace);
        if (state == nullptr) {
            m_workspaces.emplace_back();
            state = &m_workspaces.back();
        }
        state->limits = limit;
        state->known = true;
        state->bucket.setRate(limit.requestsPerSecond);
    }
    std::erase_if(m_workspaces, [](const WorkspaceState &state) {
        return !state.known && state.inFlight == 0;
    });
}

ResultCode AdmissionControl::admit(std::string_view workspace, TimePoint now)
{
    WorkspaceState *state = find(workspace);
    if (state == nullptr || !state->known) {
        return ResultCode::UnknownWorkspace;
    }
    if (state->inFlight >= state->limits.inFlight) {
        return ResultCode::InFlightLimited;
    }
    if (!state->bucket.take(now)) {
        return ResultCode::RateLimited;
    }
    ++state->inFlight;
    return ResultCode::Ok;
}

void AdmissionControl::release(std::string_view workspace)
{
    WorkspaceState *state = find(workspace);
    BANYANLOCK_ASSERT(state != nullptr && state->inFlight > 0);
    --state->inFlight;
}

std::uint32_t AdmissionControl::shareOf(std::string_view workspace) const
{
    const auto state = std::ranges::find_if(m_workspaces, [&](const WorkspaceState &candidate) {
        return candidate.limits.workspace == workspace;
    });
    return state == m_workspaces.end() ? 1 : std::max(1U, state->limits.share);
}

} // namespace banyanlock
