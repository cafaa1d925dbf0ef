#pragma once

#include "core/Time.h"
#include "dispatch/PeerHeartbeat.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Last known state of another entry.
struct Peer {
    PeerHeartbeat heartbeat; ///< Last heartbeat received.
    TimePoint lastHeartbeatAt{}; ///< Arrival time of that heartbeat.
};

/// The other entries from which heartbeats have arrived.
class PeerTable
{
public:
    /// Age of the last heartbeat after which a peer counts as lost.
    static constexpr Duration heartbeatTimeout = fromMilliseconds(3000);

    /// Records a heartbeat.
    /// @param heartbeat The heartbeat.
    /// @param now Current time.
    void recordHeartbeat(const PeerHeartbeat &heartbeat, TimePoint now)
    {
        const auto known = std::ranges::find_if(m_peers, [&](const Peer &peer) {
            return peer.heartbeat.entry == heartbeat.entry;
        });
        if (known == m_peers.end()) {
            m_peers.push_back({heartbeat, now});
        } else {
            *known = {heartbeat, now};
        }
    }

    /// @param entry Name of an entry.
    /// @param incarnation Incarnation of the entry.
    /// @param now Current time.
    /// @return Whether that incarnation has a recent heartbeat and is not draining.
    bool isIncarnationServing(std::string_view entry, std::uint64_t incarnation, TimePoint now) const
    {
        return std::ranges::any_of(m_peers, [&](const Peer &peer) {
            return peer.heartbeat.entry == entry && peer.heartbeat.incarnation == incarnation && isServing(peer, now);
        });
    }

    /// @param now Current time.
    /// @return Last heartbeats of the peers that are reachable and not draining.
    std::vector<PeerHeartbeat> servingPeers(TimePoint now) const
    {
        std::vector<PeerHeartbeat> heartbeats = reachablePeers(now);
        std::erase_if(heartbeats, [](const PeerHeartbeat &heartbeat) {
            return heartbeat.draining;
        });
        return heartbeats;
    }

    /// @param now Current time.
    /// @return Last heartbeats of the peers with a recent heartbeat, including draining ones.
    std::vector<PeerHeartbeat> reachablePeers(TimePoint now) const
    {
        std::vector<PeerHeartbeat> heartbeats;
        for (const Peer &peer : m_peers) {
            if (now - peer.lastHeartbeatAt <= heartbeatTimeout) {
                heartbeats.push_back(peer.heartbeat);
            }
        }
        return heartbeats;
    }

private:
    static bool isServing(const Peer &peer, TimePoint now)
    {
        return now - peer.lastHeartbeatAt <= heartbeatTimeout && !peer.heartbeat.draining;
    }

    std::vector<Peer> m_peers;
};

} // namespace banyanlock
