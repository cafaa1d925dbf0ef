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

/// Selects the cell for a job.
class JobRouter
{
public:
    /// @param fleet All workers of the platform.
    /// @param configuration Current configuration.
    /// @param plan Reservations for the guarantees.
    /// @param jobs All known jobs.
    JobRouter(const Fleet &fleet, const Configuration &configuration, const ReservationPlan &plan, const JobTable &jobs)
        : m_fleet(fleet)
        , m_configuration(configuration)
        , m_plan(plan)
        , m_jobs(jobs)
    {
    }

    /// Selects a cell that would fit the job if it were empty. Prefers cells that are in service over cells that are out, then cells by
    /// free capacity: single-task jobs go to the fullest cell that still has enough, gangs to the emptiest.
    /// @param spec Specification of the job.
    /// @param avoided Cell to exclude; may be empty.
    /// @return Cell, or nothing if the job fits no cell.
    std::optional<std::string> chooseCell(const JobSpec &spec, std::string_view avoided) const;

    /// Selects a cell that is in service and is estimated to have enough free capacity for the job now.
    /// @param spec Specification of the job.
    /// @param current Cell that the job is assigned to now; excluded.
    /// @return Cell, or nothing if there is none.
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
