#include "interference/PairRegression.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr double keptPerRun = 1.0 - 1.0 / 4000.0; // the last 4,000 runs of a kind dominate, so that a changed program is noticed
constexpr double ridge = 1.0; // as much as one run that was exposed all the time: slopes of pairs that hardly meet stay near zero
constexpr double minClip = 0.3; // the logarithm of 1.35: a pair that slows by more is still approached within some tens of runs
constexpr double maxClip = 0.7; // stragglers (logarithm of 7: 1.95) and tasks away from their data (1.1) must not count in full
constexpr double clipScales = 3.0; // a normal residual lies within three of its median absolute values in 96 of 100 runs
constexpr double minScale = 0.001; // keeps the scale able to grow when all residuals were zero
constexpr double scaleStep = 0.01; // relative change of the median absolute residual by a run
constexpr double priorWeight = 10.0; // runs that the prior of the residual variance counts for
constexpr double priorVariance = 0.04;
constexpr double restoredWeight = 100.0; // runs that an earlier owner's variance counts for
constexpr std::uint32_t runsPerSolution = 4; // a solution costs some microseconds
constexpr double countedExposure = 0.1; // shorter meetings say nothing of a pair

} // namespace

std::size_t PairRegression::columnOf(std::uint32_t kind) const
{
    const auto found = std::ranges::find(m_columns, kind, &Column::kind);
    return found == m_columns.end() ? noColumn : static_cast<std::size_t>(found - m_columns.begin());
}

void PairRegression::clear(std::size_t column)
{
    m_columns[column] = Column{};
    for (std::size_t other = 0; other < maxNeighbours; ++other) {
        m_products[column][other] = 0.0;
        m_products[other][column] = 0.0;
    }
}

std::size_t PairRegression::addColumn(std::uint32_t kind, double evidence)
{
    std::size_t column = m_columns.size();
    if (column < maxNeighbours) {
        m_columns.emplace_back();
    } else {
        column = 0;
        for (std::size_t other = 1; other < maxNeighbours; ++other) {
            column = m_products[other][other] < m_products[column][column] ? other : column;
        }
        if (m_products[column][column] >= evidence) {
            return noColumn;
        }
    }
    clear(column);
    m_columns[column].kind = kind;
    return column;
}

PairEstimate PairRegression::estimate(std::uint32_t neighbour) const
{
    const std::size_t column = columnOf(neighbour);
    if (column == noColumn) {
        return {};
    }
    return {m_columns[column].slope, std::sqrt(m_columns[column].variance), m_columns[column].runs};
}

double PairRegression::predict(std::span<const Neighbour> exposures) const
{
    double sum = 0.0;
    for (const Neighbour &neighbour : exposures) {
        if (const std::size_t column = columnOf(neighbour.kind); column != noColumn) {
            sum += m_columns[column].slope * neighbour.exposure;
        }
    }
    return sum;
}

double PairRegression::clip(double residual) const
{
    const double limit = std::clamp(clipScales * m_scale, minClip, maxClip);
    return std::clamp(residual, -limit, limit);
}

void PairRegression::count(std::span<const Neighbour> beside)
{
    for (const Neighbour &neighbour : beside) {
        if (const std::size_t column = columnOf(neighbour.kind); column != noColumn && neighbour.exposure >= countedExposure) {
            m_columns[column].runs += 1.0;
        }
    }
}

void PairRegression::add(std::span<const Neighbour> exposures, double residual, double weight)
{
    const double clipped = clip(residual);
    // A median, since a fifth of runs away from their data would widen a mean.
    m_scale *= std::abs(residual) > m_scale ? 1.0 + scaleStep : 1.0 - scaleStep;
    m_scale = std::clamp(m_scale, minScale, maxClip);
    m_squares = m_squares * keptPerRun + weight * clipped * clipped;
    m_weight = m_weight * keptPerRun + weight;
    for (std::size_t row = 0; row < m_columns.size(); ++row) {
        m_columns[row].response *= keptPerRun;
        m_columns[row].runs *= keptPerRun;
        for (std::size_t column = 0; column < m_columns.size(); ++column) {
            m_products[row][column] *= keptPerRun;
        }
    }
    const double response = predict(exposures) + clipped;
    std::vector<std::pair<std::size_t, double>> entries;
    for (const Neighbour &neighbour : exposures) {
        std::size_t column = columnOf(neighbour.kind);
        if (column == noColumn) {
            column = addColumn(neighbour.kind, weight * neighbour.exposure * neighbour.exposure);
        }
        if (column != noColumn) {
            std::erase_if(entries, [column](const auto &entry) {
                return entry.first == column;
            }); // its neighbour was replaced in this run
            entries.emplace_back(column, neighbour.exposure);
        }
    }
    for (const auto &[row, exposure] : entries) {
        m_columns[row].response += weight * exposure * response;
        for (const auto &[column, other] : entries) {
            m_products[row][column] += weight * exposure * other;
        }
    }
    if (++m_unsolved >= runsPerSolution) {
        solve();
    }
}

