#include "dispatch/MemberTable.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

const TimePoint start{fromMilliseconds(1000)};

Announcement makeAnnouncement(const std::string &agent, std::uint64_t incarnation, Duration clock)
{
    Announcement announcement;
    announcement.agent = agent;
    announcement.incarnation = incarnation;
    announcement.service = "quote";
    announcement.slots = 8;
    announcement.load.clock = TimePoint(clock);
    return announcement;
}

struct Fixture {
    Counters counters;
    MemberTable table{MemberLimits(), counters};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemberTableTest, Fixture)

BOOST_AUTO_TEST_CASE(staleAnnouncementMakesMemberIneligible)
{
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(10)), start);
    BOOST_TEST(table.isEligible(table.members()[0], start + fromMilliseconds(1500)));
    BOOST_TEST(!table.isEligible(table.members()[0], start + fromMilliseconds(1501)));
}

BOOST_AUTO_TEST_CASE(leavingIsFinalEvenWhenALateHeartbeatFollows)
{
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(10)), start);
    Announcement leaving = makeAnnouncement("a", 1, fromMilliseconds(20));
    leaving.leaving = true;
    table.onAnnouncement(leaving, start);
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(15)), start);
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(30)), start);
    BOOST_TEST(!table.isEligible(table.members()[0], start));
    BOOST_TEST(counters.value(Counter::MembersLeft) == 1U);
}

BOOST_AUTO_TEST_CASE(leavingTakesEffectAfterANewerLoadReport)
{
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(10)), start);
    MemberTable::updateLoad(table.members()[0], {1, 0, TimePoint(fromMilliseconds(50))}, start);
    Announcement leaving = makeAnnouncement("a", 1, fromMilliseconds(20));
    leaving.leaving = true;
    table.onAnnouncement(leaving, start);
    BOOST_TEST(!table.isEligible(table.members()[0], start));
}

BOOST_AUTO_TEST_CASE(lateAnnouncementOfAnEarlierProcessDisplacesNoSuccessor)
{
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(10)), start);
    table.onAnnouncement(makeAnnouncement("a", 2, fromMilliseconds(0)), start);
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(11)), start);
    BOOST_TEST(table.members().size() == 1U);
    BOOST_TEST(table.members()[0].announced.incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(memberThatFailsFarMoreThanItsPeersIsEjectedAndProbedSlowly)
{
    table.onAnnouncement(makeAnnouncement("bad", 1, fromMilliseconds(10)), start);
    table.onAnnouncement(makeAnnouncement("good", 2, fromMilliseconds(10)), start);
    Member &bad = table.members()[0];
    for (int attempt = 0; attempt < 5; ++attempt) {
        table.recordResult(bad, false, fromMilliseconds(1), start);
    }
    BOOST_TEST(!table.isEligible(bad, start));
    const TimePoint later = start + fromMilliseconds(2001);
    table.onAnnouncement(makeAnnouncement("bad", 1, fromMilliseconds(2000)), later);
    BOOST_TEST(table.isEligible(bad, later));
    bad.outstanding = 1;
    BOOST_TEST(!table.isEligible(bad, later));
    table.recordResult(bad, false, fromMilliseconds(1), later);
    BOOST_TEST((bad.ejectedUntil - later == fromMilliseconds(4000)));
}

BOOST_AUTO_TEST_CASE(failuresOfAllMembersEjectNone)
{
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(10)), start);
    table.onAnnouncement(makeAnnouncement("b", 2, fromMilliseconds(10)), start);
    for (int attempt = 0; attempt < 20; ++attempt) {
        for (Member &member : table.members()) {
            table.recordResult(member, false, fromMilliseconds(1), start);
        }
    }
    BOOST_TEST(counters.value(Counter::MembersEjected) == 0U);
}

BOOST_AUTO_TEST_CASE(agentClockIsNeverEstimatedAhead)
{
    table.onAnnouncement(makeAnnouncement("a", 1, fromMilliseconds(10)), start);
    const Member &member = table.members()[0];
    BOOST_TEST((member.agentClockAt(start + fromMilliseconds(5)) == TimePoint(fromMilliseconds(15))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
