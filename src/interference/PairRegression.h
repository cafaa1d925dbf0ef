#pragma once

#include "interference/CoRunLog.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace banyanlock
{

/// What is known of the slowdown of one kind by one neighbour.
struct PairEstimate {
    double logSlowdown = 0.0; ///< Estimated logarithm of the slowdown by one neighbour that is there all the time.
    double deviation = 0.0; ///< Standard deviation of the estimate; zero if nothing is known.
    double runs = 0.0; ///< Number of runs beside the neighbour, decayed.
};

/// Robust ridge regression of the logarithm of one kind's slowdown on its exposures to other kinds. Runs are centred by the caller. Old
/// runs decay, residuals are clipped, and the number of neighbours is bounded.
class PairRegression
{
public:
    /// Maximum number of neighbours; one with more evidence replaces the one with least.
    static constexpr std::size_t maxNeighbours = 16;

    /// @param neighbour Number of a kind.
    /// @return Estimate for it.
    PairEstimate estimate(std::uint32_t neighbour) const;

    /// @param exposures Centred exposures.
    /// @return Logarithm of the slowdown that they explain.
    double predict(std::span<const Neighbour> exposures) const;

    /// @param residual Difference between a logarithm and its prediction.
    /// @return The residual, limited to what the usual variation explains.
    double clip(double residual) const;

    /// Adds a run.
    /// @param exposures Centred exposures.
    /// @param residual Centred logarithm of the slowdown less `predict(exposures)`.
    /// @param weight Weight of the run, 0 to 1.
    void add(std::span<const Neighbour> exposures, double residual, double weight);

    /// Counts a run beside neighbours.
    /// @param beside Neighbours, not centred.
    void count(std::span<const Neighbour> beside);

    /// @return Variance of the residuals.
    double residualVariance() const;

    /// Sets what an earlier owner knew of the residuals.
    /// @param variance Their variance, above zero.
    void restoreVariance(double variance);

    /// Sets what an earlier owner knew of a pair.
    /// @param neighbour Number of the neighbour's kind.
    /// @param estimate The estimate.
    void restore(std::uint32_t neighbour, const PairEstimate &estimate);

    /// Removes a neighbour.
    /// @param neighbour Number of its kind.
    void drop(std::uint32_t neighbour);

    /// @return Numbers of the neighbours.
    std::vector<std::uint32_t> neighbours() const;

private:
    struct Column {
        std::uint32_t kind = 0;
        double runs = 0.0;
        double response = 0.0; // sum of weighted products of exposure and logarithm
        double slope = 0.0;
        double variance = 0.0; // of the slope; zero if it is unknown
    };

    static constexpr std::size_t noColumn = maxNeighbours;

    std::size_t columnOf(std::uint32_t kind) const;
    std::size_t addColumn(std::uint32_t kind, double evidence);
    void clear(std::size_t column);
    void solve();

    std::vector<Column> m_columns;
    std::array<std::array<double, maxNeighbours>, maxNeighbours> m_products{}; // sums of weighted products of exposures
    double m_scale = 0.2; // median absolute residual; spreads of a tenth to a third are usual
    double m_squares = 0.0; // sum of squared clipped residuals
    double m_weight = 0.0; // sum of weights of `m_squares`
    std::uint32_t m_unsolved = 0; // runs since the last solution
};

} // namespace banyanlock
