#pragma once

#include "core/Random.h"

#include <chrono>
#include <cstdint>

namespace banyanlock
{

/// Names one process: milliseconds since 1970 at its start above 22 random bits, so that a later process of the same name has a higher
/// number unless its clock is wrong. Nothing but the choice between two processes of one name rests on the order.
/// @return Number for this process.
inline std::uint64_t makeIncarnation()
{
    constexpr unsigned randomBits = 22;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    return (milliseconds << randomBits) | (Random::systemSeed() >> (64 - randomBits));
}

} // namespace banyanlock
