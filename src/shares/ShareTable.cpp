#include "shares/ShareTable.h"

#include <algorithm>
#include <cmath>

namespace banyanlock
{
namespace
{

constexpr Duration decayTime = fromMilliseconds(10000);
constexpr double negligibleShare = 1e-6; // reached 140 s after the last use; the entry is erased
constexpr double agedFraction = 0.02; // of the pool; below the loss of 0.03 in mean worth that a deployment may have
constexpr Duration maxAccrual = fromMilliseconds(10000); // credit of an idle pool is not saved up for longer

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(std::max(span, Duration::zero())).count();
}

double weightAfter(Duration span)
{
    return std::exp(-secondsOf(span) / secondsOf(decayTime));
}

double fractionOf(std::int64_t held, std::int64_t capacity)
{
    return capacity <= 0 ? 0.0 : std::clamp(static_cast<double>(held) / static_cast<double>(capacity), 0.0, 1.0);
}

} // namespace

void ShareTable::advance(Duration span)
{
    const double weight = weightAfter(span);
    for (auto entry = m_shares.begin(); entry != m_shares.end();) {
        entry->second *= weight;
        entry = entry->second < negligibleShare ? m_shares.erase(entry) : std::next(entry);
    }
}

void ShareTable::use(std::string_view workspace, const Resources &held, Duration span, const Resources &pool)
{
    const double dominant = std::max({fractionOf(held.processors, pool.processors), fractionOf(held.memory, pool.memory),
                                      fractionOf(held.accelerators, pool.accelerators)});
    const double added = dominant * (1.0 - weightAfter(span));
    if (added <= 0.0) {
        return;
    }
    auto entry = m_shares.find(workspace);
    if (entry == m_shares.end()) {
        entry = m_shares.emplace(workspace, 0.0).first;
    }
    entry->second = std::min(entry->second + added, 1.0);
}

double ShareTable::shareOf(std::string_view workspace) const
{
    const auto entry = m_shares.find(workspace);
    return entry == m_shares.end() ? 0.0 : entry->second;
}

double ShareTable::total() const
{
    double sum = 0.0;
    for (const auto &[workspace, share] : m_shares) {
        sum += share;
    }
    return sum;
}

void AgeingBudget::accrue(Duration span, const Resources &pool)
{
    const double rate = agedFraction * std::max(pool.coreEquivalents(), 0.0);
    m_credit = std::min(m_credit + rate * secondsOf(span), rate * secondsOf(maxAccrual));
}

void AgeingBudget::charge(double work)
{
    m_credit -= work > 0.0 ? work : 0.0; // also replaces a value that is not a number
}

bool AgeingBudget::isDue() const
{
    return m_credit > 0.0;
}

} // namespace banyanlock
