#include "platform/PlatformAdapter.h"
#include "platform/Base64.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock::platform
{
namespace
{

ServerRequest makeRequest(const std::string &method, const std::string &path, const std::string &body = "")
{
    ServerRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"host", "queue.example:8080"}, {"Api-Key", "secret"}, {"Deadline-Ms", "2500"}};
    return request;
}

const std::string goodAnnouncement = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready",)"
                                     R"("coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"clockMs":1,)"
                                     R"("seq":4,"born":1700000000000})";

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformAdapterTest)

BOOST_AUTO_TEST_CASE(base64RoundTrip)
{
    for (const std::string &text : std::vector<std::string>{"", "a", "ab", "abc", "abcd", std::string("\0\xff\x10", 3)}) {
        BOOST_TEST(decodeBase64(encodeBase64(text)).value() == text);
    }
    BOOST_TEST(encodeBase64("node-1") == "bm9kZS0x");
    BOOST_TEST(!decodeBase64("not base64!").has_value());
    BOOST_TEST(!decodeBase64("a").has_value());
}

BOOST_AUTO_TEST_CASE(callsAreDecoded)
{
    const std::optional<PoolCall> call = PlatformAdapter::decodeCall(makeRequest("DELETE", "/q/5c0e"));
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST(static_cast<int>(call->kind) == static_cast<int>(CallKind::Cancel));
    BOOST_TEST(call->host == "queue.example");
    BOOST_TEST(call->key.value() == "secret");
    BOOST_TEST(toMilliseconds(call->deadline.value()) == 2500);
    BOOST_TEST(!PlatformAdapter::decodeCall(makeRequest("PATCH", "/q/5c0e")).has_value());
}

BOOST_AUTO_TEST_CASE(submissionIsDecodedIntoSteps)
{
    const Result<GraphSpec> spec = PlatformAdapter::decodeSubmission(
        R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},)"
        R"({"count":2,"cpu":2000,"gpu":2,"after":[0],"gang":true,"sameRack":true,"requirements":"a","antiAffinity":1,"checkpointing":true}],)"
        R"("repeatCount":3,"firstRunMs":1700000000000,"intervalMs":4500})");
    BOOST_REQUIRE(isOk(spec));
    const GraphSpec &graph = valueOf(spec);
    BOOST_TEST(graph.payload == "text");
    BOOST_TEST(graph.steps[0].homeRack == "r1-3");
    BOOST_TEST(graph.steps[0].demand.processors == 500);
    BOOST_TEST(graph.steps[1].gang);
    BOOST_TEST(graph.steps[1].preferOneRack);
    BOOST_TEST(graph.steps[1].spreadLimit == 1U);
    BOOST_TEST(graph.steps[1].requiredLabel == "a");
    BOOST_TEST(graph.repetition.intervalMilliseconds == 4500);
}

BOOST_AUTO_TEST_CASE(malformedSubmissionsAreRejected)
{
    for (const char *text :
         {"", "{", "3", "{}", R"({"phases":3})", R"({"phases":[{"count":"four"}]})", R"({"phases":[{"after":[-1.5]}],"spec":7})"}) {
        BOOST_TEST(!isOk(PlatformAdapter::decodeSubmission(text)), text);
    }
}

BOOST_AUTO_TEST_CASE(malformedAnnouncementsAreRejected)
{
    const ServerRequest good = makeRequest("PUT", "/api/instances/i-1", goodAnnouncement);
    BOOST_REQUIRE(isOk(PlatformAdapter::decodeAnnouncement(good)));
    const WorkerAnnouncement worker = valueOf(PlatformAdapter::decodeAnnouncement(good));
    BOOST_TEST(worker.incarnation.worker == "i-1");
    BOOST_TEST(worker.incarnation.startedUnixMilliseconds == 1'700'000'000'000);
    BOOST_TEST(worker.capacity.accelerators == 8);
    BOOST_TEST(worker.labels.back() == "r1-3");
    for (const char *text : {"", "\xff\xfe", "{}", "[]", R"({"state":"ready"})",
                             R"({"state":"asleep","born":1,"seq":1,"service":"s","zone":"z","capacity":{}})"}) {
        BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(makeRequest("PUT", "/api/instances/i-1", text))), text);
    }
    BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(makeRequest("POST", "/elsewhere", goodAnnouncement))));
    BOOST_TEST(PlatformAdapter::decodeDeparture(makeRequest("DELETE", "/api/instances/i-1")).value() == "i-1");
}

BOOST_AUTO_TEST_CASE(operatorRowsAreDecodedOrIgnoredWithAReason)
{
    const std::string text
        = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/q/","service":"s","priority":2,"maxAttempts":3,"slackFactor":3.0,)"
          R"("targetLatencyMs":3000,"public":false}],"services":[],"limits":{},"tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpu":16}}]})";
    const OperatorChange change = PlatformAdapter::decodeOperatorRow({"op", "config", 9, text, false});
    const PoolConfiguration *configuration = std::get_if<PoolConfiguration>(&change);
    BOOST_REQUIRE(configuration != nullptr);
    BOOST_TEST(configuration->version == 7U);
    BOOST_TEST(configuration->guaranteeOf("t") == 16);
    BOOST_TEST(configuration->findQueue("h", "/q/1") != nullptr);
    BOOST_TEST(configuration->findQueue("h", "/other/1") == nullptr);
    BOOST_TEST(configuration->findWorkspaceOfKey("k") != nullptr);
    const OperatorChange unreadable = PlatformAdapter::decodeOperatorRow({"op", "config", 9, "{", false});
    BOOST_TEST(!std::get<IgnoredRow>(unreadable).reason.empty());
    const OperatorChange outOfService = PlatformAdapter::decodeOperatorRow({"op", "evacuate/z1", 9, "{}", false});
    BOOST_TEST(std::get<FailureDomainChange>(outOfService).outOfService);
    BOOST_TEST(std::get<FailureDomainChange>(outOfService).failureDomain == "z1");
    const OperatorChange back = PlatformAdapter::decodeOperatorRow({"op", "evacuate/z1", 10, "", true});
    BOOST_TEST(!std::get<FailureDomainChange>(back).outOfService);
}

BOOST_AUTO_TEST_CASE(answersCarryTheStatusOfTheirOutcome)
{
    PoolCall call;
    call.path = "/q/5c0e";
    CallAnswer answer;
    answer.outcome = CallOutcome::NotReady;
    answer.retryAfter = fromMilliseconds(1000);
    const ServerResponse refusal = PlatformAdapter::encodeAnswer(call, answer);
    BOOST_TEST(refusal.status == 503);
    BOOST_TEST(refusal.headers.front().value == "1");
    answer = {};
    answer.outcome = CallOutcome::Unsettled;
    BOOST_TEST(PlatformAdapter::encodeAnswer(call, answer).status == 504);
    answer.outcome = CallOutcome::NoSuchJob;
    BOOST_TEST(PlatformAdapter::encodeAnswer(call, answer).status == 410);
    answer.outcome = CallOutcome::Answered;
    answer.state = GraphState::Cancelled;
    BOOST_TEST(*PlatformAdapter::encodeAnswer(call, answer).body == R"({"state":"cancelled"})");
    call.path = "/q/";
    answer.pending = 12;
    BOOST_TEST(*PlatformAdapter::encodeAnswer(call, answer).body == R"({"pending":12})");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock::platform
