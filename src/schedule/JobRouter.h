#pragma once

#include "contract/Configuration.h"
#include "placement/Fleet.h"
#include "placement/ReservationPlan.h"
#include "schedule/JobTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Picks the cell for a job.
class JobRouter
{
public:
    /// @param fleet All workers.
    /// @param configuration Adopted configuration.
    /// @param plan Reservations of the guarantees.
    /// @param jobs All jobs.
    JobRouter(const Fleet &fleet, const Configuration &configuration, const ReservationPlan &plan, const JobTable &jobs)
        : m_fleet(fleet)
        , m_configuration(configuration)
        , m_plan(plan)
        , m_jobs(jobs)
    {
    }

    /// Picks a cell that could hold the job if it were empty; the one with the most room, cells that are in before those that are out.
    /// @param spec The job.
    /// @param avoided A cell that shall not be picked; may be empty.
    /// @return The cell, or nothing if no cell can ever hold the job.
    std::optional<std::string> chooseCell(const JobSpec &spec, std::string_view avoided) const;

    /// Picks a cell that is in and seems to have room for the job now.
    /// @param spec The job.
    /// @param current The cell that it is in.
    /// @return The cell, or nothing.
    std::optional<std::string> chooseCellWithCapacity(const JobSpec &spec, std::string_view current) const;

private:
    bool fitsWhenEmpty(const JobSpec &spec, std::string_view cell) const;
    std::int64_t freeCapacity(const JobSpec &spec, std::string_view cell) const;

    const Fleet &m_fleet;
    const Configuration &m_configuration;
    const ReservationPlan &m_plan;
    const JobTable &m_jobs;
};

} // namespace banyanlock
