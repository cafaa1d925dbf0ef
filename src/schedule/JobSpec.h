#pragma once

#include "placement/GangShape.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// How soon a job must start.
enum class Urgency : std::uint8_t {
    Normal,
    Urgent, ///< Starts within seconds, at the cost of reclaimable work.
};

/// What a caller asks for when submitting a job.
struct JobSpec {
    std::string workspace; ///< Workspace that asks.
    std::string name; ///< Name for people; need not be unique.
    GangShape shape; ///< What the gang needs.
    Urgency urgency = Urgency::Normal; ///< How soon it must start.
    bool canCheckpoint = false; ///< Whether it can be stopped and go on later.
    std::uint32_t durationHintMilliseconds = 0; ///< Declared run time; only a hint.
};

/// @param spec Job to look at.
/// @return Accelerators of the whole gang.
inline std::uint32_t totalAccelerators(const JobSpec &spec)
{
    return spec.shape.tasks * spec.shape.accelerators;
}

} // namespace banyanlock
