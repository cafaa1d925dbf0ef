#include "interference/CoRunLog.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

void CoRunLog::advance(Worker &worker, TimePoint now)
{
    if (now <= worker.measuredUntil) {
        return;
    }
    for (Run &run : worker.runs) {
        const TimePoint until = std::min(now, run.windowEnd);
        const TimePoint from = std::max(worker.measuredUntil, run.start);
        if (until <= from) {
            continue;
        }
        const double span = static_cast<double>((until - from).count());
        for (const Run &other : worker.runs) {
            if (&other == &run) {
                continue;
            }
            const auto known = std::ranges::find(run.beside, other.kind, &Neighbour::kind);
            if (known != run.beside.end()) {
                known->exposure += span;
            } else if (run.beside.size() < maxKindsBeside) {
                run.beside.push_back({other.kind, span});
            }
        }
    }
    worker.measuredUntil = now;
}

void CoRunLog::start(std::uint64_t worker, std::uint64_t run, std::uint32_t kind, TimePoint now, Duration window)
{
    if (m_workers.size() >= maxWorkers && !m_workers.contains(worker)) {
        return;
    }
    Worker &entry = m_workers[worker];
    advance(entry, now);
    if (entry.runs.size() < maxRunsOnWorker && std::ranges::find(entry.runs, run, &Run::number) == entry.runs.end()) {
        entry.runs.push_back({run, kind, now, now + window, {}});
    }
}

std::optional<std::vector<Neighbour>> CoRunLog::end(std::uint64_t worker, std::uint64_t run, TimePoint now)
{
    const auto entry = m_workers.find(worker);
    if (entry == m_workers.end()) {
        return std::nullopt;
    }
    advance(entry->second, now);
    std::vector<Run> &runs = entry->second.runs;
    const auto found = std::ranges::find(runs, run, &Run::number);
    if (found == runs.end()) {
        return std::nullopt;
    }
    const Run ended = std::move(*found);
    runs.erase(found);
    if (runs.empty()) {
        m_workers.erase(entry);
    }
    const Duration measured = std::min(now, ended.windowEnd) - ended.start;
    if (measured <= Duration::zero()) {
        return std::nullopt;
    }
    std::vector<Neighbour> beside = ended.beside;
    for (Neighbour &neighbour : beside) {
        neighbour.exposure /= static_cast<double>(measured.count());
    }
    return beside;
}

void CoRunLog::dropWorker(std::uint64_t worker)
{
    m_workers.erase(worker);
}

std::vector<std::uint32_t> CoRunLog::kindsOn(std::uint64_t worker) const
{
    std::vector<std::uint32_t> kinds;
    if (const auto entry = m_workers.find(worker); entry != m_workers.end()) {
        for (const Run &run : entry->second.runs) {
            kinds.push_back(run.kind);
        }
    }
    return kinds;
}

} // namespace banyanlock
