#include "shares/GroupOrder.h"

#include "core/InputLimits.h"

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <tuple>

namespace banyanlock
{
namespace
{

constexpr std::int64_t uselessFactor = 3; // of the objective; later results earn nothing
constexpr Duration workHalving = fromMilliseconds(10000); // a group that has waited this long competes with half of its work
constexpr std::array<std::string_view, 3> reachNames{"in_time", "late", "useless"};

/// Shares of the workspaces that have a waiting group.
std::map<std::string_view, double> waitingShares(std::span<const GroupRank> groups, const ShareTable &shares)
{
    std::map<std::string_view, double> waiting;
    for (const GroupRank &group : groups) {
        if (const auto [entry, added] = waiting.try_emplace(group.workspace); added) {
            entry->second = shares.shareOf(group.workspace);
        }
    }
    return waiting;
}

double sumOf(const std::map<std::string_view, double> &shares)
{
    return std::accumulate(shares.begin(), shares.end(), 0.0, [](double sum, const auto &entry) {
        return sum + entry.second;
    });
}

double agedWork(const GroupRank &group)
{
    const double work = group.work > 0.0 ? group.work : 0.0; // also replaces a value that is not a number
    const Duration waited = std::max(group.waited, Duration::zero());
    return work / (1.0 + static_cast<double>(waited.count()) / static_cast<double>(workHalving.count()));
}

/// Position of a group among those of its guarantee and priority; the smallest goes first.
struct Key {
    bool unguaranteed = false;
    std::uint32_t priority = 0;
    bool behindAged = true;
    std::uint32_t rank = 0; // reach, with urgent groups before the others
    bool overShare = false;
    double value = 0.0; // slack or work

    auto tied() const
    {
        return std::tie(unguaranteed, priority, behindAged, rank, overShare, value);
    }
};

Key keyOf(const GroupRank &group, bool overShare, bool agedFirst)
{
    Key key{!group.guaranteed, group.priority};
    if (agedFirst && isAged(group)) {
        key.behindAged = false;
        key.value = -static_cast<double>(group.waited.count());
        return key;
    }
    const bool inTime = group.reach == Reach::InTime;
    key.rank = inTime && group.slack <= urgentSlack ? 0 : 1 + static_cast<std::uint32_t>(group.reach);
    key.overShare = overShare && !group.guaranteed && group.reach != Reach::Useless;
    key.value = inTime ? static_cast<double>(group.slack.count()) : agedWork(group);
    return key;
}

} // namespace

std::string_view nameOf(Reach reach)
{
    return reachNames.at(static_cast<std::size_t>(reach));
}

Reach reachOf(Duration objective, Duration age, Duration needed)
{
    // Bounds keep the sum and the product within 64 bits.
    const auto bounded = [](Duration span) {
        return std::clamp(span, -InputLimits::span, InputLimits::span);
    };
    const Duration end = bounded(age) + bounded(needed);
    if (end <= bounded(objective)) {
        return Reach::InTime;
    }
    return end <= uselessFactor * bounded(objective) ? Reach::Late : Reach::Useless;
}

bool isAged(const GroupRank &group)
{
    return group.waited >= ageLimit;
}

std::vector<std::size_t> orderGroups(std::span<const GroupRank> groups, const ShareTable &shares, bool agedFirst)
{
    const std::map<std::string_view, double> waiting = waitingShares(groups, shares);
    const double equalShare = waiting.empty() ? 0.0 : sumOf(waiting) / static_cast<double>(waiting.size());
    std::vector<Key> keys;
    keys.reserve(groups.size());
    for (const GroupRank &group : groups) {
        keys.push_back(keyOf(group, waiting.at(group.workspace) > equalShare, agedFirst));
    }
    std::vector<std::size_t> order(groups.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::stable_sort(order, [&](std::size_t left, std::size_t right) {
        return keys[left].tied() < keys[right].tied();
    });
    return order;
}

bool isContended(std::span<const GroupRank> groups, const ShareTable &shares)
{
    const std::map<std::string_view, double> waiting = waitingShares(groups, shares);
    return waiting.size() > 1 && std::ranges::any_of(waiting, [&](const auto &entry) {
               return entry.second * 2.0 > shares.total();
           });
}

} // namespace banyanlock
