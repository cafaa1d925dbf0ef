#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <random>

namespace banyanlock
{

/// Seeded random number generator; the same seed gives the same sequence on every machine.
class Random
{
public:
    /// @param seed Seed of the sequence.
    explicit Random(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    /// @param bound Exclusive upper bound, at least 1.
    /// @return A uniformly distributed number from 0 to bound - 1.
    std::uint32_t below(std::uint32_t bound)
    {
        return m_generator(bound);
    }

    /// @return A uniformly distributed number in [0, 1).
    double unit()
    {
        return static_cast<double>(m_generator()) / 4294967296.0;
    }

    /// @param probability Probability of a true result, 0 to 1.
    /// @return True with the given probability.
    bool chance(double probability)
    {
        return unit() < probability;
    }

    /// @return 64 random bits.
    std::uint64_t bits()
    {
        return (static_cast<std::uint64_t>(m_generator()) << 32U) | m_generator();
    }

    /// @return A seed from the system's entropy, for ids that must be unique across processes.
    static std::uint64_t systemSeed()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }

private:
    pcg32 m_generator;
};

} // namespace banyanlock
