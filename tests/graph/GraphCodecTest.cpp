#include "graph/GraphCodec.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

GraphRecord makeRecord()
{
    GraphRecord record;
    record.spec.payload = "work \"quoted\"";
    StepSpec first;
    first.tasks = 4;
    first.demand = {500, 256, 1};
    first.estimate = fromMilliseconds(900);
    first.homeRack = "rack-1";
    first.spreadLimit = 2;
    StepSpec second = first;
    second.after = {0};
    second.gang = true;
    second.preferOneRack = true;
    second.checkpoints = true;
    second.requiredLabel = "kind";
    record.spec.steps = {first, second};
    record.spec.repetition = {3, 1'700'000'000'000, 4500};
    record.terms = {"queue", "workspace", "service", 1, 3, 1.5, fromMilliseconds(500)};
    record.acceptedUnixMilliseconds = 1'700'000'000'001;
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GraphCodecTest)

BOOST_AUTO_TEST_CASE(specSurvivesRowRoundTrip)
{
    const GraphRecord record = makeRecord();
    GraphRecord decoded;
    BOOST_REQUIRE(decodeGraphSpec(encodeGraphSpec(record), decoded));
    BOOST_TEST(encodeGraphSpec(decoded) == encodeGraphSpec(record));
    BOOST_TEST(decoded.spec.steps[1].gang);
    BOOST_TEST(decoded.spec.steps[1].after[0] == 0U);
    BOOST_TEST(decoded.spec.repetition.count == 3U);
    BOOST_TEST(decoded.terms.slackFactor == 1.5);
}

BOOST_AUTO_TEST_CASE(progressSurvivesRowRoundTrip)
{
    GraphProgress progress;
    progress.state = GraphState::Running;
    progress.finishedOccurrences = 2;
    UnitProgress &unit = progress.units[{2, 1, 0}];
    unit.run = 3;
    unit.failures = 1;
    unit.checkpoint = "00ab";
    unit.places = {{{"worker", 17}, "10.0.0.1:7000"}};
    const std::optional<GraphProgress> decoded = decodeGraphProgress(encodeGraphProgress(progress));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(encodeGraphProgress(*decoded) == encodeGraphProgress(progress));
}

BOOST_AUTO_TEST_CASE(malformedRowsAreRejected)
{
    GraphRecord record;
    for (const char *text : {"", "{", "[]", "{}", R"({"payload":3})", R"({"payload":"","steps":[{"n":1}]})"}) {
        BOOST_TEST(!decodeGraphSpec(text, record), text);
        BOOST_TEST(!decodeGraphProgress(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(invalidSpecIsRejectedWithStepNumber)
{
    GraphSpec spec = makeRecord().spec;
    BOOST_TEST(checkGraphSpec(spec).empty());
    spec.steps[0].after = {1};
    BOOST_TEST(checkGraphSpec(spec).find("step 0") != std::string::npos);
    spec = makeRecord().spec;
    spec.steps[1].tasks = 0;
    BOOST_TEST(checkGraphSpec(spec).find("step 1") != std::string::npos);
    spec = makeRecord().spec;
    spec.payload.assign(5000, 'x');
    BOOST_TEST(!checkGraphSpec(spec).empty());
    spec = makeRecord().spec;
    spec.repetition = {5, 0, 0};
    BOOST_TEST(!checkGraphSpec(spec).empty());
    spec.steps.clear();
    BOOST_TEST(!checkGraphSpec(spec).empty());
}

BOOST_AUTO_TEST_CASE(progressOfAWorkerWithUnreadableBytesCanBeWritten)
{
    GraphProgress progress;
    progress.units[{0, 0, 0}].places = {{{"w\xff", 17}, "10.0.0.1:7000"}};
    BOOST_TEST(decodeGraphProgress(encodeGraphProgress(progress)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
