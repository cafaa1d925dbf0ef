#include "admission/LoadAdmission.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace banyanlock;

namespace
{

constexpr Duration second = fromMilliseconds(1000);

/// A pool of 100 cores and 100 accelerators with 60 s of waiting work of priority 0; work of priority 1 waits and does not start.
KnownBacklog heldUp()
{
    KnownBacklog known;
    known.figure.epoch = 7;
    known.figure.ownedMilliseconds = 60'000;
    known.figure.capacity = {100'000, 100'000};
    known.figure.priorities = {{{6'000'000, 6'000'000}, {90'000, 90'000}}, {{1'000, 1'000}, {0, 0}}};
    known.ownerEpoch = 7;
    return known;
}

/// Its result is of use for 30 s.
LoadSubmission submissionOf(std::uint32_t priority)
{
    return {priority, false, false, 10 * second, 2 * second, {1000, 100, 1}};
}

bool isRefused(const KnownBacklog &known, const LoadSubmission &submission = submissionOf(1))
{
    return refuseForLoad(submission, known).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTest)

// Guards against a refusal of a job whose result could still be of use, and against a queue of jobs that can't be.
BOOST_AUTO_TEST_CASE(onlyJobsThatAreCertainlyUselessAreRefused)
{
    BOOST_TEST(certainWait(submissionOf(1), heldUp()).count() == Duration(60 * second).count());
    BOOST_TEST(refuseForLoad(submissionOf(1), heldUp()).value().count() == Duration(32 * second).count());
    LoadSubmission patient = submissionOf(1);
    patient.objective = 62 * second / 3 + Duration(1);
    BOOST_TEST(!isRefused(heldUp(), patient));
    KnownBacklog fast = heldUp();
    fast.figure.priorities[0].drained = {300'000, 300'000}; // forecasts are too long: the work ahead is gone after 20 s
    BOOST_TEST(!isRefused(fast));
    KnownBacklog served = heldUp();
    served.figure.priorities[1].drained = {1, 1}; // the next of its priority starts although higher ones wait
    BOOST_TEST(!isRefused(served));
    KnownBacklog idle = heldUp();
    idle.figure.priorities[1].waiting = {0, 0}; // nothing shows that the priority is held up
    BOOST_TEST(!isRefused(idle));
    KnownBacklog light = heldUp();
    light.figure.priorities[0].waiting = {99'000, 99'000};
    LoadSubmission instant = submissionOf(1);
    instant.objective = Duration::zero();
    instant.needed = Duration::zero();
    BOOST_TEST(!isRefused(light, instant)); // a wait of a second is usual
}

// Guards against a refusal because of a resource that the job doesn't need.
BOOST_AUTO_TEST_CASE(onlyNeededResourcesCount)
{
    KnownBacklog known = heldUp();
    known.figure.priorities[0].waiting.processors = 0;
    LoadSubmission submission = submissionOf(1);
    BOOST_TEST(isRefused(known, submission));
    submission.demand.accelerators = 0;
    BOOST_TEST(!isRefused(known, submission));
}

// Guards against refusals that break a rule: guarantees, due times, large jobs, and the highest priority, which nothing precedes.
BOOST_AUTO_TEST_CASE(rulesPrecedeLoad)
{
    LoadSubmission guaranteed = submissionOf(0);
    guaranteed.guaranteed = true;
    KnownBacklog known = heldUp();
    known.figure.priorities[0].drained = {0, 0};
    BOOST_TEST(!isRefused(known, guaranteed));
    BOOST_TEST(!isRefused(known, submissionOf(0)));
    BOOST_TEST(isRefused(known));
    LoadSubmission repeated = submissionOf(1);
    repeated.repeated = true;
    BOOST_TEST(!isRefused(known, repeated));
    LoadSubmission large = submissionOf(1);
    large.needed = 3600 * second;
    BOOST_TEST(!isRefused(known, large)); // useless without any load: not refused for its size
    large.objective = 3600 * second;
    BOOST_TEST(!isRefused(known, large));
    BOOST_TEST(!isRefused(known, submissionOf(2))); // not in the figure
}

// Guards against refusals from a figure that no longer holds: stale, of a lost owner, of a new one, or of a clock that jumped.
BOOST_AUTO_TEST_CASE(unreliableFigureRefusesNothing)
{
    BOOST_TEST(!refuseForLoad(submissionOf(1), std::nullopt).has_value());
    KnownBacklog known = heldUp();
    known.age = 2 * second;
    BOOST_TEST(isRefused(known));
    for (const Duration age : {2 * second + Duration(1), Duration(-1), Duration::max(), Duration::min()}) {
        known.age = age;
        BOOST_TEST(!isRefused(known));
    }
    known = heldUp();
    known.ownerEpoch = 8; // the owner was replaced between publishing and use
    BOOST_TEST(!isRefused(known));
    known = heldUp();
    known.figure.ownedMilliseconds = 4999;
    BOOST_TEST(!isRefused(known));
    known.figure.ownedMilliseconds = 5000;
    BOOST_TEST(isRefused(known));
    known.figure.capacity = {0, 0};
    known.figure.priorities[0].drained = {0, 0};
    BOOST_TEST(!isRefused(known));
}

// Guards against overflow: undefined behaviour on a submission or a figure with extreme values.
BOOST_AUTO_TEST_CASE(extremeValuesAreSafe)
{
    KnownBacklog known = heldUp();
    known.figure.capacity = {1, 1};
    known.figure.priorities[0] = {{std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max()}, {0, 0}};
    LoadSubmission submission = submissionOf(1);
    BOOST_TEST(isRefused(known, submission));
    submission.objective = Duration::max();
    submission.needed = Duration::max();
    BOOST_TEST(!isRefused(known, submission));
    submission.objective = Duration::min();
    submission.needed = Duration::min();
    BOOST_TEST(isRefused(known, submission));
}

// Guards against returns at one time, which would refuse the same callers again, and against times outside what a caller is told.
BOOST_AUTO_TEST_CASE(returnsAreSpread)
{
    RetrySchedule schedule;
    const TimePoint now{1000 * second};
    std::array<int, 10> perQuarterSecond{};
    constexpr int callers = 2000;
    for (int caller = 0; caller < callers; ++caller) {
        const Duration retry = schedule.retryAfter("job-" + std::to_string(caller), 60 * second, now);
        BOOST_REQUIRE((retry >= 7500 * second / 1000 && retry < 10 * second));
        ++perQuarterSecond.at(static_cast<std::size_t>((retry - 7500 * second / 1000) / (second / 4)));
    }
    for (const int count : perQuarterSecond) {
        BOOST_TEST(count < 2 * callers / 10); // at most twice the even share
    }
    BOOST_TEST((schedule.retryAfter("short", Duration(1), now) >= second));
    BOOST_TEST((schedule.retryAfter("longest", Duration::max(), now) <= 10 * second));
}

// Guards against callers that are overtaken at each try by new ones.
BOOST_AUTO_TEST_CASE(longestWaitReturnsFirst)
{
    RetrySchedule schedule;
    const TimePoint begin{1000 * second};
    const TimePoint now = begin + 5 * second;
    for (int caller = 0; caller < 100; ++caller) {
        schedule.retryAfter("old-" + std::to_string(caller), 10 * second, begin);
    }
    Duration lastOld{};
    Duration firstNew = Duration::max();
    for (int caller = 0; caller < 100; ++caller) {
        lastOld = std::max(lastOld, schedule.retryAfter("old-" + std::to_string(caller), 10 * second, now));
        firstNew = std::min(firstNew, schedule.retryAfter("new-" + std::to_string(caller), 10 * second, now));
    }
    BOOST_TEST((lastOld < firstNew));
    // A clock that was set back counts as no wait.
    BOOST_TEST((schedule.retryAfter("old-1", 10 * second, begin - 100 * second) <= 10 * second));
}

// Guards against memory that grows with the number of callers.
BOOST_AUTO_TEST_CASE(rememberedJobsAreBounded)
{
    RetrySchedule schedule;
    const TimePoint now{1000 * second};
    for (int caller = 0; caller < 10'000; ++caller) {
        schedule.retryAfter("job-" + std::to_string(caller), second, now);
    }
    BOOST_TEST(schedule.size() <= 4096U);
    schedule.retryAfter("later", second, now + 61 * second);
    BOOST_TEST(schedule.size() == 1U);
}

// Guards against a row that grows past its bound, and against a figure that changes on its way.
BOOST_AUTO_TEST_CASE(figureSurvivesItsEncoding)
{
    BOOST_TEST((decodeBacklog(encodeBacklog(heldUp().figure)) == heldUp().figure));
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    BacklogFigure largest{std::numeric_limits<std::uint64_t>::max(), most, {most, most}, {}};
    largest.priorities.assign(20, {{most, most}, {most, -most}});
    const std::string text = encodeBacklog(largest);
    BOOST_TEST(text.size() <= maxBacklogBytes);
    const std::optional<BacklogFigure> decoded = decodeBacklog(text);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->priorities.size() == maxBacklogPriorities);
    BOOST_TEST(decoded->priorities[0].drained.accelerators == 0);
}

