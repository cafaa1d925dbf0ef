#pragma once

#include "PoolWorld.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace banyanlock
{

/// Reports each violated invariant of a simulation as an error of the test.
inline void checkNoViolations(const PoolWorld &world)
{
    for (const std::string &violation : world.violations()) {
        BOOST_ERROR(violation);
    }
}

/// Checks that a job has completed and that no invariant was violated.
inline void checkCompleted(const PoolWorld &world, const std::string &job)
{
    BOOST_TEST(static_cast<int>(world.stateOf(job)) == static_cast<int>(GraphState::Completed));
    checkNoViolations(world);
}

/// Checks that the newest query of a job was answered with a state.
inline void checkShownAs(const PoolWorld &world, const std::string &job, GraphState state)
{
    BOOST_TEST(static_cast<int>(world.answerFor(job).outcome) == static_cast<int>(CallOutcome::Answered));
    BOOST_TEST(static_cast<int>(world.answerFor(job).state) == static_cast<int>(state));
}

} // namespace banyanlock
