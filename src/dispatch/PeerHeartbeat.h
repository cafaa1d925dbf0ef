#pragma once

#include <cstdint>
#include <string>

namespace banyanlock
{

/// What an entry tells its peers, as a heartbeat.
struct PeerHeartbeat {
    std::string entry; ///< Name of the entry from its settings.
    std::uint64_t incarnation = 0; ///< Random number of the entry's process.
    std::string failureDomain; ///< Failure domain of the entry.
    std::string region; ///< Region of the failure domain.
    std::uint64_t configurationVersion = 0; ///< Configuration that the entry has adopted.
    std::uint64_t storeVersion = 0; ///< Latest version of the table service that the entry has read.
    bool draining = false; ///< The entry is shutting down.
};

} // namespace banyanlock
