#pragma once

#include "core/PartMode.h"

namespace banyanlock
{

/// When each optional part of the pool's scheduler acts; from the settings.
struct PoolParts {
    PartMode workerRecords = PartMode::Auto; ///< Placement considers the records of workers.
    PartMode learnedRunTimes = PartMode::Auto; ///< Learned run times replace declared ones.
    PartMode workerSpeeds = PartMode::Auto; ///< Placement considers how fast workers are.
    PartMode holdRoom = PartMode::Auto; ///< Room is held for urgent units and for blocked gangs.
    PartMode fairShares = PartMode::Auto; ///< Workspaces get equal shares of what is contended.
};

} // namespace banyanlock
