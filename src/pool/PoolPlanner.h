#pragma once

#include "pool/PlanCapacity.h"
#include "pool/PlanTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Weights and time limits of the planner.
struct PlannerPolicy {
    double remoteFactor = 3.0; ///< Slowdown of tasks away from their data or across several racks; from the settings.
    double maxLostWorkRatio
        = 2.5; ///< Work that may be lost for a unit, in multiples of its own work; half the break-even of cost and gain.
    double suspectWorkerCost
        = 400.0; ///< Work that may be lost to avoid a suspect worker, in core-seconds; equals the work of a typical unit.
    double slowWorkerCost = 100.0; ///< Work that may be lost to keep a task of an urgent unit off a slow worker, in core-seconds.
    Duration minWaitSlack
        = fromMilliseconds(900); ///< Slack up to which an urgent unit preempts without waiting; stop and start take 0.4 s.
    Duration startDelay = fromMilliseconds(400); ///< Time from a decision until the tasks run.
    std::size_t maxStarts
        = 400; ///< Starts after which a plan begins no further group, so that orders do not wait for a long plan; ten transactions.
    double maxIdleWorkRatio = 1.0; ///< Work that held room may leave undone for a blocked gang, in multiples of the gang's own work.
    Duration maxPreemptionWait = fromMilliseconds(1200); ///< Maximum wait before an urgent unit preempts; a guarantee is due within 2.7 s.
};

/// Decisions of the planner that are switched on separately.
struct PlanOptions {
    bool holdRoom = false; ///< Hold room for urgent units that wait and for gangs that are blocked.
    std::vector<std::size_t> order; ///< Order of the groups, as indexes; empty to order them by slack.
};

/// Decides where waiting units start and which running units are preempted for them. It is stateless.
///
/// It is designed for short urgent gangs on a pool that is filled with longer work, gangs that need whole workers or a single rack, and
/// many small tasks that must not fragment the capacity that the gangs need.
class PoolPlanner
{
public:
    /// @param policy Weights and time limits.
    explicit PoolPlanner(PlannerPolicy policy = {})
        : m_policy(policy)
    {
    }

    /// @param groups Waiting units, in any order.
    /// @param workers All workers of the pool.
    /// @param victims Running units that may be preempted.
    /// @param options Decisions that are switched on.
    /// @return Units to start and units to stop.
    PoolPlan plan(std::span<const PlanGroup> groups, std::span<const PlanWorker> workers, std::span<const PlanVictim> victims,
                  const PlanOptions &options = {}) const;

private:
    /// Capacity and preemptions while a plan is being made.
    struct PlanState {
        PlanCapacity capacity;
        std::span<const PlanVictim> victims;
        std::vector<bool> stopped; // by victim
        std::vector<std::vector<std::size_t>> victimsOn; // by worker, least expensive first; empty until a unit needs them
        std::map<std::string_view, std::vector<Resources>> refused; // by service: demands of single tasks that fit nowhere
        const PlanOptions &options;
        std::set<std::pair<std::string_view, std::uint32_t>> held; // services and priorities for which room is held
    };

    /// A group while its units are placed.
    struct GroupState {
        const PlanGroup &group;
        std::vector<std::uint32_t> onWorker; // tasks of the step on each worker; empty if the step has no spread limit
    };

    /// Workers for one unit, and the victims that must be stopped first.
    struct Placement {
        std::vector<std::uint32_t> workers;
        std::vector<std::size_t> stops;
        double cost = 0.0;
    };

    /// Resources and victims of the workers while a unit is placed by stopping others.
    class StopSearch;

    /// Times at which running units leave room for the members of a blocked gang.
    class ReleaseForecast;

    static bool isEligible(const PlanGroup &group, const PlanWorker &worker);
    static bool exceedsSpread(const GroupState &state, std::span<const std::uint32_t> chosen, std::uint32_t worker);
    static bool mayStop(const PlanGroup &group, const PlanVictim &victim);
    static bool isPlain(const StepSpec &step);
    static bool isRefused(const PlanGroup &group, const PlanState &state);
    static void indexVictims(PlanState &state);
    bool mayBeRemote(const PlanGroup &group, const PlanState &state) const;
    static bool findAnywhere(const GroupState &group, PlanState &state, Placement &placement);
    static bool findInRack(const GroupState &group, const PlanState &state, std::span<const std::uint32_t> rack, Placement &placement);
    bool find(const GroupState &group, PlanState &state, Placement &placement) const;
    bool findByStopping(const GroupState &group, const PlanState &state, StopSearch &search, Placement &placement) const;
    bool canWait(const PlanGroup &group) const;
    static bool isUrgent(const PlanGroup &group);
    static bool startsNow(const PlanGroup &group, const PlanState &state, const Placement &placement);
    static void hold(const PlanGroup &group, PlanState &state, const Placement &placement);
    std::optional<Duration> findEarliestStart(const GroupState &group, PlanState &state, Placement &placement) const;
    bool holdUntilFree(const GroupState &group, PlanState &state) const;
    void holdForGang(const GroupState &group, PlanState &state) const;
    static void take(GroupState &group, PlanState &state, const Placement &placement);
    static void reserve(const PlanGroup &group, PlanState &state, const Placement &placement);

    PlannerPolicy m_policy;
};

} // namespace banyanlock
