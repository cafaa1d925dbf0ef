#include "core/JsonInput.h"
#include "core/TableTypes.h"
#include "graph/GraphCodec.h"
#include "platform/Base64.h"
#include "platform/PlatformAdapter.h"
#include "support/AnnouncementRequest.h"
#include "support/RandomText.h"
#include "support/WireRoundTrip.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;
using platform::PlatformAdapter;

constexpr std::size_t maxSpecBytes = 4000;

/// @return Body of a submission with these texts.
std::string submissionOf(const std::string &spec, const std::string &label, const std::string &rack)
{
    const Json phase{{"count", 1}, {"cpu", 1000}, {"requirements", label}, {"affinity", rack}};
    return Json{{"spec", spec}, {"phases", {phase}}}.dump();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedPropertySeed);

BOOST_AUTO_TEST_SUITE(SubmittedTextTest)

// Guards against a task that is started with another text than the caller submitted (review case 8): from the submission by way of the
// stored row and the order to the agent.
BOOST_AUTO_TEST_CASE(submittedTextsReachTheAgentUnchanged)
{
    BOOST_TEST(rc::check([] {
        const std::string spec = *anyJsonText(maxSpecBytes);
        const std::string label = *anyJsonText(100);
        const std::string rack = *anyJsonText(100);
        const Result<GraphSpec> submitted = PlatformAdapter::decodeSubmission(submissionOf(spec, label, rack));
        RC_ASSERT(isOk(submitted));
        RC_ASSERT(checkGraphSpec(valueOf(submitted)).empty());
        GraphRecord accepted;
        accepted.spec = valueOf(submitted);
        accepted.terms = {"r", "t", "s", 0, 3, 1.5, fromMilliseconds(500)};
        const std::string row = encodeGraphSpec(accepted);
        RC_ASSERT(row.size() <= TableLimits().rowBytes);
        const std::optional<std::string> stored = platform::decodeBase64(platform::encodeBase64(row));
        RC_ASSERT(stored.has_value());
        GraphRecord recorded;
        RC_ASSERT(decodeGraphSpec(*stored, recorded));
        RC_ASSERT(recorded.spec.steps.front().requiredLabel == label);
        RC_ASSERT(recorded.spec.steps.front().homeRack == rack);
        SuperviseRequest request;
        request.orders.resize(1);
        request.orders.front().payload = recorded.spec.payload;
        RC_ASSERT(receivedAs<wire::SuperviseRequest>(request).orders.front().payload == spec);
    }));
}

// Guards against a text that is stored although it can't be handed on unchanged: the caller is told so instead.
BOOST_AUTO_TEST_CASE(textThatIsNotUnicodeIsRefused)
{
    for (const std::string text : {"\"\xff\"", "\"\xc3\"", "\"\xed\xa0\x80\"", R"("\ud800")", R"("\udc00 \ud800")"}) {
        const Result<GraphSpec> submitted = PlatformAdapter::decodeSubmission("{\"spec\":" + text + ",\"phases\":[{\"count\":1}]}");
        BOOST_TEST(!isOk(submitted), text);
    }
}

// Guards against labels, racks and service names of a worker that no longer match what jobs ask for.
BOOST_AUTO_TEST_CASE(announcedTextsReachTheOwnerUnchanged)
{
    BOOST_TEST(rc::check([] {
        const std::string label = *anyJsonText(100);
        const Json body{{"service", "s"},    {"zone", "z"}, {"state", "ready"}, {"capacity", {{"cpu", 1}}},
                        {"labels", {label}}, {"born", 1},   {"seq", 1}};
        const Result<WorkerAnnouncement> announcement = PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", body.dump()));
        RC_ASSERT(isOk(announcement));
        WorkerStatus status;
        status.worker = valueOf(announcement);
        RC_ASSERT(receivedAs<wire::WorkerStatus>(status).worker.labels == std::vector{label});
    }));
}

// Names that become part of row keys have no control characters.
BOOST_AUTO_TEST_CASE(namesWithControlCharactersAreRefused)
{
    for (const char *field : {"service", "zone"}) {
        Json body{{"service", "s"}, {"zone", "z"}, {"state", "ready"}, {"capacity", {{"cpu", 1}}}, {"born", 1}, {"seq", 1}};
        body[field] = std::string("a\0b", 3);
        const Result<WorkerAnnouncement> announcement = PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", body.dump()));
        BOOST_REQUIRE(!isOk(announcement));
        BOOST_TEST(errorOf(announcement).detail.find(field) != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
