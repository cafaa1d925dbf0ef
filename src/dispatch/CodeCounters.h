#pragma once

#include "core/Counters.h"
#include "core/ResultCode.h"

#include <algorithm>
#include <array>

namespace banyanlock
{

/// Counter of a result code.
struct CodeCounter {
    ResultCode code; ///< The code.
    Counter counter; ///< Its counter.
};

/// Counters of refusals by their code.
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

/// Counters of retries by the code of the attempt before.
inline constexpr std::array retryCounters{
    CodeCounter{ResultCode::AgentFull, Counter::RetryAgentFull},
    CodeCounter{ResultCode::AgentDraining, Counter::RetryAgentDraining},
    CodeCounter{ResultCode::AttemptExpired, Counter::RetryExpired},
    CodeCounter{ResultCode::AttemptNotSent, Counter::RetryNotSent},
    CodeCounter{ResultCode::BackendUnreachable, Counter::RetryBackendUnreachable},
};

/// Counts a code.
/// @param counters Where to count.
/// @param table Counters by code.
/// @param code The code.
/// @param fallback Counter of codes that the table does not have.
template <std::size_t Size>
void countCode(Counters &counters, const std::array<CodeCounter, Size> &table, ResultCode code, Counter fallback)
{
    const auto row = std::ranges::find(table, code, &CodeCounter::code);
    counters.add(row == table.end() ? fallback : row->counter);
}

} // namespace banyanlock
