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
    Duration maxAnnouncementAge = fromMilliseconds(1500); ///< Age of the last announcement beyond which an agent gets no new attempts.
    Duration memberRetention = fromMilliseconds(60000); ///< Age of the last announcement beyond which an agent is removed.
    double ejectFailureRate = 0.5; ///< Failure rate at which an agent is ejected, 0 to 1.
    std::uint32_t minEjectionSamples = 5; ///< Attempts needed before an agent can be ejected.
    Duration initialEjection = fromMilliseconds(2000); ///< Duration of the first ejection; doubled for each consecutive one.
    Duration maxEjection = fromMilliseconds(60000); ///< Upper bound of an ejection's duration.
};

/// Agents known to an entry, maintained from their announcements only.
class MemberTable
{
public:
    /// @param limits Ages and ejection limits.
    /// @param counters Counters of joins, leaves, expiries and ejections.
    MemberTable(MemberLimits limits, Counters &counters)
        : m_limits(limits)
        , m_counters(counters)
    {
    }

    /// Applies an announcement. A new incarnation replaces an older one of the same name.
    /// @param announcement The agent's announcement.
    /// @param now Current time.
    void onAnnouncement(const Announcement &announcement, TimePoint now);

    /// Makes an agent ineligible for new attempts until its next announcement.
    /// @param address RPC address of the agent.
    void markSuspect(std::string_view address);

    /// Removes agents whose last announcement is older than the retention.
    /// @param now Current time.
    void expire(TimePoint now);

    /// @return All known members; pointers to them are valid until the next announcement or expiry.
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
    /// @param incarnation Incarnation of the process.
    /// @return The member, or null if that process is no longer known.
    Member *find(std::string_view agent, std::uint64_t incarnation);

    /// Tells whether a member may get a new attempt.
    /// @param member Member to check.
    /// @param now Current time.
    /// @return Whether its last announcement is fresh and it is neither leaving, unhealthy, suspect nor ejected.
    bool isEligible(const Member &member, TimePoint now) const;

    /// @param member Member to check.
    /// @param now Current time.
    /// @return Whether its last announcement is recent enough for new attempts.
    bool isFresh(const Member &member, TimePoint now) const
    {
        return now - member.lastAnnouncedAt <= m_limits.maxAnnouncementAge;
    }

    /// Tells whether any known agent offers a service, whether eligible or not.
    /// @param service Service to look up.
    /// @return Whether the service is known.
    bool knowsService(std::string_view service) const;

    /// Applies a load report, unless a newer one was applied before.
    /// @param member Member that sent the report.
    /// @param load The report.
    /// @param now Current time.
    static void updateLoad(Member &member, const AgentLoad &load, TimePoint now);

    /// Updates a member's averages with the result of an attempt, and ejects the member if it fails far more often than its peers.
    /// @param member Member that handled the attempt.
    /// @param succeeded Whether the backend server answered without an error.
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
    std::unordered_map<std::uint64_t, std::size_t> m_indexByIncarnation; // index in m_members
};

} // namespace banyanlock
