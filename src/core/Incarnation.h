#pragma once

#include "core/Random.h"
#include "core/Time.h"

#include <cstdint>

namespace banyanlock
{

/// Makes the incarnation of a process: its start time in milliseconds since 1970, followed by 22 random bits. A later process of the same
/// name thus has a higher number unless its clock is wrong. Only the choice between two processes of one name depends on the order.
/// @return Incarnation for this process.
inline std::uint64_t makeIncarnation()
{
    constexpr unsigned randomBits = 22;
    return (static_cast<std::uint64_t>(unixMillisecondsNow()) << randomBits) | (Random::systemSeed() >> (64 - randomBits));
}

} // namespace banyanlock
