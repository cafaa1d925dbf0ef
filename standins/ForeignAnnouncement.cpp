#include "ForeignAnnouncement.h"

#include <string>

namespace banyanlock
{

WorkerAnnouncement makeForeignAnnouncement(const WorkerAnnouncement &own, Random &random)
{
    constexpr std::int64_t minute = 60'000;
    WorkerAnnouncement foreign = own;
    foreign.sequence = random.chance(0.5) ? 0xffffffff : 1;
    foreign.draining = random.chance(0.5);
    foreign.capacity = {1000, 1000, 1};
    switch (random.below(4)) {
    case 0:
        foreign.incarnation.worker = "foreign-" + std::to_string(random.below(3));
        break;
    case 1:
        foreign.incarnation.startedUnixMilliseconds += minute;
        break;
    case 2:
        foreign.incarnation.startedUnixMilliseconds -= minute;
        break;
    default:
        foreign.service = "foreign"; // for the very incarnation that is there
    }
    return foreign;
}

} // namespace banyanlock
