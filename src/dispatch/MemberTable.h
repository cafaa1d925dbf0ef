#pragma once

#include "core/Counters.h"
#include "dispatch/Member.h"

#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyanlock
{

/// Limits of the member table.
struct MemberLimits {
    Duration maxAnnouncementAge = fromMilliseconds(1500); ///< Age of an announcement after which the agent gets nothing new.
    Duration memberRetention = fromMilliseconds(60000); ///< Age after which the agent is forgotten.
    double ejectFailureRate = 0.5; ///< Failure rate from which an agent is ejected.
    std::uint32_t minEjectionSamples = 5; ///< Attempts that must be seen before an ejection.
    Duration initialEjection = fromMilliseconds(2000); ///< First ejection; doubled each time in a row.
    Duration maxEjection = fromMilliseconds(60000); ///< Longest ejection.
};

/// The agents that an entry has heard of, kept by their announcements alone.
class MemberTable
{
public:
    /// @param limits Ages and ejection limits.
    /// @param counters Where joins, leaves and ejections are counted.
    MemberTable(MemberLimits limits, Counters &counters)
        : m_limits(limits)
        , m_counters(counters)
    {
    }

    /// Takes in an announcement. A new incarnation takes the place of an older one of the same name.
    /// @param announcement What the agent said.
    /// @param now Current time.
    void onAnnouncement(const Announcement &announcement, TimePoint now);

    /// Keeps new attempts from an agent until its next announcement.
    /// @param address RPC address of the agent.
    void markSuspect(std::string_view address);

    /// Forgets agents that have not been heard of for long.
    /// @param now Current time.
    void expire(TimePoint now);

    /// @return All known members; pointers into it hold until the next announcement or expiry.
    std::span<Member> members()
    {
        return m_members;
    }

    /// @return All known members.
    std::span<const Member> members() const
    {
        return m_members;
    }

    /// Finds the process that an attempt was sent to.
    /// @param agent Name of the agent.
    /// @param incarnation Its process.
    /// @return The member, or null if that process is no longer known.
    Member *find(std::string_view agent, std::uint64_t incarnation);

    /// Decides whether a member may get a new attempt.
    /// @param member Member to look at.
    /// @param now Current time.
    /// @return Whether its news is fresh and it is neither leaving, unhealthy, suspect, nor ejected.
    bool isEligible(const Member &member, TimePoint now) const;

    /// @param member Member to look at.
    /// @param now Current time.
    /// @return Whether its last announcement is young enough to act on.
    bool isFresh(const Member &member, TimePoint now) const
    {
        return now - member.lastAnnouncedAt <= m_limits.maxAnnouncementAge;
    }

    /// Tells whether any known agent offers a service, eligible or not.
    /// @param service Service to look for.
    /// @return Whether the service is known.
    bool knowsService(std::string_view service) const;

    /// Takes in a load report.
    /// @param member Member that reported.
    /// @param load The report.
    /// @param now Current time.
    static void updateLoad(Member &member, const AgentLoad &load, TimePoint now);

    /// Takes in the end of an attempt for the member's averages, and ejects it if it fails far more than its peers.
    /// @param member Member that was tried.
    /// @param succeeded Whether the backend server gave a good answer.
    /// @param elapsed Time from send to answer.
    /// @param now Current time.
    void recordResult(Member &member, bool succeeded, Duration elapsed, TimePoint now);

private:
    Member *findOrAdd(const Announcement &announcement, TimePoint now);
    void rebuildIndex();
    bool hasHealthierPeer(const Member &member, TimePoint now) const;
    void eject(Member &member, TimePoint now);

    MemberLimits m_limits;
    Counters &m_counters;
    std::vector<Member> m_members;
    std::unordered_map<std::uint64_t, std::size_t> m_indexByIncarnation; // place in m_members
};

} // namespace banyanlock
