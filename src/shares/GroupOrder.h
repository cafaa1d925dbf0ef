#pragma once

#include "core/Time.h"
#include "shares/ShareTable.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// What a group's result is still worth if the group starts now.
enum class Reach : std::uint8_t {
    InTime, ///< The job can meet its objective.
    Late, ///< The job can end within three times its objective; its result is worth less.
    Useless, ///< The job ends later than three times its objective; its result is worth nothing.
};

/// @param reach Reach of a group.
/// @return Its name in logs.
std::string_view nameOf(Reach reach);

/// @param objective Latency objective of the job.
/// @param age Time since the job was accepted or due.
/// @param needed Forecast length of the job's remaining critical path.
/// @return What the result is still worth.
Reach reachOf(Duration objective, Duration age, Duration needed);

/// Groups with less slack are urgent: two planning intervals of 200 ms. They precede all others of their reach.
inline constexpr Duration urgentSlack = fromMilliseconds(400);

/// Time after which a waiting group counts as aged.
inline constexpr Duration ageLimit = fromMilliseconds(30000);

/// What the order of waiting groups depends on.
struct GroupRank {
    bool guaranteed = false; ///< Whether the job is within the guarantee of its workspace.
    std::uint32_t priority = 0; ///< Priority of its queue; 0 is the highest.
    Reach reach = Reach::InTime; ///< What its result is still worth.
    Duration slack{}; ///< Time until the group must start to meet the job's objective.
    Duration needed{}; ///< Forecast length of the job's remaining critical path.
    Duration waited{}; ///< Time since the group became ready.
    double work = 0.0; ///< Forecast work of the waiting units, in core-equivalent seconds; not a number counts as zero.
    std::string_view workspace; ///< Workspace of the job.
};

/// @param group A waiting group.
/// @return Whether it has waited so long that it may use the ageing budget.
bool isAged(const GroupRank &group);

/// Orders waiting groups by guarantee, priority and reach. Within these:
/// - In time: urgent groups first. Both urgent and other groups are ordered by whether their workspace is below its equal share, then by
/// slack.
/// - Late: workspaces below their equal share first, then least work first.
/// - Useless: least work first.
/// The work of a group counts for less the longer it waits. Shares do not affect groups within a guarantee. The equal share is the mean
/// share of all workspaces that have a waiting group.
/// @param groups Waiting groups.
/// @param shares Shares of the workspaces.
/// @param agedFirst Whether aged groups precede the others of the same guarantee and priority, longest wait first; see AgeingBudget.
/// @return Indexes of the groups, first to be placed first. Equal groups keep their order.
std::vector<std::size_t> orderGroups(std::span<const GroupRank> groups, const ShareTable &shares, bool agedFirst);

/// Evidence that workspaces compete: groups of two workspaces wait, and one of these workspaces holds over half of what is used.
/// @param groups Waiting groups.
/// @param shares Shares of the workspaces.
/// @return Whether there is such a workspace.
bool isContended(std::span<const GroupRank> groups, const ShareTable &shares);

} // namespace banyanlock
