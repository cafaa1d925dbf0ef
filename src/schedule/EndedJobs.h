#pragma once

#include "core/Time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Ended jobs in the order in which this process observed their end, kept until their retention period has passed.
///
/// The age counts from the observation, so clocks need not be synchronised. A new process starts counting from zero.
class EndedJobs
{
public:
    /// @param retention Retention period of ended jobs.
    explicit EndedJobs(Duration retention)
        : m_retention(retention)
    {
    }

    /// Adds a job that has ended.
    /// @param job Id of the job.
    /// @param now Current time.
    void add(std::string job, TimePoint now)
    {
        m_jobs.push_back({std::move(job), now});
    }

    /// Removes jobs whose retention period has passed.
    /// @param now Current time.
    /// @param maxCount Maximum number of jobs to remove.
    /// @return Ids of the removed jobs, oldest first.
    std::vector<std::string> takeExpired(TimePoint now, std::size_t maxCount)
    {
        std::vector<std::string> expired;
        while (expired.size() < maxCount && !m_jobs.empty() && now - m_jobs.front().observedAt >= m_retention) {
            expired.push_back(std::move(m_jobs.front().id));
            m_jobs.pop_front();
        }
        return expired;
    }

private:
    struct EndedJob {
        std::string id;
        TimePoint observedAt{};
    };

    Duration m_retention;
    std::deque<EndedJob> m_jobs;
};

} // namespace banyanlock
