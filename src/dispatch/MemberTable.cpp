#include "dispatch/MemberTable.h"

#include "core/Assert.h"
#include "core/Guard.h"

#include <algorithm>
#include <cmath>

namespace banyanlock
{
namespace
{

constexpr double averageWeight = 0.2;
constexpr double peerFailureRatio = 0.5;

void updateAverage(double &average, double sample, bool first)
{
    average = first ? sample : average + averageWeight * (sample - average);
}

} // namespace

Member *MemberTable::findOrAdd(const Announcement &announcement, TimePoint now)
{
    if (Member *known = find(announcement.agent, announcement.incarnation)) {
        return known;
    }
    if (announcement.leaving) {
        return nullptr;
    }
    auto member = std::ranges::find_if(m_members, [&](const Member &candidate) {
        return candidate.announced.agent == announcement.agent;
    });
    if (member == m_members.end()) {
        m_members.emplace_back();
        member = m_members.end() - 1;
    } else if (isFresh(*member, now) && announcement.incarnation < member->announced.incarnation) {
        // A delayed announcement of an earlier process must not replace its successor.
        return nullptr;
    }
    *member = Member();
    member->announced.agent = announcement.agent;
    member->announced.incarnation = announcement.incarnation;
    m_counters.add(Counter::MembersJoined);
    rebuildIndex();
    return &*member;
}

void MemberTable::rebuildIndex()
{
    m_indexByIncarnation.clear();
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        m_indexByIncarnation.emplace(m_members[index].announced.incarnation, index);
    }
}

void MemberTable::onAnnouncement(const Announcement &announcement, TimePoint now)
{
    Member *member = findOrAdd(announcement, now);
    if (member == nullptr) {
        return;
    }
    if (announcement.leaving && !member->announced.leaving) {
        m_counters.add(Counter::MembersLeft);
    }
    // Leaving is final for a process: a delayed heartbeat must not make it eligible again.
    const bool leaving = member->announced.leaving || announcement.leaving;
    member->announced.leaving = leaving;
    if (announcement.load.clock < member->announced.load.clock) {
        return;
    }
    member->announced = announcement;
    member->announced.leaving = leaving;
    member->lastAnnouncedAt = now;
    member->suspect = false;
    updateLoad(*member, announcement.load, now);
}

void MemberTable::markSuspect(std::string_view address)
{
    for (Member &member : m_members) {
        member.suspect = member.suspect || member.announced.address == address;
    }
}

void MemberTable::expire(TimePoint now)
{
    const std::size_t removed = std::erase_if(m_members, [&](const Member &member) {
        return now - member.lastAnnouncedAt > m_limits.memberRetention;
    });
    m_counters.add(Counter::MembersExpired, removed);
    if (removed > 0) {
        rebuildIndex();
    }
}

Member *MemberTable::find(std::string_view agent, std::uint64_t incarnation)
{
    const auto known = m_indexByIncarnation.find(incarnation);
    if (known == m_indexByIncarnation.end() || m_members[known->second].announced.agent != agent) {
        return nullptr;
    }
    return &m_members[known->second];
}

bool MemberTable::isEligible(const Member &member, TimePoint now) const
{
    const bool leaving = member.announced.leaving && isEnabled(Guard::MemberLeaving);
    const bool serving = !leaving && member.announced.healthy && !member.suspect;
    const bool ejected = now < member.ejectedUntil || (member.probing && member.outstanding > 0);
    return isFresh(member, now) && serving && !ejected;
}

bool MemberTable::knowsService(std::string_view service) const
{
    return std::ranges::any_of(m_members, [&](const Member &member) {
        return member.announced.service == service;
    });
}

void MemberTable::updateLoad(Member &member, const AgentLoad &load, TimePoint now)
{
    if (load.clock < member.announced.load.clock) {
        return;
    }
    member.announced.load = load;
    member.reportReceivedAt = now;
    member.sentSinceReport = 0;
}

void MemberTable::recordResult(Member &member, bool succeeded, Duration elapsed, TimePoint now)
{
    const bool first = member.sampleCount == 0;
    ++member.sampleCount;
    updateAverage(member.failureRate, succeeded ? 0.0 : 1.0, first);
    if (succeeded) {
        const auto sample = static_cast<double>(elapsed.count());
        const bool firstSuccess = member.serviceMicroseconds == 0;
        updateAverage(member.deviationMicroseconds, firstSuccess ? 0 : std::abs(sample - member.serviceMicroseconds), firstSuccess);
        updateAverage(member.serviceMicroseconds, sample, firstSuccess);
        member.probing = false;
        member.consecutiveEjections = 0;
        return;
    }
    const bool exceedsFailureRate = member.sampleCount >= m_limits.minEjectionSamples && member.failureRate >= m_limits.ejectFailureRate;
    if (member.probing || (exceedsFailureRate && hasHealthierPeer(member, now))) {
        eject(member, now);
    }
}

bool MemberTable::hasHealthierPeer(const Member &member, TimePoint now) const
{
    // Requests that fail at all members are no evidence of a fault of this member.
    return std::ranges::any_of(m_members, [&](const Member &peer) {
        return &peer != &member && peer.announced.service == member.announced.service && isEligible(peer, now)
            && peer.failureRate < member.failureRate * peerFailureRatio;
    });
}

void MemberTable::eject(Member &member, TimePoint now)
{
    const Duration backoff = m_limits.initialEjection * (1U << std::min(member.consecutiveEjections, 10U));
    member.ejectedUntil = now + std::min(backoff, m_limits.maxEjection);
    member.probing = true;
    ++member.consecutiveEjections;
    m_counters.add(Counter::MembersEjected);
    BANYANLOCK_ASSERT(member.ejectedUntil > now);
}

} // namespace banyanlock
