#pragma once

#include "core/Time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace banyanlock
{

/// Spans that a process keeps histograms of.
enum class Latency : std::uint8_t {
    Call, ///< A caller's call, from its arrival to the answer.
    OwnerTransaction, ///< A transaction of the pool's owner.
    AgentCall, ///< A call of the pool's owner to an agent, its wait for news included.
};

/// Latency histograms of one process. Used on one thread.
class Latencies
{
public:
    Latencies();
    ~Latencies();
    Latencies(const Latencies &) = delete;
    Latencies &operator=(const Latencies &) = delete;

    /// Takes in one span.
    /// @param latency What was measured.
    /// @param span How long it took.
    void record(Latency latency, Duration span);

    /// @return All histograms in the Prometheus text format.
    std::string toPrometheus() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyanlock
