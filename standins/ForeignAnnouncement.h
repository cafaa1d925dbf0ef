#pragma once

#include "core/Random.h"
#include "pool/WorkerStatus.h"

namespace banyanlock
{

/// Makes an announcement of another writer that resembles a worker's: under another id, with another birth, or for another service of the
/// very incarnation that is there.
/// @param own The worker's own announcement.
/// @param random Random source.
/// @return The foreign announcement.
WorkerAnnouncement makeForeignAnnouncement(const WorkerAnnouncement &own, Random &random);

} // namespace banyanlock
