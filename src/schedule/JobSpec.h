#pragma once

#include "placement/GangShape.h"

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Urgency of a job.
enum class Urgency : std::uint8_t {
    Normal, ///< Starts in the order of fair share.
    Urgent, ///< Starts within seconds by preempting reclaimable gangs.
};

/// Specification of a job as submitted by a caller.
struct JobSpec {
    std::string workspace; ///< Workspace that submits the job.
    std::string name; ///< Display name; need not be unique.
    GangShape shape; ///< Resources that the gang needs.
    Urgency urgency = Urgency::Normal; ///< Urgency of the job.
    bool canCheckpoint = false; ///< Whether the job can save a checkpoint, stop and resume later.
    std::uint32_t durationHintMilliseconds = 0; ///< Expected run time as declared by the caller, in milliseconds; not enforced.
};

/// @param spec Specification of a job.
/// @return Number of accelerators of the whole gang.
inline std::uint32_t totalAccelerators(const JobSpec &spec)
{
    return spec.shape.tasks * spec.shape.accelerators;
}

} // namespace banyanlock
