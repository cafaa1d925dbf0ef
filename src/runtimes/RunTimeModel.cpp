#include "runtimes/RunTimeModel.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace banyanlock
{
namespace
{

constexpr double newestSamples = 32.0; // number of samples that the statistics follow
constexpr std::size_t maxErrors = 32; // errors of declared times that are remembered for each key
constexpr double minVariance = 0.01; // tasks of one step differ by a tenth or more
constexpr double priorSamples = 3.0; // weight of the prior beside that of one sample
constexpr double priorErrorVariance = 0.04; // of declared times that have not been contradicted
constexpr double priorSpread = 1.0; // of run times within a key of which nothing is known
constexpr Duration minRunTime = fromMilliseconds(10); // shorter ones have no meaningful ratio

double logOf(Duration time)
{
    return std::log(static_cast<double>(std::max(time, minRunTime).count()));
}

Duration fromLog(double logarithm)
{
    constexpr double maxLogarithm = 40.0; // keeps the result far below the range of a duration
    return Duration(static_cast<std::int64_t>(std::exp(std::min(logarithm, maxLogarithm))));
}

} // namespace

bool RunTimeKey::operator<(const RunTimeKey &other) const
{
    const auto fields = [](const RunTimeKey &key) {
        return std::tie(key.queue, key.demand.processors, key.demand.memory, key.demand.accelerators, key.gang);
    };
    return fields(*this) < fields(other);
}

void RunTimeModel::LogStatistics::add(double value)
{
    count = std::min(count + 1.0, newestSamples);
    const double difference = value - mean;
    mean += difference / count;
    variance += (difference * (value - mean) - variance) / count;
}

void RunTimeModel::addRun(const RunTimeKey &key, const StepId &step, Duration declared, Duration actual)
{
    KeyModel &model = m_keys[key];
    model.lastUse = ++m_uses;
    const RunTimeForecast expected = forecast(key, step, declared);
    const double logActual = logOf(actual);
    const bool straggler
        = expected.learned && model.steps >= m_policy.minSteps && logActual > logOf(expected.expected) + std::log(m_policy.stragglerFactor);
    if (straggler) {
        evict();
        return;
    }
    StepModel &known = m_steps[step];
    if (known.runTime.count == 0.0) {
        m_stepOrder.push_back(step);
        addToKey(model, declared, logActual); // the runs of one step are alike, so only the first tells something about the key
    }
    known.runTime.add(logActual);
    evict();
}

void RunTimeModel::addToKey(KeyModel &key, Duration declared, double logActual) const
{
    ++key.steps;
    key.runTime.add(logActual);
    if (declared <= Duration::zero()) {
        return;
    }
    const double error = logActual - logOf(declared);
    key.error.add(error);
    key.absoluteErrors.push_back(std::abs(error));
    if (key.absoluteErrors.size() > maxErrors) {
        key.absoluteErrors.pop_front();
    }
    std::vector<double> errors(key.absoluteErrors.begin(), key.absoluteErrors.end());
    const auto middle = errors.begin() + static_cast<std::ptrdiff_t>(errors.size() / 2);
    std::ranges::nth_element(errors, middle);
    key.contradicted = errors.size() >= m_policy.minSteps && *middle > std::log(m_policy.contradictionFactor);
}

bool RunTimeModel::isInUse(const KeyModel &key) const
{
    return m_policy.use == RunTimeUse::Always || (m_policy.use == RunTimeUse::WhenContradicted && key.contradicted);
}

double RunTimeModel::combine(const KeyModel &key, Duration declared, double &variance)
{
    // Two predictors, each weighted by its precision: the usual run time of the key, and the declared time with its usual error.
    const auto blend = [](const LogStatistics &statistics, double prior) {
        return std::max((statistics.variance * statistics.count + prior * priorSamples) / (statistics.count + priorSamples), minVariance);
    };
    const double usualVariance = blend(key.runTime, priorSpread);
    if (declared <= Duration::zero()) {
        variance = usualVariance;
        return key.runTime.mean;
    }
    const double errorVariance = blend(key.error, priorErrorVariance);
    const double bias = key.error.mean * key.error.count / (key.error.count + priorSamples);
    const double fromDeclared = logOf(declared) + bias;
    if (key.runTime.count == 0.0) {
        variance = errorVariance;
        return fromDeclared;
    }
    const double usualWeight = 1.0 / usualVariance;
    const double declaredWeight = 1.0 / errorVariance;
    variance = 1.0 / (usualWeight + declaredWeight);
    return (key.runTime.mean * usualWeight + fromDeclared * declaredWeight) * variance;
}

RunTimeForecast RunTimeModel::forecast(const RunTimeKey &key, const StepId &step, Duration declared) const
{
    RunTimeForecast result{declared, std::sqrt(priorErrorVariance), false};
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || !isInUse(found->second)) {
        return result;
    }
    double variance = 0.0;
    double logarithm = combine(found->second, declared, variance);
    const auto known = m_steps.find(step);
    if (known != m_steps.end() && known->second.runTime.count > 0.0) {
        logarithm = known->second.runTime.mean;
        variance = std::max(known->second.runTime.variance, minVariance);
    }
    return {fromLog(logarithm), std::sqrt(variance), true};
}

Duration RunTimeModel::remaining(const RunTimeForecast &forecast, Duration elapsed, std::uint32_t percent)
{
    constexpr std::uint32_t minPercent = 10; // rounding makes smaller ones inaccurate
    constexpr std::uint32_t whole = 100;
    constexpr Duration least = fromMilliseconds(50);
    if (percent >= minPercent) {
        return std::max(elapsed * (whole - std::min(percent, whole)) / percent, least);
    }
    // Past its expected end, a run is expected to need as much again as its forecast is uncertain.
    const auto uncertain = Duration(static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * forecast.spread / 2));
    return std::max({forecast.expected - elapsed, elapsed > forecast.expected ? uncertain : Duration::zero(), least});
}

bool RunTimeModel::isSlow(const RunTimeKey &key, const StepId &step, Duration declared, Duration actual) const
{
    const RunTimeForecast expected = forecast(key, step, declared);
    if (expected.expected <= Duration::zero()) {
        return false;
    }
    constexpr double slowFactor = 2.0; // declared times that are not contradicted are off by up to a half
    constexpr double significance = 3.0; // standard deviations
    const double excess = logOf(actual) - logOf(expected.expected);
    if (!expected.learned) {
        return excess > std::log(slowFactor);
    }
    return excess > std::max(std::log(slowFactor), significance * expected.spread) && excess <= std::log(m_policy.stragglerFactor);
}

std::size_t RunTimeModel::contradictedKeys() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_keys, [](const auto &entry) {
        return entry.second.contradicted;
    }));
}

void RunTimeModel::evict()
{
    while (m_stepOrder.size() > m_policy.maxSteps) {
        m_steps.erase(m_stepOrder.front());
        m_stepOrder.pop_front();
    }
    while (m_keys.size() > m_policy.maxKeys) {
        m_keys.erase(std::ranges::min_element(m_keys, {}, [](const auto &entry) {
            return entry.second.lastUse;
        }));
    }
}

} // namespace banyanlock
