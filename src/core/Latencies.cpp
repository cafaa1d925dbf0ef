#include "core/Latencies.h"

#include <array>
#include <boost/histogram.hpp>
#include <vector>

namespace banyanlock
{
namespace
{

constexpr std::array<const char *, 5> latencyNames{"banyanlock_pool_call_seconds", "banyanlock_pool_owner_transaction_seconds",
                                                   "banyanlock_pool_agent_call_seconds", "banyanlock_pool_owner_lag_seconds",
                                                   "banyanlock_pool_owner_step_seconds"};

using Axis = boost::histogram::axis::variable<double>;
using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

// In seconds: from a table service call within a failure domain to the longest wait of a caller.
const std::vector<double> bucketEdges{0.0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};

void addSample(std::string &text, const std::string &name, const std::string &value)
{
    text.append(name).append(" ").append(value).append("\n");
}

} // namespace

/// The histograms and, for each, the sum of its samples in seconds.
class Latencies::Impl
{
public:
    Impl()
    {
        for (std::size_t index = 0; index < latencyNames.size(); ++index) {
            histograms.push_back(boost::histogram::make_histogram(Axis(bucketEdges)));
        }
    }

    std::vector<Histogram> histograms;
    std::array<double, latencyNames.size()> sums{};
};

Latencies::Latencies()
    : m_impl(std::make_unique<Impl>())
{
}

Latencies::~Latencies() = default;

void Latencies::record(Latency latency, Duration span)
{
    constexpr double microsecondsPerSecond = 1e6;
    const double seconds = static_cast<double>(span.count()) / microsecondsPerSecond;
    const auto index = static_cast<std::size_t>(latency);
    m_impl->histograms[index](seconds);
    m_impl->sums[index] += seconds;
}

std::string Latencies::toPrometheus() const
{
    std::string text;
    for (std::size_t index = 0; index < latencyNames.size(); ++index) {
        const std::string name = latencyNames[index];
        const Histogram &histogram = m_impl->histograms[index];
        text.append("# TYPE ").append(name).append(" histogram\n");
        double total = 0.0;
        for (int bucket = 0; bucket < histogram.axis(0).size(); ++bucket) {
            total += histogram.at(bucket);
            addSample(text, name + "_bucket{le=\"" + std::to_string(bucketEdges[static_cast<std::size_t>(bucket) + 1]) + "\"}",
                      std::to_string(static_cast<std::uint64_t>(total)));
        }
        total += histogram.at(histogram.axis(0).size());
        const std::string count = std::to_string(static_cast<std::uint64_t>(total));
        addSample(text, name + "_bucket{le=\"+Inf\"}", count);
        addSample(text, name + "_sum", std::to_string(m_impl->sums[index]));
        addSample(text, name + "_count", count);
    }
    return text;
}

} // namespace banyanlock
