#include "graph/GraphCodec.h"
#include "platform/PlatformAdapter.h"
#include "platform/WorkerPort.h"
#include "support/AnnouncementRequest.h"
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

BOOST_AUTO_TEST_CASE(submissionsWithImpossibleNumbersAreRejected)
{
    BOOST_REQUIRE(isSubmissionValid(goodSubmission));
    for (const std::string field : {"\"count\":4", "\"cpu\":500", "\"memMb\":256", "\"gpu\":1", "\"estimateMs\":900", "\"antiAffinity\":1",
                                    "\"repeatCount\":3", "\"firstRunMs\":1700000000000", "\"intervalMs\":4500"}) {
        for (const std::string &odd : oddNumbers) {
            const std::string text = replaced(goodSubmission, field, field.substr(0, field.find(':') + 1) + odd);
            BOOST_TEST(!isSubmissionValid(text), text);
        }
    }
    BOOST_TEST(!isSubmissionValid(replaced(goodSubmission, "\"count\":4", "\"count\":4294967297")));
    BOOST_TEST(!isSubmissionValid(replaced(goodSubmission, "\"after\":[0]", "\"after\":[4294967296]")));
    BOOST_TEST(!isSubmissionValid(replaced(goodSubmission, "\"after\":[0]", "\"after\":[1]")));
    BOOST_TEST(!isSubmissionValid(replaced(goodSubmission, "\"after\":[0]", "\"after\":" + nested(manyLevels))));
}

BOOST_AUTO_TEST_CASE(announcementsWithImpossibleNumbersAreRejected)
{
    BOOST_REQUIRE(isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", goodAnnouncement))));
    for (const std::string field :
         {"\"cpu\":16000", "\"memMb\":32768", "\"gpu\":8", "\"remainingMs\":7000", "\"seq\":4", "\"born\":1700000000000"}) {
        for (const std::string &odd : oddNumbers) {
            const std::string text = replaced(goodAnnouncement, field, field.substr(0, field.find(':') + 1) + odd);
            BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", text))), text);
        }
    }
}

BOOST_AUTO_TEST_CASE(announcementFromTheFutureDoesNotMakeLaterOnesLookStale)
{
    const std::int64_t day = 24LL * 3600 * 1000;
    const std::string ahead = std::to_string(unixMillisecondsNow() + day);
    const std::string slightlyAhead = std::to_string(unixMillisecondsNow() + 30'000); // clocks of instances differ and jump by seconds
    BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", replaced(goodAnnouncement, "1700000000000", ahead)))));
    BOOST_TEST(
        isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", replaced(goodAnnouncement, "1700000000000", slightlyAhead)))));
    for (const std::string sequence : {"9007199254740993", "18446744073709551614", "1000000000000"}) {
        const std::string text = replaced(goodAnnouncement, "\"seq\":4", "\"seq\":" + sequence);
        BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", text))), text);
    }
    for (const std::string field : {"\"seq\":4.5", "\"born\":1700000000000.5"}) {
        const std::string text = replaced(goodAnnouncement, field.substr(0, field.find('.')), field);
        BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", text))), text);
    }
}

BOOST_AUTO_TEST_CASE(announcementsWithImpossibleNamesAreRejected)
{
    // Their names become parts of row keys and of rows.
    for (const std::string &id : {std::string("\xff"), std::string(201, 'i'), std::string("i\0", 2)}) {
        BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(announcementRequest(id, goodAnnouncement))), id);
    }
    for (const std::string &zone : {std::string(), std::string(180, 'z'), std::string("z\\u0000")}) {
        const std::string text = replaced(goodAnnouncement, R"("zone":"z")", R"("zone":")" + zone + "\"");
        BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", text))), text);
    }
    BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(
        announcementRequest("i-1", replaced(goodAnnouncement, R"("service":"s")", R"("service":"")")))));
}

