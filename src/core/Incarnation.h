#pragma once

#include "core/Random.h"
#include "core/Time.h"

#include <cstdint>

namespace banyanlock
{

/// Names one process: milliseconds since 1970 at its start above 22 random bits, so that a later process of the same name has a higher
/// number unless its clock is wrong. Nothing but the choice between two processes of one name rests on the order.
/// @return Number for this process.
inline std::uint64_t makeIncarnation()
{
    constexpr unsigned randomBits = 22;
    return (static_cast<std::uint64_t>(unixMillisecondsNow()) << randomBits) | (Random::systemSeed() >> (64 - randomBits));
}

} // namespace banyanlock
