#include "workerrecords/WorkerRecord.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

// Bounds memory. A worker is barred long before it has this many uncleared failures.
constexpr std::size_t maxFailures = 32;

} // namespace

WorkerRecord::WorkerRecord(RecordTiming timing)
    : m_timing(timing)
{
}

void WorkerRecord::beginLife(TimePoint now, bool startKnown)
{
    const bool wasShort = m_lifeBegan && now - *m_lifeBegan < m_timing.shortLife;
    *this = WorkerRecord(m_timing);
    m_previousLifeShort = wasShort;
    if (startKnown) {
        m_lifeBegan = now;
    }
}

void WorkerRecord::addSuccess(TimePoint startedAt)
{
    m_succeeded = true;
    m_latestGoodStart = std::max(m_latestGoodStart, startedAt);
    std::erase_if(m_failures, [&](const Failure &failure) {
        return failure.run.startedAt <= startedAt;
    });
    if (m_failures.empty()) {
        endBar();
    }
    if (startedAt >= m_doubtfulStart) {
        m_doubtUntil = TimePoint();
    }
    if (startedAt > m_slowStart) {
        m_slowUntil = TimePoint();
    }
}

void WorkerRecord::addFailure(const RecordedRun &run, TimePoint now)
{
    const bool contradicted = m_succeeded && run.startedAt <= m_latestGoodStart;
    if (m_failures.size() >= maxFailures) {
        m_failures.erase(m_failures.begin());
    }
    m_failures.push_back({run, now, !contradicted});
    if (contradicted) {
        return;
    }
    if (m_barredUntil) {
        if (run.startedAt >= *m_barredUntil) {
            bar(run.task, now); // the trial has failed
        }
    } else if (failedUnits() >= barringUnits) {
        bar(run.task, now);
    }
}

void WorkerRecord::addRefusal(TimePoint now)
{
    m_doubtUntil = now + m_timing.doubtPeriod;
    m_doubtfulStart = now;
}

void WorkerRecord::addLostRun(TimePoint now)
{
    m_doubtUntil = now + m_timing.doubtPeriod;
    m_doubtfulStart = now;
}

void WorkerRecord::addSlowRun(TimePoint startedAt, TimePoint now)
{
    m_slowUntil = now + m_timing.doubtPeriod;
    m_slowStart = std::max(m_slowStart, startedAt);
}

bool WorkerRecord::takeBackFailures(std::uint64_t task, TimePoint now)
{
    const bool trialFailed = failedTrial(task);
    const std::size_t removed = std::erase_if(m_failures, [&](const Failure &failure) {
        return failure.run.task == task;
    });
    if (removed == 0) {
        return false;
    }
    if (m_barredUntil && failedUnits() < barringUnits) {
        endBar();
    } else if (trialFailed) {
        m_barredUntil = std::min(*m_barredUntil, now); // the trial had not failed, so the worker goes back on trial
        m_lastBarEnd = *m_barredUntil;
    }
    return true;
}

std::size_t WorkerRecord::failedUnits(std::optional<std::uint64_t> except) const
{
    std::vector<std::uint64_t> units;
    for (const Failure &failure : m_failures) {
        if (failure.counts && failure.run.unit != except && std::ranges::find(units, failure.run.unit) == units.end()) {
            units.push_back(failure.run.unit);
        }
    }
    return units.size();
}

WorkerStanding WorkerRecord::standing(TimePoint now) const
{
    if (m_barredUntil && now < *m_barredUntil) {
        return WorkerStanding::Barred;
    }
    const bool failedRecently = std::ranges::any_of(m_failures, [&](const Failure &failure) {
        return now < failure.at + m_timing.doubtPeriod;
    });
    const bool flapping = m_previousLifeShort && m_lifeBegan && now < *m_lifeBegan + m_timing.doubtPeriod;
    if (m_barredUntil || failedRecently || flapping || now < m_doubtUntil) {
        return WorkerStanding::Doubtful;
    }
    return m_succeeded ? WorkerStanding::Proven : WorkerStanding::Untested;
}

std::optional<TimePoint> WorkerRecord::trialSince(TimePoint now) const
{
    return m_barredUntil && now >= *m_barredUntil ? m_barredUntil : std::nullopt;
}

bool WorkerRecord::mayStartBeside(TimePoint otherStartedAt, TimePoint now) const
{
    const std::optional<TimePoint> trial = trialSince(now);
    return !trial || otherStartedAt < *trial || now >= otherStartedAt + m_timing.doubtPeriod;
}

void WorkerRecord::bar(std::uint64_t task, TimePoint now)
{
    const bool repeated = m_lastBarEnd != TimePoint() && now < m_lastBarEnd + m_timing.maxBarPeriod;
    m_repeats = repeated ? m_repeats + 1 : 0;
    Duration length = m_timing.barPeriod;
    for (unsigned repeat = 0; repeat < m_repeats && length < m_timing.maxBarPeriod; ++repeat) {
        length *= 2;
    }
    m_barredUntil = now + std::min(length, m_timing.maxBarPeriod);
    m_lastBarEnd = *m_barredUntil;
    m_barringTask = task;
}

void WorkerRecord::endBar()
{
    m_barredUntil.reset();
    m_lastBarEnd = TimePoint();
}

} // namespace banyanlock
