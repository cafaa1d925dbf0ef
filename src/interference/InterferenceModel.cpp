#include "interference/InterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace banyanlock
{
namespace
{

constexpr std::uint32_t maxStepRuns = 256; // means of longer steps follow their last runs, as of a step that repeats for hours
constexpr std::uint64_t kindMultiplier = 0x9E3779B97F4A7C15; // keeps runs of two kinds apart that were given the same step
constexpr std::uint32_t maxWorkerRuns = 50; // a worker's own speed follows its last runs
constexpr double workerTrialRuns = 10.0; // as long as a worker's own speed is uncertain, its runs count less
constexpr double workerPriorRuns = 2.0; // a few runs beside the same neighbour don't make a slow worker
constexpr std::size_t maxStepKinds = 24; // kinds with a mean exposure in a step; others meet it seldom

} // namespace

std::uint32_t InterferenceModel::kindOf(const TaskKind &kind)
{
    const KindUse use = m_kinds.use(kind);
    if (use.replaced) {
        dropKind(*use.replaced);
    }
    return use.number;
}

const TaskKind *InterferenceModel::findKind(std::uint32_t number) const
{
    return m_kinds.find(number);
}

void InterferenceModel::dropKind(std::uint32_t kind)
{
    m_regressions.erase(kind);
    for (auto &[other, regression] : m_regressions) {
        regression.drop(kind);
    }
    for (auto step = m_steps.begin(); step != m_steps.end();) {
        if (step->second.kind == kind) {
            m_stepUses.erase(step->second.use);
            step = m_steps.erase(step);
        } else {
            std::erase_if(step->second.exposures, [kind](const Neighbour &neighbour) {
                return neighbour.kind == kind;
            });
            ++step;
        }
    }
}

InterferenceModel::Step &InterferenceModel::stepOf(std::uint64_t id, std::uint32_t kind)
{
    const auto known = m_steps.find(id);
    if (known != m_steps.end()) {
        m_stepUses.splice(m_stepUses.begin(), m_stepUses, known->second.use);
        Step &step = known->second;
        if (step.kind != kind) {
            step.kind = kind;
            step.runs = 0;
            step.exposures.clear();
        }
        return step;
    }
    if (m_steps.size() >= maxSteps) {
        m_steps.erase(m_stepUses.back());
        m_stepUses.pop_back();
    }
    m_stepUses.push_front(id);
    Step &step = m_steps[id];
    step.kind = kind;
    step.use = m_stepUses.begin();
    return step;
}

std::vector<Neighbour> InterferenceModel::centred(const Step &step, std::span<const Neighbour> beside)
{
    std::vector<Neighbour> exposures(beside.begin(), beside.end());
    for (const Neighbour &mean : step.exposures) {
        const auto own = std::ranges::find(exposures, mean.kind, &Neighbour::kind);
        if (own != exposures.end()) {
            own->exposure -= mean.exposure;
        } else {
            exposures.push_back({mean.kind, -mean.exposure});
        }
    }
    return exposures;
}

void InterferenceModel::addExposures(Step &step, std::span<const Neighbour> beside)
{
    const double share = 1.0 / std::min(step.runs, maxStepRuns);
    for (Neighbour &mean : step.exposures) {
        mean.exposure -= share * mean.exposure;
    }
    for (const Neighbour &neighbour : beside) {
        const auto mean = std::ranges::find(step.exposures, neighbour.kind, &Neighbour::kind);
        if (mean != step.exposures.end()) {
            mean->exposure += share * neighbour.exposure;
        } else if (step.exposures.size() < maxStepKinds) {
            step.exposures.push_back({neighbour.kind, share * neighbour.exposure});
        }
    }
}

void InterferenceModel::addCentre(Step &step, double value, double clippedResidual)
{
    if (step.runs > step.first.size()) {
        step.centre += clippedResidual / std::min(step.runs, maxStepRuns);
        return;
    }
    step.first[step.runs - 1] = value;
    auto values = step.first;
    const auto end = values.begin() + step.runs;
    std::sort(values.begin(), end);
    // The median of the first runs: a straggler among them would take long to be forgotten by a mean.
    step.centre = (values[(step.runs - 1) / 2] + values[step.runs / 2]) / 2;
}

void InterferenceModel::addRun(std::uint32_t kind, std::uint64_t step, std::uint64_t worker, double logSlowdown,
                               std::span<const Neighbour> beside)
{
    if (m_kinds.find(kind) == nullptr || !std::isfinite(logSlowdown)) {
        return;
    }
    PairRegression &regression = m_regressions[kind];
    Step &siblings = stepOf(step ^ (kind * kindMultiplier), kind);
    if (m_workers.size() >= CoRunLog::maxWorkers && !m_workers.contains(worker)) {
        m_workers.clear(); // ids of workers that left; the effects are learned again within some tens of runs
    }
    WorkerEffect &effect = m_workers[worker];
    const double value = logSlowdown - effect.value - regression.predict(beside);
    const double residual = value - siblings.centre;
    if (siblings.runs > 0) {
        // The centre of n runs has an error of its own: a run's deviation from it counts n / (n + 1).
        const double weight = siblings.runs / (siblings.runs + 1.0) * effect.runs / (effect.runs + workerTrialRuns);
        regression.add(centred(siblings, beside), residual, weight);
        regression.count(beside);
        effect.runs = std::min(effect.runs + 1, maxWorkerRuns);
        effect.value += regression.clip(residual) / (effect.runs + workerPriorRuns);
    }
    if (siblings.runs < maxStepRuns) {
        ++siblings.runs;
    }
    addCentre(siblings, value, regression.clip(residual));
    addExposures(siblings, beside);
}

PairEstimate InterferenceModel::estimate(std::uint32_t kind, std::uint32_t neighbour) const
{
    const auto found = m_regressions.find(kind);
    return found == m_regressions.end() ? PairEstimate{} : found->second.estimate(neighbour);
}

bool InterferenceModel::isHarmful(std::uint32_t kind, std::uint32_t neighbour) const
{
    const PairEstimate pair = estimate(kind, neighbour);
    return pair.runs >= minRuns && pair.deviation > 0.0 && pair.logSlowdown - boundDeviations * pair.deviation > std::log(harmfulSlowdown);
}

double InterferenceModel::slowdownOf(std::uint32_t kind, std::uint32_t neighbour) const
{
    return isHarmful(kind, neighbour) ? std::exp(estimate(kind, neighbour).logSlowdown) : 1.0;
}

double InterferenceModel::penaltyOf(std::uint32_t kind, std::span<const std::uint32_t> kindsOnWorker) const
{
    double penalty = 0.0;
    for (const std::uint32_t other : kindsOnWorker) {
        penalty += isHarmful(kind, other) ? estimate(kind, other).logSlowdown : 0.0;
        penalty += isHarmful(other, kind) ? estimate(other, kind).logSlowdown : 0.0;
    }
    return penalty;
}

std::vector<HarmfulPair> InterferenceModel::harmfulPairs() const
{
    std::vector<HarmfulPair> pairs;
    for (const auto &[kind, regression] : m_regressions) {
        for (const std::uint32_t neighbour : regression.neighbours()) {
            if (isHarmful(kind, neighbour)) {
                pairs.push_back({kind, neighbour, regression.estimate(neighbour)});
            }
        }
    }
    std::ranges::sort(pairs, {}, [](const HarmfulPair &pair) {
        return std::tuple(pair.kind, pair.neighbour);
    });
    return pairs;
}

} // namespace banyanlock