// Guards against an entry that fails, or refuses jobs, because of a damaged or newer row.
BOOST_AUTO_TEST_CASE(badTextIsNoFigure)
{
    const std::string good = R"({"epoch":7,"owned_ms":1,"capacity":[1,1],"priorities":[[[1,1],[1,1]]],"later_field":{}})";
    BOOST_TEST(decodeBacklog(good).has_value());
    for (std::size_t length = 0; length < good.size(); ++length) {
        BOOST_TEST(!decodeBacklog(good.substr(0, length)).has_value());
    }
    for (const char *bad :
         {"[]", "null", "7", R"({"epoch":-1,"owned_ms":1,"capacity":[1,1],"priorities":[]})",
          R"({"epoch":7,"owned_ms":-1,"capacity":[1,1],"priorities":[]})", R"({"epoch":7,"owned_ms":1,"capacity":[1],"priorities":[]})",
          R"({"epoch":7,"owned_ms":1,"capacity":[1,1e300],"priorities":[]})",
          R"({"epoch":7,"owned_ms":1,"capacity":[1,"1"],"priorities":[]})", R"({"epoch":7,"owned_ms":1,"capacity":[1,1],"priorities":{}})",
          R"({"epoch":7,"owned_ms":1,"capacity":[1,1],"priorities":[[]]})",
          R"({"epoch":7,"owned_ms":1,"capacity":[1,1],"priorities":[[[1,1],[1,-1]]]})",
          R"({"epoch":7,"owned_ms":1,"capacity":[1,1],"priorities":[1,2]})", R"({"epoch":7,"owned_ms":1,"capacity":[1,1]})"}) {
        BOOST_TEST(!decodeBacklog(bad).has_value(), bad);
    }
    BOOST_TEST(!decodeBacklog(good + std::string(maxBacklogBytes, ' ')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
