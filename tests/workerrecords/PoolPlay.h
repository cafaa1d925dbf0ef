#pragma once

#include "core/Random.h"
#include "workerrecords/WorkerRecords.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace banyanlock
{

/// Load and faults of a `PoolPlay`.
struct PlayTerms {
    std::uint32_t workers = 60; ///< Workers with 8 slots each.
    std::uint32_t gangSize = 5; ///< Tasks of each unit; each takes a slot.
    std::uint32_t attempts = 2; ///< Failed runs after which a unit's job fails.
    double load = 0.6; ///< Share of the slots that the units need on average.
    double ownFaults = 0.05; ///< Share of runs that fail because of the task.
    bool ownFaultsRepeat = false; ///< Whether the same tasks fail in each run; else each run is drawn anew.
    Duration length = std::chrono::seconds(40); ///< Time for which units arrive.
    std::function<bool(std::uint32_t worker, TimePoint now)> isBad; ///< Whether a worker fails what it starts.
};

/// Outcome of a `PoolPlay`.
struct PlayResult {
    std::uint32_t completed = 0; ///< Units that completed.
    std::uint32_t failed = 0; ///< Units that used up their attempts.
    double barredShare = 0.0; ///< Share of worker time in which nothing could be started.
    std::vector<std::uint32_t> completedInSecond; ///< Completed units by second.
};

/// A pool in virtual time that places units with the help of worker records, by the rules that the pool's owner follows: preferred workers
/// first, last attempts only on workers that may take them, for up to 6 s.
class PoolPlay
{
public:
    PoolPlay(PartMode mode, PlayTerms terms, std::uint64_t seed)
        : m_terms(std::move(terms))
        , m_random(seed)
        , m_records(mode)
        , m_running(m_terms.workers, 0)
    {
        for (std::uint32_t worker = 0; worker < m_terms.workers; ++worker) {
            m_pool.push_back(&m_records.add(std::to_string(worker)));
        }
    }

    PlayResult run()
    {
        constexpr Duration tick = fromMilliseconds(20);
        const double arrivals = m_terms.load * m_terms.workers * slots / m_terms.gangSize * 0.02 / 1.25; // runs take 1.25 s on average
        double due = 0.0;
        std::uint64_t barredTicks = 0;
        std::uint64_t ticks = 0;
        const TimePoint begin = m_now;
        while (m_now - begin < m_terms.length) {
            m_now += tick;
            ++ticks;
            for (due += arrivals; due >= 1.0; due -= 1.0) {
                Unit unit;
                unit.number = ++m_units;
                unit.alwaysFails = m_terms.ownFaultsRepeat && m_random.chance(m_terms.ownFaults);
                unit.waitingSince = m_now;
                m_waiting.push_back(unit);
            }
            endRuns();
            m_records.refresh(m_pool, m_now);
            findTrials();
            placeWaiting();
            for (const PooledRecord *record : m_pool) {
                barredTicks += m_records.isBarred(*record, m_now) ? 1 : 0;
            }
        }
        m_result.barredShare = static_cast<double>(barredTicks) / static_cast<double>(ticks * m_terms.workers);
        return m_result;
    }

private:
    static constexpr std::uint32_t slots = 8;
    static constexpr std::uint32_t none = UINT32_MAX;

    struct Unit {
        std::uint64_t number = 0;
        std::uint32_t failures = 0;
        bool alwaysFails = false;
        TimePoint waitingSince{};
        std::set<std::uint32_t> failedOn;
    };

    struct Run {
        Unit unit;
        std::vector<std::uint32_t> workers;
        std::uint32_t failing = none; // index of the member that fails
        TimePoint startedAt;
        TimePoint endsAt;
    };

    bool mayUse(std::uint32_t worker, const Unit &unit) const
    {
        const PooledRecord &record = *m_pool[worker];
        if (m_running[worker] >= slots || m_records.isBarred(record, m_now)) {
            return false;
        }
        if (m_records.isActing() && m_onTrial[worker]) {
            return false;
        }
        const bool last = unit.failures + 1 == m_terms.attempts;
        if (last && m_records.isActing() && m_now - unit.waitingSince < fromMilliseconds(6000)) {
            return m_records.mayTakeLastAttempt(record, m_now) && !unit.failedOn.contains(worker);
        }
        return true;
    }

    /// Notes the workers that run a unit on trial, beside which no other may start.
    void findTrials()
    {
        m_onTrial.assign(m_terms.workers, false);
        for (const Run &run : m_runs) {
            for (const std::uint32_t worker : run.workers) {
                m_onTrial[worker] = m_onTrial[worker] || !m_pool[worker]->evidence.mayStartBeside(run.startedAt, m_now);
            }
        }
    }

    void placeWaiting()
    {
        bool full = false; // a first attempt has found no room, so neither do the others
        std::deque<Unit> left;
        for (Unit &unit : m_waiting) {
            if (full && unit.failures == 0) {
                left.push_back(std::move(unit));
                continue;
            }
            std::vector<std::uint32_t> preferred;
            std::vector<std::uint32_t> others;
            for (std::uint32_t worker = 0; worker < m_terms.workers; ++worker) {
                if (mayUse(worker, unit)) {
                    (m_records.isSuspect(*m_pool[worker], m_now) ? others : preferred).push_back(worker);
                }
            }
            shuffle(preferred);
            shuffle(others);
            preferred.insert(preferred.end(), others.begin(), others.end());
            if (preferred.size() < m_terms.gangSize) {
                full = full || unit.failures == 0;
                left.push_back(std::move(unit));
                continue;
            }
            preferred.resize(m_terms.gangSize);
            start(std::move(unit), std::move(preferred));
        }
        m_waiting = std::move(left);
    }

    void start(Unit unit, std::vector<std::uint32_t> workers)
    {
        Run run;
        run.startedAt = m_now;
        run.endsAt = m_now + fromMilliseconds(500 + m_random.below(1500));
        if (unit.alwaysFails || (!m_terms.ownFaultsRepeat && m_random.chance(m_terms.ownFaults))) {
            run.failing = 0;
        }
        for (std::uint32_t member = 0; member < workers.size(); ++member) {
            ++m_running[workers[member]];
            m_onTrial[workers[member]] = m_pool[workers[member]]->evidence.trialSince(m_now).has_value();
            if (m_terms.isBad && m_terms.isBad(workers[member], m_now)) {
                run.failing = member;
                run.endsAt = m_now + fromMilliseconds(200 + m_random.below(300));
            }
        }
        run.unit = std::move(unit);
        run.workers = std::move(workers);
        m_runs.push_back(std::move(run));
    }

    void endRuns()
    {
        std::vector<Run> left;
        for (Run &run : m_runs) {
            if (m_now < run.endsAt) {
                left.push_back(std::move(run));
                continue;
            }
            for (std::uint32_t member = 0; member < run.workers.size(); ++member) {
                --m_running[run.workers[member]];
                recordEnd(run, member);
            }
            if (run.failing == none) {
                ++m_result.completed;
                const auto second = static_cast<std::size_t>(toMilliseconds(m_now.time_since_epoch()) / 1000 - 1000);
                m_result.completedInSecond.resize(std::max(m_result.completedInSecond.size(), second + 1));
                ++m_result.completedInSecond[second];
                continue;
            }
            Unit unit = std::move(run.unit);
            unit.failedOn.insert(run.workers[run.failing]);
            if (++unit.failures >= m_terms.attempts) {
                ++m_result.failed;
                continue;
            }
            if (unit.failures + 1 == m_terms.attempts) {
                m_records.beginActing();
            }
            unit.waitingSince = m_now;
            m_waiting.push_front(std::move(unit));
        }
        m_runs = std::move(left);
    }

    void recordEnd(const Run &run, std::uint32_t member)
    {
        PooledRecord &record = *m_pool[run.workers[member]];
        const RecordedRun recorded{run.unit.number, run.unit.number * 1000 + member, run.startedAt};
        if (run.failing == none) {
            m_records.addSuccess(record, recorded);
            record.recent.consecutiveFailures = 0;
        } else if (run.failing == member) {
            m_records.addFailure(record, recorded, m_now);
            record.recent.suspectedUntil = m_now + fromMilliseconds(6000); // as PoolScheduler does while the records do not act
            m_records.addFailureInRow(record, fromMilliseconds(5000), m_now);
        }
    }

    void shuffle(std::vector<std::uint32_t> &workers)
    {
        for (std::size_t index = workers.size(); index > 1; --index) {
            std::swap(workers[index - 1], workers[m_random.below(static_cast<std::uint32_t>(index))]);
        }
    }

    PlayTerms m_terms;
    Random m_random;
    WorkerRecords m_records;
    std::vector<PooledRecord *> m_pool;
    std::vector<std::uint32_t> m_running; // tasks by worker
    std::vector<bool> m_onTrial; // by worker
    std::deque<Unit> m_waiting;
    std::vector<Run> m_runs;
    PlayResult m_result;
    TimePoint m_now{std::chrono::seconds(1000)};
    std::uint64_t m_units = 0;
};

} // namespace banyanlock
