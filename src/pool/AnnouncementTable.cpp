#include "pool/AnnouncementTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace banyanlock
{
namespace
{

/// @return Whether both announcements are for the same incarnation and service.
bool haveSameSubject(const WorkerAnnouncement &left, const WorkerAnnouncement &right)
{
    return left.incarnation == right.incarnation && left.service == right.service;
}

} // namespace

bool AnnouncementTable::add(const WorkerAnnouncement &announcement, const WorkerAnnouncement *current)
{
    const auto isKnown = [&](const Entry &entry) {
        return haveSameSubject(entry.announcement, announcement);
    };
    auto known = std::ranges::find_if(m_entries, isKnown);
    if (known != m_entries.end() && announcement.sequence <= known->announcement.sequence) {
        return false;
    }
    for (Entry &entry : m_entries) {
        entry.missed += entry.announcement.incarnation == announcement.incarnation ? 1 : 0;
    }
    if (known == m_entries.end()) {
        evict(current);
        known = m_entries.insert(m_entries.end(), Entry());
    }
    known->announcement = announcement;
    known->receivedAt = ++m_received;
    known->missed = 0;
    return true;
}

void AnnouncementTable::evict(const WorkerAnnouncement *current)
{
    if (m_entries.size() < maxEntries) {
        return;
    }
    const auto isCurrent = [current](const Entry &entry) {
        return current != nullptr && haveSameSubject(entry.announcement, *current);
    };
    m_entries.erase(std::ranges::min_element(m_entries, {}, [&](const Entry &entry) {
        return std::pair(isCurrent(entry), entry.receivedAt);
    }));
}

void AnnouncementTable::setDraining(const std::string &worker)
{
    for (Entry &entry : m_entries) {
        if (entry.announcement.incarnation.worker == worker) {
            entry.announcement.draining = true;
        }
    }
}

bool AnnouncementTable::setNamedServices(const std::vector<std::string> &services)
{
    if (services.empty() || services == m_services) {
        return false;
    }
    m_services = services;
    return true;
}

bool AnnouncementTable::isNamed(const std::string &service) const
{
    return std::ranges::find(m_services, service) != m_services.end();
}

const WorkerAnnouncement *AnnouncementTable::choose(const WorkerIncarnation &incarnation, const std::string &currentService) const
{
    const Entry *best = nullptr;
    const auto rank = [&](const Entry &entry) {
        const std::string &service = entry.announcement.service;
        return std::tuple(isNamed(service), entry.missed < maxMissed, service == currentService, entry.receivedAt);
    };
    for (const Entry &entry : m_entries) {
        if (entry.announcement.incarnation == incarnation && (best == nullptr || rank(entry) > rank(*best))) {
            best = &entry;
        }
    }
    return best == nullptr ? nullptr : &best->announcement;
}

std::optional<WorkerIncarnation> AnnouncementTable::nextUnconfirmed(const WorkerIncarnation &current) const
{
    const Entry *next = nullptr;
    for (const Entry &entry : m_entries) {
        if (entry.announcement.incarnation == current) {
            continue;
        }
        // Of those asked about least often, the newest is the most likely to be the worker.
        if (next == nullptr || entry.unanswered < next->unanswered
            || (entry.unanswered == next->unanswered && entry.receivedAt > next->receivedAt)) {
            next = &entry;
        }
    }
    return next == nullptr ? std::nullopt : std::optional(next->announcement.incarnation);
}

bool AnnouncementTable::hasOtherIncarnationOf(const WorkerIncarnation &current) const
{
    return std::ranges::any_of(m_entries, [&](const Entry &entry) {
        const WorkerIncarnation &incarnation = entry.announcement.incarnation;
        return incarnation.worker == current.worker && incarnation != current;
    });
}

void AnnouncementTable::noteUnanswered(const WorkerIncarnation &incarnation)
{
    std::erase_if(m_entries, [&](Entry &entry) {
        return entry.announcement.incarnation == incarnation && ++entry.unanswered >= maxUnansweredQueries;
    });
}

void AnnouncementTable::remove(const WorkerIncarnation &incarnation)
{
    std::erase_if(m_entries, [&](const Entry &entry) {
        return entry.announcement.incarnation == incarnation;
    });
}

} // namespace banyanlock
