#pragma once

#include "DispatchWorld.h"
#include "support/Freezable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace banyanlock
{

constexpr Duration disconnectNoticeDelay = fromMilliseconds(5); ///< Time until a peer detects a broken connection.

/// @param body Body of a request.
/// @return Body of the backend server's answer to the request.
inline std::string answerTo(const std::string &body)
{
    return "answer to " + body;
}

/// Simulated process of an entry.
struct DispatchWorld::EntryProcess : Freezable {
    int index = 0;
    std::uint64_t incarnation = 0;
    TimerService timers;
    TimePoint lastExpiry{};
    std::unique_ptr<RequestPipeline> pipeline;
    std::map<RequestHandle, std::size_t> requests;
};

/// Simulated process of an agent, with its backend server.
struct DispatchWorld::AgentProcess : Freezable {
    int index = 0;
    std::uint64_t incarnation = 0;
    Duration clockOffset{};
    std::unique_ptr<AgentGate> gate;
    std::map<AttemptId, int> replyTo;
    std::map<AttemptId, std::uint64_t> replyToIncarnation;
    bool backendBroken = false;
    bool dead = false;
    TimePoint drainingSince{};
    int runningAtBackend = 0;

    TimePoint clock(TimePoint now) const
    {
        return now + clockOffset;
    }
};

} // namespace banyanlock
