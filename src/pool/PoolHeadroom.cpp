// PoolScheduler: room that is held for urgent units.

#include "core/Log.h"
#include "pool/PoolScheduler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanlock
{
namespace
{

/// @return Forecast work of a unit of the group, in core-equivalent seconds.
double workOfUnit(const PlanGroup &group)
{
    const StepSpec &step = group.spec();
    return workOf(step.demand, membersOf(step), group.expected);
}

} // namespace

bool PoolScheduler::isIrregular() const
{
    // Where declared times hold and workers are alike, callers were served worse with room held; docs/design/held-room.md has the figures.
    return m_contradictedKeys > 0 || m_usesSpeeds;
}

PlanOptions PoolScheduler::planOptions(std::span<const PlanGroup> groups, TimePoint now)
{
    const bool holds = m_parts.holdRoom == PartMode::On || (m_parts.holdRoom == PartMode::Auto && isIrregular() && m_churn.isActive(now));
    if (holds != m_holdsRoom) {
        m_holdsRoom = holds;
        Log::info(holds ? "room_holding_active" : "room_holding_inactive", {{"mode", std::string(partModeName(m_parts.holdRoom))}});
    }
    PlanOptions options;
    options.holdRoom = holds;
    if (m_parts.fairShares != PartMode::Off) {
        accountShares(now);
    }
    options.order = orderByShares(groups);
    return options;
}

void PoolScheduler::accountShares(TimePoint now)
{
    constexpr Duration maxSpan = fromMilliseconds(2000); // after a pause, the present use says little about the past
    const Duration span = std::min(now - m_sharesAccountedAt, maxSpan);
    m_sharesAccountedAt = now;
    Resources capacity;
    for (const PlanWorker &worker : m_planWorkers) {
        capacity += worker.usable ? worker.capacity : Resources();
    }
    std::map<std::string_view, Resources> held;
    for (const auto &[id, unit] : m_units) {
        Resources &total = held[unit.record->terms.workspace];
        for (const ActiveMember &member : unit.members) {
            total += member.ending ? Resources() : unit.spec().demand;
        }
    }
    m_shares.advance(span);
    m_ageing.accrue(span, capacity);
    for (const auto &[workspace, resources] : held) {
        m_shares.use(workspace, resources, span, capacity);
    }
}

std::vector<std::size_t> PoolScheduler::orderByShares(std::span<const PlanGroup> groups)
{
    std::vector<GroupRank> ranks;
    ranks.reserve(groups.size());
    for (const PlanGroup &group : groups) {
        ranks.push_back({group.guaranteed, group.job->terms.priority, group.reach, group.slack, group.needed, group.waited,
                         workOfUnit(group) * static_cast<double>(group.indexes.size()), group.job->terms.workspace});
    }
    const bool uses
        = m_parts.fairShares == PartMode::On || (m_parts.fairShares == PartMode::Auto && isIrregular() && isContended(ranks, m_shares));
    if (uses != m_usesShares) {
        m_usesShares = uses;
        m_counters.add(Counter::PoolShareChanges);
    }
    if (!uses && !m_holdsRoom) {
        return {};
    }
    static const ShareTable equalShares;
    m_agedFirst = uses && m_ageing.isDue();
    return orderGroups(ranks, uses ? m_shares : equalShares, m_agedFirst);
}

void PoolScheduler::chargeAgedUnit(const PlanGroup &group)
{
    if (m_agedFirst && group.waited >= ageLimit) {
        m_ageing.charge(workOfUnit(group));
    }
}

void PoolScheduler::recordPreemption(const ActiveUnit &unit, TimePoint now)
{
    const Duration ranFor = now - unit.startedAt;
    m_churn.add(ranFor, now);
    if (ranFor <= PreemptionChurn::earlyLimit) {
        m_counters.add(Counter::PoolEarlyPreemptions);
    }
    if (m_holdsRoom) {
        m_backOff.add(unit.job, unit.key, now);
    }
}

void PoolScheduler::keepRoomForUrgent(TimePoint now)
{
    std::map<std::string_view, std::vector<PlanWorker *>> racks;
    for (PlanWorker &worker : m_planWorkers) {
        if (worker.usable && !worker.suspect) {
            racks[worker.rack].push_back(&worker);
        }
    }
    std::int64_t missing = m_urgentDemand.acceleratorsToKeep(now);
    if (missing <= 0) {
        return;
    }
    std::vector<std::vector<PlanWorker *>> ranked;
    ranked.reserve(racks.size());
    for (auto &[rack, workers] : racks) {
        ranked.push_back(std::move(workers));
    }
    // Racks with the most fast workers hold gangs that prefer one rack best. The order is stable, so that room accumulates there.
    std::ranges::stable_sort(ranked, std::greater(), [](const std::vector<PlanWorker *> &workers) {
        return std::ranges::count_if(workers, [](const PlanWorker *worker) {
            return !worker->slow;
        });
    });
    for (const std::vector<PlanWorker *> &workers : ranked) {
        for (PlanWorker *worker : workers) {
            if (missing <= 0) {
                return;
            }
            worker->kept = true;
            missing -= worker->capacity.accelerators;
        }
    }
}

} // namespace banyanlock