double PairRegression::residualVariance() const
{
    return (m_squares + priorWeight * priorVariance) / (m_weight + priorWeight);
}

void PairRegression::restoreVariance(double variance)
{
    m_weight = restoredWeight;
    m_squares = std::max(variance * (restoredWeight + priorWeight) - priorWeight * priorVariance, 0.0);
    m_scale = std::sqrt(variance);
}

void PairRegression::restore(std::uint32_t neighbour, const PairEstimate &estimate)
{
    if (columnOf(neighbour) != noColumn || m_columns.size() >= maxNeighbours || estimate.deviation <= 0.0) {
        return;
    }
    const std::size_t column = addColumn(neighbour, 0.0);
    const double products = std::max(residualVariance() / (estimate.deviation * estimate.deviation) - ridge, 0.0);
    m_products[column][column] = products;
    m_columns[column].response = (products + ridge) * estimate.logSlowdown;
    m_columns[column].runs = estimate.runs;
    solve();
}

void PairRegression::drop(std::uint32_t neighbour)
{
    const std::size_t column = columnOf(neighbour);
    if (column == noColumn) {
        return;
    }
    const std::size_t last = m_columns.size() - 1;
    if (column != last) {
        m_columns[column] = m_columns[last];
        for (std::size_t other = 0; other < maxNeighbours; ++other) {
            m_products[column][other] = m_products[last][other];
        }
        for (std::size_t other = 0; other < maxNeighbours; ++other) {
            m_products[other][column] = m_products[other][last];
        }
        m_products[column][column] = m_products[last][last];
    }
    clear(last);
    m_columns.pop_back();
    solve();
}

std::vector<std::uint32_t> PairRegression::neighbours() const
{
    std::vector<std::uint32_t> kinds;
    for (const Column &column : m_columns) {
        kinds.push_back(column.kind);
    }
    return kinds;
}

void PairRegression::solve()
{
    m_unsolved = 0;
    const std::size_t size = m_columns.size();
    auto matrix = m_products;
    std::array<std::array<double, maxNeighbours>, maxNeighbours> inverse{};
    for (std::size_t row = 0; row < size; ++row) {
        matrix[row][row] += ridge;
        inverse[row][row] = 1.0;
    }
    // Gauss-Jordan elimination; the matrix is positive definite, so that no pivot is zero.
    for (std::size_t pivot = 0; pivot < size; ++pivot) {
        const double factor = 1.0 / matrix[pivot][pivot];
        for (std::size_t column = 0; column < size; ++column) {
            matrix[pivot][column] *= factor;
            inverse[pivot][column] *= factor;
        }
        for (std::size_t row = 0; row < size; ++row) {
            const double multiple = matrix[row][pivot];
            if (row == pivot || multiple == 0.0) {
                continue;
            }
            for (std::size_t column = 0; column < size; ++column) {
                matrix[row][column] -= multiple * matrix[pivot][column];
                inverse[row][column] -= multiple * inverse[pivot][column];
            }
        }
    }
    const double variance = residualVariance();
    for (std::size_t row = 0; row < size; ++row) {
        double slope = 0.0;
        for (std::size_t column = 0; column < size; ++column) {
            slope += inverse[row][column] * m_columns[column].response;
        }
        m_columns[row].slope = slope;
        m_columns[row].variance = std::max(inverse[row][row], 0.0) * variance;
    }
}

} // namespace banyanlock
