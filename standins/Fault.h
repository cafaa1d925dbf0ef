#pragma once

#include "core/Time.h"

#include <string>
#include <string_view>

namespace banyanlock
{

/// What a stand-in does wrong on purpose.
enum class FaultKind : unsigned char {
    None, ///< Nothing.
    Down, ///< Takes no connections, and answers none of the open ones with success.
    Slow, ///< Answers late.
    LoseAnswer, ///< Acts on writes, then drops the answer.
    FailStarts, ///< Fails every task or request that it starts.
    Frozen, ///< Takes requests and never answers.
};

/// A fault with its size.
struct Fault {
    FaultKind kind = FaultKind::None; ///< What is wrong.
    Duration delay{}; ///< How late answers are, when slow.
};

/// @param name Name as in the control interface: `none`, `down`, `slow`, `lose_answer`, `fail_starts`, `frozen`.
/// @param kind Receives the fault.
/// @return Whether the name is known.
bool faultFromName(std::string_view name, FaultKind &kind);

} // namespace banyanlock
