#pragma once

#include "core/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace banyanlock
{

/// Latencies that a process records in histograms.
enum class Latency : std::uint8_t {
    Call, ///< A call from a caller, from its arrival to the answer.
    OwnerTransaction, ///< A table service transaction of the pool's owner.
    AgentCall, ///< A call from the pool's owner to an agent, including the agent's wait for changes.
    OwnerLag, ///< Time that an agent's answer waits at the pool's owner until it is handled.
    OwnerStep, ///< A step of the pool's owner: placing, stopping and preparing calls.
};

/// Latency histograms of one process. Not thread-safe.
class Latencies
{
public:
    Latencies();
    ~Latencies();
    Latencies(const Latencies &) = delete;
    Latencies &operator=(const Latencies &) = delete;

    /// Adds one sample to a histogram.
    /// @param latency Latency that was measured.
    /// @param span Measured duration.
    void record(Latency latency, Duration span);

    /// @return All histograms in the Prometheus text format.
    std::string toPrometheus() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
