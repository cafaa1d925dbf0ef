#pragma once

#include "core/Time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Jobs that have ended, in the order in which this process learned it, until they are old enough to be erased.
///
/// The age counts from the learning, so no clocks need to agree; a new process counts anew.
class EndedJobs
{
public:
    /// @param retention Time for which ended jobs are kept.
    explicit EndedJobs(Duration retention)
        : m_retention(retention)
    {
    }

    /// Takes in that a job has ended.
    /// @param job Id of the job.
    /// @param now Current time.
    void add(std::string job, TimePoint now)
    {
        m_jobs.push_back({std::move(job), now});
    }

    /// Takes out jobs that have been kept for long enough.
    /// @param now Current time.
    /// @param maxCount Most jobs to take out.
    /// @return Their ids, the oldest first.
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
