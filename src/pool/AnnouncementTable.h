#pragma once

#include "pool/WorkerStatus.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanlock
{

/// The latest announcements received at the address of one worker, whoever sent them.
///
/// Nothing in an announcement proves its sender. The table therefore keeps the announcements of each incarnation and service apart, so that
/// the sequence numbers of one writer never make those of another one outdated, and leaves it to the caller to ask the worker which
/// incarnation it is. The number of entries is limited.
class AnnouncementTable
{
public:
    static constexpr std::size_t maxEntries = 8; ///< A worker has one entry, for a moment two after a restart; the others are foreign.
    static constexpr std::uint32_t maxUnansweredQueries = 50; ///< Unanswered queries after which an entry is removed: ten seconds or more,
                                                              ///< in which a worker that is there announces itself several times.
    static constexpr std::uint32_t maxMissed
        = 3; ///< Announcements for another service of the same incarnation after which a service counts as no longer announced.

    /// Adds an announcement.
    /// @param announcement The announcement.
    /// @param current Announcement in use, which is never evicted; may be null.
    /// @return Whether it is newer than the known one of the same incarnation and service.
    bool add(const WorkerAnnouncement &announcement, const WorkerAnnouncement *current);

    /// Marks a worker as draining until it announces itself again.
    /// @param worker Id of the worker.
    void setDraining(const std::string &worker);

    /// Sets the services that the configuration names.
    /// @param services Their names; empty if they are unknown.
    /// @return Whether they have changed.
    bool setNamedServices(const std::vector<std::string> &services);

    /// Chooses between the services that are announced for one incarnation: a service that the configuration names goes before another
    /// one, then one that is still announced, then the one in use.
    /// @param incarnation The incarnation.
    /// @param currentService Service in use.
    /// @return The announcement to use; null if there is none for the incarnation.
    const WorkerAnnouncement *choose(const WorkerIncarnation &incarnation, const std::string &currentService) const;

    /// @param current Incarnation in use.
    /// @return The incarnation to ask the worker about next; none if no other one is announced.
    std::optional<WorkerIncarnation> nextUnconfirmed(const WorkerIncarnation &current) const;

    /// @param current Incarnation in use.
    /// @return Whether another incarnation with the same worker id is announced.
    bool hasOtherIncarnationOf(const WorkerIncarnation &current) const;

    /// Notes that a query about an incarnation got no answer.
    /// @param incarnation The incarnation.
    void noteUnanswered(const WorkerIncarnation &incarnation);

    /// Removes the announcements of an incarnation.
    /// @param incarnation The incarnation.
    void remove(const WorkerIncarnation &incarnation);

    /// @return Number of entries.
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry {
        WorkerAnnouncement announcement;
        std::uint64_t receivedAt = 0; // number of the announcement
        std::uint32_t missed = 0; // announcements for other services of the incarnation since then
        std::uint32_t unanswered = 0; // queries without an answer
    };

    bool isNamed(const std::string &service) const;
    void evict(const WorkerAnnouncement *current);

    std::vector<Entry> m_entries;
    std::vector<std::string> m_services;
    std::uint64_t m_received = 0;
};

} // namespace banyanlock
