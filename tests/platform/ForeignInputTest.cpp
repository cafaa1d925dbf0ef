#include "graph/GraphCodec.h"
#include "platform/PlatformAdapter.h"
#include "platform/WorkerPort.h"
#include "support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace banyanlock::platform
{
namespace
{

constexpr std::size_t manyLevels = 100'000;

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t position = text.find(from);
    BOOST_REQUIRE_MESSAGE(position != std::string::npos, from);
    return text.replace(position, from.size(), to);
}

ServerRequest announcement(const std::string &id, const std::string &body)
{
    ServerRequest request;
    request.method = "PUT";
    request.path = "/api/instances/" + id;
    request.body = body;
    return request;
}

const std::string goodAnnouncement = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"draining",)"
                                     R"("remainingMs":7000,"capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"seq":4,)"
                                     R"("born":1700000000000})";

const std::string goodSubmission
    = R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,"gpu":1,"estimateMs":900},)"
      R"({"count":2,"antiAffinity":1,"after":[0]}],"repeatCount":3,"firstRunMs":1700000000000,"intervalMs":4500})";

const std::string goodLists = R"({"clockMs":482113,"born":1700000000000,"running":[["5c0e.0.1.17",2,"bb",41]],)"
                              R"("finished":[[58,"5c0e.0.1.9",1,"done",""]]})";

const std::vector<std::string> oddNumbers{
    "1e300", "-1e300", "1e400", "-1",  "18446744073709551615", "18446744073709551616", "9223372036854775808", "\"4\"", "null",
    "[4]",   "{}",     "true",  "1e18"};

bool isSubmissionValid(const std::string &text)
{
    const Result<GraphSpec> spec = PlatformAdapter::decodeSubmission(text);
    return isOk(spec) && checkGraphSpec(valueOf(spec)).empty();
}

/// Client of a scripted worker.
struct WorkerFixture {
    static constexpr std::uint16_t port = 18733;

    Counters counters;
    EventLoop loop;
    HttpClient http{4};
    ScriptedServer server{loop, counters, port};
    WorkerPort worker{"http://127.0.0.1:" + std::to_string(port), loop, http};

    std::optional<WorkerLists> listsOf(const std::string &body)
    {
        server.bodies = {body};
        std::optional<WorkerLists> received;
        worker.renew({}, [&](const RenewalAnswer &answer) {
            received = answer.lists;
            loop.stop();
        });
        loop.run();
        return received;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ForeignInput)

BOOST_AUTO_TEST_CASE(submissionWithUnreadableBytesIsAnsweredWithAnError)
{
    for (const std::string body : {"\"\xff\xfe", "{\"spec\":\"\xc3\x28\",\"phases\":[]}", "\xff", "{\"phases\":\"\xff\"}"}) {
        const Result<GraphSpec> spec = PlatformAdapter::decodeSubmission(body);
        BOOST_REQUIRE(!isOk(spec));
        CallAnswer answer;
        answer.outcome = CallOutcome::Malformed;
        answer.reason = errorOf(spec).detail;
        const ServerResponse response = PlatformAdapter::encodeAnswer(PoolCall(), answer);
        BOOST_TEST(response.status == 400);
        BOOST_TEST(nlohmann::json::accept(*response.body));
    }
}

BOOST_AUTO_TEST_CASE(errorsOfLargeSubmissionsAreShort)
{
    const Result<GraphSpec> spec = PlatformAdapter::decodeSubmission("\"" + std::string(1'000'000, 'x'));
    BOOST_REQUIRE(!isOk(spec));
    CallAnswer answer;
    answer.outcome = CallOutcome::Malformed;
    answer.reason = errorOf(spec).detail;
    BOOST_TEST(PlatformAdapter::encodeAnswer(PoolCall(), answer).body->size() < 2000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock::platform
