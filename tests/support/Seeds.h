#pragma once

#include <cstdint>
#include <cstdlib>

namespace banyanlock
{

/// Seeds of a randomised run: fixed in CI, set by the environment for long runs.
struct SeedRange {
    std::uint64_t first = 1; ///< First seed.
    std::uint64_t count = 0; ///< How many.
};

/// @param fixedCount How many seeds CI runs.
/// @return Seeds to run, from BANYANLOCK_FIRST_SEED and BANYANLOCK_SEEDS if they are set.
inline SeedRange seedRange(std::uint64_t fixedCount)
{
    const auto number = [](const char *name, std::uint64_t fallback) {
        const char *text = std::getenv(name);
        return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
    };
    return {number("BANYANLOCK_FIRST_SEED", 1), number("BANYANLOCK_SEEDS", fixedCount)};
}

} // namespace banyanlock
