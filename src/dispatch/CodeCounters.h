#pragma once

#include "core/Counters.h"
#include "core/ResultCode.h"

#include <algorithm>
#include <array>

namespace banyanlock
{

/// Maps a result code to its counter.
struct CodeCounter {
    ResultCode code; ///< Result code.
    Counter counter; ///< Counter of the code.
};

/// Counters of refusals, by result code.
inline constexpr std::array refusalCounters{
    CodeCounter{ResultCode::UnknownWorkspace, Counter::RefusedUnknownWorkspace},
    CodeCounter{ResultCode::UnknownService, Counter::RefusedUnknownService},
    CodeCounter{ResultCode::RateLimited, Counter::RefusedRate},
    CodeCounter{ResultCode::InFlightLimited, Counter::RefusedInFlight},
    CodeCounter{ResultCode::QueueFull, Counter::RefusedQueueFull},
    CodeCounter{ResultCode::DeadlineUnreachable, Counter::RefusedDeadline},
    CodeCounter{ResultCode::NoBackendServer, Counter::RefusedNoBackendServer},
    CodeCounter{ResultCode::Draining, Counter::RefusedDraining},
    CodeCounter{ResultCode::StoreUnavailable, Counter::RefusedStore},
    CodeCounter{ResultCode::ConfigurationNotReady, Counter::RefusedConfiguration},
    CodeCounter{ResultCode::IdempotencyKeyInUse, Counter::RefusedKeyInUse},
};

/// Counters of retries, by result code of the previous attempt.
inline constexpr std::array retryCounters{
    CodeCounter{ResultCode::AgentFull, Counter::RetryAgentFull},
    CodeCounter{ResultCode::AgentDraining, Counter::RetryAgentDraining},
    CodeCounter{ResultCode::AttemptExpired, Counter::RetryExpired},
    CodeCounter{ResultCode::AttemptNotSent, Counter::RetryNotSent},
    CodeCounter{ResultCode::BackendUnreachable, Counter::RetryBackendUnreachable},
};

/// Increments the counter of a result code.
/// @param counters Counters to update.
/// @param table Counters by code.
/// @param code The code.
/// @param fallback Counter of codes that are not in the table.
template <std::size_t Size>
void countCode(Counters &counters, const std::array<CodeCounter, Size> &table, ResultCode code, Counter fallback)
{
    const auto row = std::ranges::find(table, code, &CodeCounter::code);
    counters.add(row == table.end() ? fallback : row->counter);
}

} // namespace banyanlock
