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

// Guards against progress that is lost or altered when it is recorded in several rows.
BOOST_AUTO_TEST_CASE(progressIsSplitIntoRowsAndJoined)
{
    GraphProgress progress;
    progress.state = GraphState::Running;
    for (std::uint32_t index = 0; index < 100; ++index) {
        progress.units[{0, 0, index}].places = {{{"w" + std::to_string(index), 17}, "10.0.0.1:7000"}};
    }
    const std::string whole = encodeGraphProgress(progress);
    const ProgressRows single = encodeProgressRows(progress, whole.size());
    BOOST_TEST(single.head == whole);
    BOOST_TEST(single.continuations.empty());
    BOOST_TEST(continuationCountOf(whole) == 0U);
    for (const std::size_t limit : {whole.size() - 1, whole.size() / 2, std::size_t(100)}) {
        const ProgressRows rows = encodeProgressRows(progress, limit);
        BOOST_TEST(rows.head.size() <= limit);
        BOOST_TEST(continuationCountOf(rows.head) == rows.continuations.size());
        BOOST_TEST(joinProgressRows(rows.head, rows.continuations) == whole);
        BOOST_TEST(!decodeGraphProgress(rows.head).has_value()); // never read as progress without units
        const std::optional<GraphProgress> head = decodeGraphProgressHead(rows.head);
        BOOST_REQUIRE(head.has_value());
        BOOST_TEST((head->state == GraphState::Running));
        std::vector<std::string> incomplete = rows.continuations;
        incomplete.pop_back();
        BOOST_TEST(!decodeGraphProgress(joinProgressRows(rows.head, incomplete)).has_value());
    }
    for (const std::string count : {"-1", "101", "4294967296", "[]", "\"3\"", ""}) {
        BOOST_TEST(continuationCountOf(R"({"finished":0,"state":"running","units":)" + count + "}") == 0U, count);
    }
}

BOOST_AUTO_TEST_CASE(specRowsWithImpossibleNumbersAreRejected)
{
    const std::string text = encodeGraphSpec(makeRecord());
    GraphRecord record;
    BOOST_REQUIRE(decodeGraphSpec(text, record));
    for (const std::string field :
         {R"("n":4)", R"("d":[500,256,1])", R"("e":900000)", R"("a":[0])", R"("s":2)", R"("priority":1)", R"("attempts":3)",
          R"("slack":1.5)", R"("target":500000)", R"("accepted":1700000000001)", R"("repeat":[3,1700000000000,4500])"}) {
        const std::size_t position = text.find(field);
        BOOST_REQUIRE_MESSAGE(position != std::string::npos, field);
        const std::size_t number = position + field.find_last_of(":[,") + 1;
        const std::size_t end = text.find_first_of(",]}", number);
        for (const std::string odd : {"1e300", "-1e300", "1e18", "-9223372036854775808", "9223372036854775807", "18446744073709551616",
                                      "1e400", "null", "\"7\"", "[7]", "{}"}) {
            std::string changed = text;
            changed.replace(number, end - number, odd);
            BOOST_TEST(!decodeGraphSpec(changed, record), field << " as " << odd);
        }
    }
}

BOOST_AUTO_TEST_CASE(progressRowsWithImpossibleNumbersAreRejected)
{
    for (const std::string odd : {"1e300", "-1", "4294967296", "18446744073709551616", "1.5", "1e400", "null", "[7]"}) {
        for (const std::string unit :
             {"[X,0,0,false,0,1,\"\",[]]", "[0,X,0,false,0,1,\"\",[]]", "[0,0,X,false,0,1,\"\",[]]", "[0,0,0,false,X,1,\"\",[]]",
              "[0,0,0,false,0,X,\"\",[]]", "[0,0,0,false,0,1,\"\",[[\"w\",-9223372036854775809,\"10.0.0.1:7000\"]]]"}) {
            std::string text = R"({"state":"running","finished":0,"units":[)" + unit + "]}";
            if (const std::size_t position = text.find('X'); position != std::string::npos) {
                text.replace(position, 1, odd);
            }
            BOOST_TEST(!decodeGraphProgress(text).has_value(), text);
        }
    }
    for (const std::string address : {"", "10.0.0.1:70000", "10.0.0.1:0", "unix:/socket", "10.0.0.1"}) {
        const std::string text = R"({"state":"running","finished":0,"units":[[0,0,0,false,0,1,"",[["w",17,")" + address + R"("]]]]})";
        BOOST_TEST(!decodeGraphProgress(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(deeplyNestedRowsAreRejected)
{
    constexpr std::size_t levels = 100'000;
    const std::string nested = std::string(levels, '[') + std::string(levels, ']');
    GraphRecord record;
    for (const std::string &text : {nested, std::string(levels, '['), R"({"units":)" + nested + R"(,"state":"queued","finished":0})"}) {
        BOOST_TEST(!decodeGraphProgress(text).has_value());
        BOOST_TEST(!decodeGraphSpec(text, record));
    }
    std::string text = encodeGraphSpec(makeRecord());
    text.insert(1, R"("extra":)" + nested + ",");
    BOOST_TEST(!decodeGraphSpec(text, record));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