BOOST_AUTO_TEST_CASE(deeplyNestedInputIsRejectedWithoutUsingMuchMemory)
{
    rusage before{};
    getrusage(RUSAGE_SELF, &before);
    constexpr std::size_t megabytes = 4'000'000;
    for (const std::string &text : {nested(manyLevels), std::string(megabytes, '['), "{\"labels\":" + std::string(megabytes, '['),
                                    "{\"phases\":[" + nested(manyLevels) + "]}"}) {
        BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", text))));
        BOOST_TEST(!isOk(PlatformAdapter::decodeSubmission(text)));
        const OperatorChange change = PlatformAdapter::decodeOperatorRow({"op", "config", 9, text, false});
        BOOST_TEST(!std::get<IgnoredRow>(change).reason.empty());
    }
    BOOST_TEST(!isOk(PlatformAdapter::decodeAnnouncement(
        announcementRequest("i-1", replaced(goodAnnouncement, R"("slots":8)", R"("slots":)" + nested(manyLevels))))));
    rusage after{};
    getrusage(RUSAGE_SELF, &after);
    constexpr long maxGrowthKilobytes = 60'000; // a level takes some 100 bytes in the parser
    BOOST_TEST(after.ru_maxrss - before.ru_maxrss < maxGrowthKilobytes);
}

BOOST_AUTO_TEST_CASE(configurationWithImpossibleNumbersIsIgnoredWithAReason)
{
    const std::string good
        = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/q/","service":"s","priority":2,"maxAttempts":3,"slackFactor":3.5,)"
          R"("targetLatencyMs":3000}],"tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpu":16}}]})";
    const auto isTaken = [](const std::string &text) {
        return std::holds_alternative<PoolConfiguration>(PlatformAdapter::decodeOperatorRow({"op", "config", 9, text, false}));
    };
    BOOST_REQUIRE(isTaken(good));
    for (const std::string field :
         {"\"version\":7", "\"priority\":2", "\"maxAttempts\":3", "\"slackFactor\":3.5", "\"targetLatencyMs\":3000", "\"gpu\":16"}) {
        for (const std::string &odd : oddNumbers) {
            const bool isLargeVersion
                = field == "\"version\":7" && (odd == "18446744073709551615" || odd == "9223372036854775808" || odd == "1e18");
            if (!isLargeVersion) { // versions increase in steps of any size
                BOOST_TEST(!isTaken(replaced(good, field, field.substr(0, field.find(':') + 1) + odd)), field << " as " << odd);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(deadlinesOfCallersAreBounded)
{
    for (const char *text : {"9223372036854775807", "1000000000000000000", "99999999999"}) {
        ServerRequest request;
        request.method = "GET";
        request.headers = {{"Deadline-Ms", text}};
        const std::optional<PoolCall> call = PlatformAdapter::decodeCall(request);
        BOOST_REQUIRE(call.has_value());
        BOOST_TEST(call->deadline.value_or(Duration::zero()) >= Duration::zero(), text);
        BOOST_TEST(toMilliseconds(call->deadline.value_or(Duration::zero())) <= 3'600'000, text);
    }
}

BOOST_FIXTURE_TEST_CASE(listsWithImpossibleNumbersAreUnreadable, WorkerFixture)
{
    const std::optional<WorkerLists> good = listsOf(goodLists);
    BOOST_REQUIRE(good.has_value());
    BOOST_TEST(good->runs.size() == 1U);
    BOOST_TEST(good->ends.front().number == 58U);
    const std::vector<std::pair<std::string, std::string>> fields{
        {"482113", "X"}, {"1700000000000", "X"}, {"17\",2,", "17\",X,"}, {"[58,", "[X,"}, {"9\",1,", "9\",X,"}};
    for (const auto &[from, to] : fields) {
        for (const std::string &odd : oddNumbers) {
            BOOST_TEST(!listsOf(replaced(goodLists, from, replaced(to, "X", odd))).has_value(), from << " as " << odd);
        }
    }
    for (const std::string &text :
         {nested(manyLevels), std::string("\xff\xfe"), std::string("[]"), std::string("3"),
          replaced(goodLists, "\"bb\"", nested(manyLevels)), replaced(goodLists, "\"5c0e.0.1.17\"", "\"\xff\"")}) {
        BOOST_TEST(!listsOf(text).has_value());
    }
    BOOST_TEST(listsOf(goodLists).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock::platform
