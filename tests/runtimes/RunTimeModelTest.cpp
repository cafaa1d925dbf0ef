#include "runtimes/RunTimeModel.h"
#include "core/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <string>
#include <vector>

namespace banyanlock
{
namespace
{

const RunTimeKey key{"queue", {7500, 20000, 8}, true};

Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Runs of a queue with true run times around 2 s; `error` is the largest relative error of the declared times.
struct Queue {
    Random random;
    double error;
    std::uint32_t steps = 0;

    /// Draws the true and the declared run time of the next step.
    std::pair<Duration, Duration> draw()
    {
        const double spread = 0.6 + random.unit() * 0.9;
        const Duration actual = scaled(fromMilliseconds(2000), spread);
        return {actual, scaled(actual, 1.0 - error + 2.0 * error * random.unit())};
    }

    void teach(RunTimeModel &model, std::uint32_t count)
    {
        for (std::uint32_t number = 0; number < count; ++number) {
            const auto [actual, declared] = draw();
            model.addRun(key, {"job" + std::to_string(steps++), 0}, declared, actual);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RunTimeModelTest)

BOOST_AUTO_TEST_CASE(accurateDeclaredTimesAreKept)
{
    // Guards against a change for deployments whose declared times are off by up to a half.
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RunTimeModel model;
        Queue queue{Random(seed), 0.5};
        queue.teach(model, 40);
        BOOST_TEST(model.contradictedKeys() == 0U);
        const RunTimeForecast forecast = model.forecast(key, {"next", 0}, fromMilliseconds(1234));
        BOOST_TEST(forecast.expected.count() == fromMilliseconds(1234).count());
        BOOST_TEST(!forecast.learned);
    }
}

BOOST_AUTO_TEST_CASE(contradictedDeclaredTimesAreReplacedByBetterForecasts)
{
    // Guards against plans that rest on declared times which are off by up to nine tenths.
    double declaredError = 0.0;
    double forecastError = 0.0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RunTimePolicy policy;
        policy.use = RunTimeUse::Always;
        RunTimeModel model(policy);
        Queue queue{Random(seed), 0.9};
        queue.teach(model, 40);
        for (int probe = 0; probe < 20; ++probe) {
            const auto [actual, declared] = queue.draw();
            const double truth = std::log(static_cast<double>(actual.count()));
            const Duration expected = model.forecast(key, {"probe", 0}, declared).expected;
            declaredError += std::abs(std::log(static_cast<double>(declared.count())) - truth);
            forecastError += std::abs(std::log(static_cast<double>(expected.count())) - truth);
        }
    }
    // A forecast that is half as wrong finds the jobs that are about to miss their objective.
    BOOST_TEST(forecastError < declaredError / 2);
}

BOOST_AUTO_TEST_CASE(runsOfAStepForecastItsOtherRuns)
{
    // Guards against waiting for tasks whose siblings have shown how long they take.
    RunTimePolicy policy;
    policy.use = RunTimeUse::Always;
    RunTimeModel model(policy);
    model.addRun(key, {"job", 0}, fromMilliseconds(1000), fromMilliseconds(8000));
    const RunTimeForecast forecast = model.forecast(key, {"job", 0}, fromMilliseconds(1000));
    BOOST_TEST(toMilliseconds(forecast.expected) >= 7900);
    BOOST_TEST(toMilliseconds(forecast.expected) <= 8100);
}

BOOST_AUTO_TEST_CASE(stragglersDoNotMoveTheForecast)
{
    // Guards against a few runs that take seven times as long as usual and make every job of the queue seem late.
    RunTimePolicy policy;
    policy.use = RunTimeUse::Always;
    RunTimeModel model(policy);
    Random random(7);
    for (int number = 0; number < 200; ++number) {
        const Duration usual = fromMilliseconds(2000 + random.below(200));
        model.addRun(key, {"job" + std::to_string(number), 0}, fromMilliseconds(2000), number % 30 == 29 ? usual * 7 : usual);
    }
    BOOST_TEST(toMilliseconds(model.forecast(key, {"next", 0}, fromMilliseconds(2000)).expected) < 2300);
    BOOST_TEST(!model.isSlow(key, {"next", 0}, fromMilliseconds(2000), fromMilliseconds(14000)));
    BOOST_TEST(model.isSlow(key, {"next", 0}, fromMilliseconds(2000), fromMilliseconds(5500)));
}

BOOST_AUTO_TEST_CASE(remainingTimeIsNeverZero)
{
    // Guards against a run past its forecast that is expected to end at once for ever.
    const RunTimeForecast forecast{fromMilliseconds(2000), 0.5, true};
    BOOST_TEST(toMilliseconds(RunTimeModel::remaining(forecast, fromMilliseconds(500), 0)) == 1500);
    BOOST_TEST(toMilliseconds(RunTimeModel::remaining(forecast, fromMilliseconds(8000), 0)) == 2000);
    BOOST_TEST(toMilliseconds(RunTimeModel::remaining(forecast, fromMilliseconds(4000), 40)) == 6000);
    BOOST_TEST(RunTimeModel::remaining(forecast, fromMilliseconds(2000), 100).count() > 0);
}

BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    // Guards against an owner that grows with each queue, shape and job it has ever seen.
    RunTimePolicy policy;
    policy.use = RunTimeUse::Always;
    policy.maxKeys = 4;
    policy.maxSteps = 8;
    RunTimeModel model(policy);
    for (int number = 0; number < 100; ++number) {
        model.addRun({"queue" + std::to_string(number), {}, false}, {"job" + std::to_string(number), 0}, fromMilliseconds(100),
                     fromMilliseconds(900));
    }
    BOOST_TEST(!model.forecast({"queue0", {}, false}, {"job0", 0}, fromMilliseconds(100)).learned);
    BOOST_TEST(model.forecast({"queue99", {}, false}, {"job99", 0}, fromMilliseconds(100)).learned);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
