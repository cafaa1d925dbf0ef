#include "shares/GroupOrder.h"

#include "core/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <numeric>
#include <string>

using namespace banyanlock;

namespace
{

constexpr Duration tick = fromMilliseconds(20); // the owner plans at most this often
constexpr Duration submissions = fromMilliseconds(60'000);
constexpr Duration latestStart = submissions + fromMilliseconds(10'000); // submissions end; the longest slack is 3 x 3 s + 0.5 s
constexpr std::int64_t poolCores = 160; // an equal share of ten workspaces still holds two of the largest units
constexpr double overload = 3.0; // the pool has room for a third of the load
constexpr double heavyFactor = 10.0; // load of workspace 0, as a multiple of that of each other one

/// A unit that waits, runs or has ended.
struct Unit {
    std::size_t workspace = 0;
    Duration submitted{};
    Duration needed{};
    Duration objective{};
    std::int64_t cores = 1;
    Duration started = Duration::max();

    double work() const
    {
        return static_cast<double>(cores) * std::chrono::duration<double>(needed).count();
    }
    bool isInTime() const
    {
        return started <= submitted + objective - needed;
    }
};

std::string nameOfWorkspace(std::size_t workspace)
{
    return "w" + std::to_string(workspace);
}

enum class Policy {
    Slack, ///< The earlier order: groups in time before late ones, least slack first.
    Shares, ///< The order under test.
};

/// One queue in front of one pool. Units start in the order of the policy; one that finds no room holds back those behind it.
class QueueModel
{
public:
    QueueModel(Policy policy, std::int64_t cores)
        : m_policy(policy)
        , m_pool{cores * 1000, 0, 0}
        , m_free(cores)
    {
    }

    /// Plays the units, which are sorted by time, until all have started or the time is over.
    void play(std::vector<Unit> &units, Duration end)
    {
        std::size_t next = 0;
        std::vector<std::size_t> waiting;
        for (Duration now{}; now < end && (next < units.size() || !waiting.empty()); now += tick) {
            for (; next < units.size() && units[next].submitted <= now; ++next) {
                waiting.push_back(next);
            }
            account(units, now);
            const std::vector<std::size_t> order = orderOf(units, waiting, now);
            std::size_t started = 0;
            for (; started < order.size() && units[waiting[order[started]]].cores <= m_free; ++started) {
                Unit &unit = units[waiting[order[started]]];
                unit.started = now;
                m_free -= unit.cores;
                m_running.push_back(waiting[order[started]]);
                if (m_agedFirst && now - unit.submitted >= ageLimit) {
                    m_budget.charge(unit.work());
                }
            }
            std::erase_if(waiting, [&](std::size_t unit) {
                return units[unit].started != Duration::max();
            });
        }
    }

private:
    void account(const std::vector<Unit> &units, Duration now)
    {
        std::map<std::size_t, std::int64_t> held;
        for (const std::size_t unit : m_running) {
            held[units[unit].workspace] += units[unit].cores * 1000;
        }
        m_shares.advance(tick);
        m_budget.accrue(tick, m_pool);
        for (const auto &[workspace, cores] : held) {
            m_shares.use(nameOfWorkspace(workspace), {cores, 0, 0}, tick, m_pool);
        }
        std::erase_if(m_running, [&](std::size_t unit) {
            const bool ended = units[unit].started + units[unit].needed <= now;
            m_free += ended ? units[unit].cores : 0;
            return ended;
        });
    }

    std::vector<std::size_t> orderOf(const std::vector<Unit> &units, const std::vector<std::size_t> &waiting, Duration now)
    {
        std::vector<std::string> names;
        std::vector<GroupRank> groups;
        names.reserve(waiting.size());
        for (const std::size_t index : waiting) {
            const Unit &unit = units[index];
            const Duration age = now - unit.submitted;
            names.push_back(nameOfWorkspace(unit.workspace));
            groups.push_back({false, 0, reachOf(unit.objective, age, unit.needed), unit.objective - age - unit.needed, unit.needed, age,
                              unit.work(), names.back()});
        }
        m_agedFirst = m_policy == Policy::Shares && m_budget.isDue();
        if (m_policy == Policy::Shares) {
            return orderGroups(groups, m_shares, m_agedFirst);
        }
        std::vector<std::size_t> order(groups.size());
        std::iota(order.begin(), order.end(), 0);
        std::ranges::stable_sort(order, {}, [&](std::size_t index) {
            return std::pair(groups[index].slack < Duration::zero(), groups[index].slack);
        });
        return order;
    }

    Policy m_policy;
    Resources m_pool;
    std::int64_t m_free;
    std::vector<std::size_t> m_running;
    ShareTable m_shares;
    AgeingBudget m_budget;
    bool m_agedFirst = false;
};

Unit randomUnit(Random &random)
{
    Unit unit;
    unit.needed = fromMilliseconds(300 + random.below(2700));
    unit.objective = (2 + random.below(3)) * unit.needed + fromMilliseconds(500);
    unit.cores = std::int64_t{1} << random.below(4);
    return unit;
}

/// Load of `overload` times the pool, of which workspace 0 submits `heavyFactor` times as much as each other one.
std::vector<Unit> makeLoad(std::size_t workspaces, std::uint64_t seed)
{
    Random random(seed);
    const double seconds = std::chrono::duration<double>(submissions).count();
    const double each = overload * static_cast<double>(poolCores) * seconds / (heavyFactor + static_cast<double>(workspaces - 1));
    std::vector<Unit> units;
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
        double work = workspace == 0 ? each * heavyFactor : each;
        while (work > 0.0) {
            Unit unit = randomUnit(random);
            unit.workspace = workspace;
            unit.submitted = fromMilliseconds(random.below(static_cast<std::uint32_t>(toMilliseconds(submissions))));
            work -= unit.work();
            units.push_back(unit);
        }
    }
    std::ranges::stable_sort(units, {}, &Unit::submitted);
    return units;
}

/// Share of a workspace's units that start before their latest start.
double servedShare(const std::vector<Unit> &units, std::size_t workspace)
{
    double served = 0.0;
    double all = 0.0;
    for (const Unit &unit : units) {
        all += unit.workspace == workspace ? 1.0 : 0.0;
        served += unit.workspace == workspace && unit.isInTime() ? 1.0 : 0.0;
    }
    return served / all;
}

/// What a workspace's callers would get from an equal share of the pool that nobody else uses.
double servedByOwnPool(const std::vector<Unit> &units, std::size_t workspace, std::size_t workspaces)
{
    std::vector<Unit> own;
    std::ranges::copy_if(units, std::back_inserter(own), [&](const Unit &unit) {
        return unit.workspace == workspace;
    });
    QueueModel(Policy::Slack, poolCores / static_cast<std::int64_t>(workspaces)).play(own, latestStart);
    return servedShare(own, workspace);
}

/// What a workspace's callers get.
struct Served {
    std::size_t workspace = 0;
    double bySlack = 0.0;
    double byShares = 0.0;
    double ownPool = 0.0;
};

/// Plays each load once; the tests check the same results.
const std::vector<Served> &servedInAllLoads()
{
    static const std::vector<Served> results = [] {
        std::vector<Served> all;
        for (const std::size_t workspaces : {2U, 3U, 5U, 10U}) {
            for (const std::uint64_t seed : {1U, 2U, 3U}) {
                const std::vector<Unit> load = makeLoad(workspaces, seed);
                std::vector<Unit> slack = load;
                std::vector<Unit> shares = load;
                QueueModel(Policy::Slack, poolCores).play(slack, latestStart);
                QueueModel(Policy::Shares, poolCores).play(shares, latestStart);
                for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
                    all.push_back({workspace, servedShare(slack, workspace), servedShare(shares, workspace),
                                   servedByOwnPool(load, workspace, workspaces)});
                    BOOST_TEST_MESSAGE("workspaces " << workspaces << ", seed " << seed << ", workspace " << workspace << ": by slack "
                                                     << all.back().bySlack << ", by shares " << all.back().byShares << ", own pool "
                                                     << all.back().ownPool);
                }
            }
        }
        return all;
    }();
    return results;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairLoadTest)

// Guards against an order that brings the workspaces that submit less no gain: each must serve more of their groups than slack alone.
BOOST_AUTO_TEST_CASE(workspacesThatSubmitLessGainFromShares)
{
    for (const Served &served : servedInAllLoads()) {
        BOOST_TEST((served.workspace == 0 || served.byShares > served.bySlack));
    }
}

// Guards against a workspace that submits most and starves the others. The bound is the reason to share a pool at all: nobody may get less
// than from an equal part of the pool of their own.
BOOST_AUTO_TEST_CASE(noWorkspaceGetsLessThanFromAPoolOfItsOwn)
{
    for (const Served &served : servedInAllLoads()) {
        BOOST_TEST(served.byShares >= served.ownPool);
    }
}

// Guards against a wait without end: results that are of no use must still start while new work in time takes all room. The oldest group
// goes first once it has waited for the age limit.
BOOST_AUTO_TEST_CASE(oldestGroupStartsDuringLastingOverload)
{
    std::vector<Unit> units = makeLoad(4, 5);
    Unit old;
    old.needed = fromMilliseconds(3000);
    old.objective = Duration::zero(); // useless from the beginning
    old.cores = 8;
    units.insert(units.begin(), old);
    QueueModel(Policy::Shares, poolCores).play(units, submissions);
    const Duration longestRun = fromMilliseconds(3000); // room for the largest unit may need the end of running units
    BOOST_TEST(units.front().started <= ageLimit + longestRun);
    // Everything ends once the load does: the work that is left needs at most `overload` times the time of the submissions.
    units = makeLoad(4, 5);
    QueueModel(Policy::Shares, poolCores).play(units, static_cast<std::int64_t>(overload + 1.0) * submissions);
    for (const Unit &unit : units) {
        BOOST_REQUIRE(unit.started != Duration::max());
    }
}

BOOST_AUTO_TEST_SUITE_END()
