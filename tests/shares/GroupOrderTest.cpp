#include "shares/GroupOrder.h"

#include "core/Random.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace banyanlock;

namespace
{

constexpr Duration second = fromMilliseconds(1000);
constexpr std::array<std::string_view, 4> workspaces{"large", "small", "", "unknown"};

/// Shares in which "large" holds 0.6 and "small" 0.1 of the pool.
ShareTable unequalShares()
{
    ShareTable shares;
    shares.use("large", {60, 0, 0}, std::chrono::hours(1), {100, 0, 0});
    shares.use("small", {10, 0, 0}, std::chrono::hours(1), {100, 0, 0});
    return shares;
}

GroupRank inTime(std::string_view workspace, Duration slack)
{
    GroupRank group;
    group.slack = slack;
    group.work = 1.0;
    group.workspace = workspace;
    return group;
}

GroupRank missed(std::string_view workspace, Reach reach, double work)
{
    GroupRank group = inTime(workspace, -second);
    group.reach = reach;
    group.work = work;
    return group;
}

/// Position of each group in the order.
std::vector<std::size_t> positions(const std::vector<GroupRank> &groups, bool agedFirst = false)
{
    const std::vector<std::size_t> order = orderGroups(groups, unequalShares(), agedFirst);
    std::vector<std::size_t> position(groups.size(), groups.size());
    for (std::size_t place = 0; place < order.size(); ++place) {
        position.at(order[place]) = place;
    }
    return position;
}

/// Checks that the groups are given in the order that they must have.
void checkOrder(const std::vector<GroupRank> &expected)
{
    std::vector<GroupRank> reversed(expected.rbegin(), expected.rend());
    const std::vector<std::size_t> place = positions(reversed);
    for (std::size_t index = 0; index < expected.size(); ++index) {
        BOOST_TEST(place[expected.size() - 1 - index] == index);
    }
}

GroupRank randomGroup(Random &random)
{
    GroupRank group = inTime(workspaces.at(random.below(workspaces.size())), random.below(6) * fromMilliseconds(200) - second / 2);
    group.guaranteed = random.chance(0.2);
    group.priority = random.below(3);
    group.reach = static_cast<Reach>(random.below(3));
    group.waited = random.below(5) * 10 * second;
    group.work = std::array{0.0, 1.0, 8.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}.at(
        random.below(6));
    return group;
}

bool isUrgent(const GroupRank &group)
{
    return group.reach == Reach::InTime && group.slack <= fromMilliseconds(300);
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupOrderTest)

// Guards against a wrong limit of usefulness, and against overflow on values from other writers.
BOOST_AUTO_TEST_CASE(reachFollowsTheObjective)
{
    const Duration objective = 4 * second;
    const Duration step{1};
    BOOST_TEST(nameOf(reachOf(objective, 3 * second, second)) == "in_time");
    BOOST_TEST(nameOf(reachOf(objective, 3 * second, second + step)) == "late");
    BOOST_TEST(nameOf(reachOf(objective, 11 * second, second)) == "late");
    BOOST_TEST(nameOf(reachOf(objective, 11 * second, second + step)) == "useless");
    BOOST_TEST(nameOf(reachOf(objective, -second, second)) == "in_time"); // the clock was set back
    BOOST_TEST(nameOf(reachOf(Duration::max(), Duration::max(), Duration::max())) == "late");
}

// Guards against an order in which a lower rule precedes a higher one.
BOOST_AUTO_TEST_CASE(rulesApplyInTheirOrder)
{
    GroupRank guaranteed = missed("large", Reach::Useless, 100.0);
    guaranteed.guaranteed = true;
    guaranteed.priority = 1;
    GroupRank lowest = inTime("small", Duration::zero());
    lowest.priority = 1;
    checkOrder({guaranteed, inTime("large", 4 * second / 10), inTime("small", second), inTime("small", 2 * second),
                inTime("large", second / 2), missed("small", Reach::Late, 50.0), missed("large", Reach::Late, 1.0),
                missed("large", Reach::Late, 2.0), missed("large", Reach::Useless, 1.0), missed("small", Reach::Useless, 2.0), lowest});
}

// Guards against a wait without end of large groups behind a stream of small ones of the same reach.
BOOST_AUTO_TEST_CASE(waitingMakesUpForWork)
{
    GroupRank old = missed("large", Reach::Useless, 3.0);
    old.waited = 25 * second;
    checkOrder({old, missed("large", Reach::Useless, 1.0), missed("large", Reach::Useless, 3.0)});
}

// Guards against shares that override a guarantee: the workspace has paid for it.
BOOST_AUTO_TEST_CASE(sharesDoNotAffectGuaranteedGroups)
{
    GroupRank large = inTime("large", second);
    GroupRank small = inTime("small", 2 * second);
    large.guaranteed = true;
    small.guaranteed = true;
    checkOrder({large, small});
}

// Guards against aged groups that go first without credit, or ahead of a higher priority.
BOOST_AUTO_TEST_CASE(agedGroupsGoFirstOnlyWhileDue)
{
    GroupRank aged = missed("large", Reach::Useless, 100.0);
    aged.waited = 31 * second;
    GroupRank older = aged;
    older.waited = 40 * second;
    GroupRank higher = inTime("large", second);
    const GroupRank urgent = inTime("small", Duration::zero());
    for (GroupRank *group : {&aged, &older}) {
        group->priority = 1;
    }
    GroupRank urgentBeside = urgent;
    urgentBeside.priority = 1;
    const std::vector<GroupRank> groups{aged, older, urgentBeside, higher};
    BOOST_TEST(positions(groups, true) == (std::vector<std::size_t>{2, 1, 3, 0}), boost::test_tools::per_element());
    BOOST_TEST(positions(groups, false) == (std::vector<std::size_t>{3, 2, 1, 0}), boost::test_tools::per_element());
}

// Guards against a relation that sorting must not use: results would depend on the order of the input, or memory could be damaged.
BOOST_AUTO_TEST_CASE(orderIsAStrictWeakOrder)
{
    Random random(17);
    for (int round = 0; round < 300; ++round) {
        std::vector<GroupRank> all;
        all.reserve(14);
        for (int index = 0; index < 14; ++index) {
            all.push_back(randomGroup(random));
        }
        const ShareTable shares = unequalShares();
        const bool agedFirst = random.chance(0.5);
        const std::vector<std::size_t> order = orderGroups(all, shares, agedFirst);
        std::vector<bool> seen(all.size(), false);
        for (const std::size_t index : order) {
            BOOST_REQUIRE(!seen.at(index));
            seen.at(index) = true;
        }
        BOOST_REQUIRE(order.size() == all.size());
        // Sorting the groups from another first arrangement gives the same ranks: only equal groups may change places.
        std::vector<GroupRank> reversed(all.rbegin(), all.rend());
        const std::vector<std::size_t> again = orderGroups(reversed, shares, agedFirst);
        std::vector<std::size_t> place(all.size());
        for (std::size_t index = 0; index < again.size(); ++index) {
            place[all.size() - 1 - again[index]] = index;
        }
        // A group is before another one in one result and behind it in the other only if they are equal, and equality is transitive: the
        // equal groups are then contiguous in both results.
        for (std::size_t first = 0; first < order.size(); ++first) {
            for (std::size_t second = first + 1; second < order.size(); ++second) {
                if (place[order[first]] < place[order[second]]) {
                    continue;
                }
                for (std::size_t between = first; between < second; ++between) {
                    BOOST_REQUIRE(place[order[between]] > place[order[between + 1]]);
                }
            }
        }
    }
}

// Guards against a group that becomes late because shares let one go first that could still wait.
BOOST_AUTO_TEST_CASE(groupAboutToBecomeLateIsNotOvertaken)
{
    Random random(23);
    for (int round = 0; round < 2000; ++round) {
        std::vector<GroupRank> groups;
        groups.reserve(12);
        for (int index = 0; index < 12; ++index) {
            groups.push_back(randomGroup(random));
        }
        const std::vector<std::size_t> place = positions(groups);
        for (std::size_t late = 0; late < groups.size(); ++late) {
            for (std::size_t other = 0; other < groups.size(); ++other) {
                const bool sameRules
                    = groups[late].guaranteed == groups[other].guaranteed && groups[late].priority == groups[other].priority;
                const bool canWait = groups[other].reach != Reach::InTime || groups[other].slack > fromMilliseconds(400);
                BOOST_REQUIRE(!sameRules || !isUrgent(groups[late]) || !canWait || place[late] < place[other]);
            }
        }
    }
}

// Guards against evidence without competition (one workspace, or equal ones), which would turn the part on everywhere.
BOOST_AUTO_TEST_CASE(contentionNeedsTwoWaitingWorkspacesAndOneLarge)
{
    const ShareTable shares = unequalShares();
    BOOST_TEST(isContended(std::vector{inTime("large", second), inTime("small", second)}, shares));
    BOOST_TEST(!isContended(std::vector{inTime("large", second), inTime("large", second)}, shares));
    BOOST_TEST(!isContended(std::vector{inTime("small", second), inTime("unknown", second)}, shares));
    BOOST_TEST(!isContended({}, shares));
    BOOST_TEST(!isContended(std::vector{inTime("a", second), inTime("b", second)}, ShareTable()));
    ShareTable equal;
    equal.use("a", {1, 0, 0}, second, {2, 0, 0});
    equal.use("b", {1, 0, 0}, second, {2, 0, 0});
    BOOST_TEST(!isContended(std::vector{inTime("a", second), inTime("b", second)}, equal));
}

BOOST_AUTO_TEST_SUITE_END()
