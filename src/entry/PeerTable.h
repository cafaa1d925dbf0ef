#pragma once

#include "core/Time.h"
#include "dispatch/PeerHeartbeat.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// Another entry, as this one knows it.
struct Peer {
    PeerHeartbeat heartbeat; ///< Its last heartbeat.
    TimePoint lastHeartbeatAt{}; ///< When it came.
};

/// The other entries that have been heard of.
class PeerTable
{
public:
    /// Silence after which a peer counts as gone.
    static constexpr Duration heartbeatTimeout = fromMilliseconds(3000);

    /// Takes in a heartbeat.
    /// @param heartbeat What the peer said.
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
    /// @param incarnation Its process.
    /// @param now Current time.
    /// @return Whether that process lives and is not shutting down.
    bool isIncarnationServing(std::string_view entry, std::uint64_t incarnation, TimePoint now) const
    {
        return std::ranges::any_of(m_peers, [&](const Peer &peer) {
            return peer.heartbeat.entry == entry && peer.heartbeat.incarnation == incarnation && isServing(peer, now);
        });
    }

    /// @param now Current time.
    /// @return Peers that live and are not shutting down.
    std::vector<PeerHeartbeat> servingPeers(TimePoint now) const
    {
        std::vector<PeerHeartbeat> heartbeats = reachablePeers(now);
        std::erase_if(heartbeats, [](const PeerHeartbeat &heartbeat) {
            return heartbeat.draining;
        });
        return heartbeats;
    }

    /// @param now Current time.
    /// @return Peers that live, also those that are shutting down.
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
