#pragma once

#include "pool/PoolPlanner.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace banyanlock
{

/// Times at which running units leave room for the members of a blocked gang.
class PoolPlanner::ReleaseForecast
{
public:
    /// @param group Group of the gang.
    /// @param state Capacity, and the running units by worker.
    ReleaseForecast(const GroupState &group, const PlanState &state)
        : m_group(group)
        , m_state(state)
    {
    }

    /// @param workers Indexes of the workers that the gang may use.
    /// @param placement Receives the workers on which the gang can start first; its cost is the work that held room leaves undone.
    /// @return Time until it can start there, or nothing if the running units never leave it enough room.
    std::optional<Duration> findAmong(std::span<const std::uint32_t> workers, Placement &placement) const
    {
        std::vector<Release> releases;
        for (const std::uint32_t worker : workers) {
            addReleases(worker, releases);
        }
        const std::uint32_t members = membersOf(m_group.group.spec());
        if (releases.size() < members) {
            return std::nullopt;
        }
        std::ranges::stable_sort(releases, {}, &Release::after);
        releases.resize(members);
        const Duration start = releases.back().after;
        constexpr double microsecondsPerSecond = 1e6;
        for (const Release &release : releases) {
            placement.workers.push_back(release.worker);
            const double whole = m_group.group.spec().demand.coreEquivalents();
            placement.cost += (whole * static_cast<double>((start - release.after).count())
                               + release.idleBefore * static_cast<double>(release.after.count()))
                / microsecondsPerSecond;
        }
        return start;
    }

private:
    /// Room for one more member.
    struct Release {
        Duration after{};
        std::uint32_t worker = 0;
        double idleBefore = 0.0; // core-equivalents of it that are free already
    };

    void addReleases(std::uint32_t worker, std::vector<Release> &releases) const
    {
        const PlanWorker &candidate = m_state.capacity.worker(worker);
        const Resources &demand = m_group.group.spec().demand;
        if (!isEligible(m_group.group, candidate) || candidate.suspect) {
            return;
        }
        std::vector<std::size_t> running;
        for (const std::size_t victim : m_state.victimsOn[worker]) {
            if (!m_state.stopped[victim]) {
                running.push_back(victim);
            }
        }
        std::ranges::stable_sort(running, {}, [&](std::size_t victim) {
            return m_state.victims[victim].remaining;
        });
        Resources left = m_state.capacity.free(worker) + m_state.capacity.stopping(worker);
        std::int64_t members = addMembers(worker, Duration::zero(), left.countOf(demand), 0, releases);
        const std::size_t waiting = releases.size(); // the next member waits beside what is free already
        Resources unused = left;
        for (std::int64_t member = 0; member < members; ++member) {
            unused -= demand;
        }
        const double idle = smallerOf(unused, demand).coreEquivalents();
        for (const std::size_t victim : running) {
            for (const std::uint32_t place : m_state.victims[victim].workers) {
                if (place == worker) {
                    left += m_state.victims[victim].demand;
                }
            }
            members = addMembers(worker, m_state.victims[victim].remaining, left.countOf(demand), members, releases);
        }
        if (waiting < releases.size()) {
            releases[waiting].idleBefore = idle;
        }
    }

    static Resources smallerOf(const Resources &free, const Resources &demand)
    {
        const auto bounded = [](std::int64_t amount, std::int64_t limit) {
            return std::clamp<std::int64_t>(amount, 0, std::max<std::int64_t>(limit, 0));
        };
        return {bounded(free.processors, demand.processors), bounded(free.memory, demand.memory),
                bounded(free.accelerators, demand.accelerators)};
    }

    std::int64_t addMembers(std::uint32_t worker, Duration after, std::int64_t fitting, std::int64_t members,
                            std::vector<Release> &releases) const
    {
        const std::uint32_t limit = m_group.group.spec().spreadLimit;
        const std::uint32_t before = limit != 0 && worker < m_group.onWorker.size() ? m_group.onWorker[worker] : 0;
        while (members < fitting && members < membersOf(m_group.group.spec()) && (limit == 0 || before + members < limit)) {
            releases.push_back({after, worker, 0.0});
            ++members;
        }
        return members;
    }

    const GroupState &m_group;
    const PlanState &m_state;
};

} // namespace banyanlock
