#pragma once

#include "core/PartMode.h"

namespace banyanlock
{

/// When each optional part of the pool's scheduler acts; from the settings.
struct PoolParts {
    PartMode workerRecords = PartMode::Auto; ///< Placement considers the records of workers.
};

} // namespace banyanlock
