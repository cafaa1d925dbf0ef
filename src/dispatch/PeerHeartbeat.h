#pragma once

#include <cstdint>
#include <string>

namespace banyanlock
{

/// Heartbeat of an entry to its peers.
struct PeerHeartbeat {
    std::string entry; ///< Name of the entry from its settings.
    std::uint64_t incarnation = 0; ///< Random number that identifies the entry's process.
    std::string failureDomain; ///< Failure domain of the entry.
    std::string region; ///< Region of the failure domain.
    std::uint64_t configurationVersion = 0; ///< Version of the configuration that the entry has adopted.
    std::uint64_t storeVersion = 0; ///< Latest version of the table service that the entry has read.
    bool draining = false; ///< The entry is shutting down.
};

} // namespace banyanlock
