#include "platform/RowStore.h"
#include "platform/Base64.h"
#include "support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace banyanlock::platform
{
namespace
{

struct Fixture {
    static constexpr std::uint16_t port = 18731;

    Counters counters;
    EventLoop loop;
    HttpClient http{4};
    ScriptedServer store{loop, counters, port};
    RowStore client{"http://127.0.0.1:" + std::to_string(port), loop, http, counters};

    CommitResult commit()
    {
        TableTransaction transaction;
        transaction.checks = {{"pool", "owner", 7}};
        transaction.writes = {{"pool", "owner", "value"}, {"pool", "old", std::nullopt}};
        CommitResult received;
        client.commit(transaction, [&](const CommitResult &result) {
            received = result;
            loop.stop();
        });
        loop.run();
        return received;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RowStoreTest, Fixture)

BOOST_AUTO_TEST_CASE(transactionIsEncodedInThePlatformFormat)
{
    store.bodies = {R"({"rowVersion":412,"nowMs":1})"};
    const CommitResult result = commit();
    BOOST_TEST(static_cast<int>(result.state) == static_cast<int>(CommitState::Committed));
    BOOST_TEST(result.version == 412U);
    const nlohmann::json body = nlohmann::json::parse(store.requests.front().body);
    BOOST_TEST(body["expectedRev"][0]["rowVersion"] == 7);
    BOOST_TEST(body["puts"][0]["value"] == encodeBase64("value"));
    BOOST_TEST(body["remove"][0]["key"] == "old");
}

BOOST_AUTO_TEST_CASE(conflictReturnsThePresentRows)
{
    store.status = 412;
    store.bodies = {R"({"rows":[{"table":"pool","part":"","key":"owner","value":")" + encodeBase64("other") + R"(","rowVersion":9}]})"};
    const CommitResult result = commit();
    BOOST_TEST(static_cast<int>(result.state) == static_cast<int>(CommitState::Conflict));
    BOOST_REQUIRE(result.rows.size() == 1U);
    BOOST_TEST(result.rows[0].value == "other");
}

BOOST_AUTO_TEST_CASE(onlyStatuses503And429CountAsNotSent)
{
    for (const int status : {503, 429}) {
        store.status = status;
        BOOST_TEST(static_cast<int>(commit().state) == static_cast<int>(CommitState::NotSent));
    }
    store.status = 500;
    BOOST_TEST(static_cast<int>(commit().state) == static_cast<int>(CommitState::Unknown));
    store.status = 200;
    store.bodies = {"not json"};
    BOOST_TEST(static_cast<int>(commit().state) == static_cast<int>(CommitState::Unknown));
}

// Guards against transactions that are repeated for ever although the table service rejects them as such.
BOOST_AUTO_TEST_CASE(invalidTransactionsCountAsRejected)
{
    for (const int status : {400, 403, 413}) {
        store.status = status;
        BOOST_TEST(static_cast<int>(commit().state) == static_cast<int>(CommitState::Rejected));
    }
}

BOOST_AUTO_TEST_CASE(followReportsChangesErasuresAndLostHistory)
{
    FollowResult received;
    const auto follow = [&] {
        client.follow("op", 3, fromMilliseconds(50), [&](const FollowResult &result) {
            received = result;
            loop.stop();
        });
        loop.run();
    };
    store.bodies = {R"({"rows":[{"table":"op","part":"","key":"evacuate/z","rowVersion":5,"deleted":true},{"key":3},)"
                    R"({"table":"op","part":"","key":"config","rowVersion":6,"value":"!!"}],"rowVersion":6})"};
    follow();
    BOOST_TEST(static_cast<int>(received.state) == static_cast<int>(FollowState::UpToDate));
    BOOST_REQUIRE(received.rows.size() == 1U); // unreadable rows are skipped without affecting others
    BOOST_TEST(received.rows[0].erased);
    BOOST_TEST(received.version == 6U);
    store.status = 410;
    follow();
    BOOST_TEST(static_cast<int>(received.state) == static_cast<int>(FollowState::HistoryLost));
    store.status = 503;
    follow();
    BOOST_TEST(static_cast<int>(received.state) == static_cast<int>(FollowState::Unavailable));
}

BOOST_AUTO_TEST_CASE(answersWithoutAVersionOrRowsAreUnavailable)
{
    for (const char *body : {"{}", "[]", R"({"rowVersion":-1,"rows":[]})", R"({"rowVersion":1e300,"rows":[]})",
                             R"({"rowVersion":9,"rows":{}})", R"({"rowVersion":9,"rows":[],"hasMore":"no"})"}) {
        store.bodies = {body};
        FollowResult followed;
        client.follow("op", 3, fromMilliseconds(50), [&](const FollowResult &result) {
            followed = result;
            loop.stop();
        });
        loop.run();
        if (std::string(body).find("hasMore") == std::string::npos) {
            BOOST_TEST(static_cast<int>(followed.state) == static_cast<int>(FollowState::Unavailable), body);
        }
        ScanResult scanned;
        scanned.available = true;
        client.readTable("op", [&](const ScanResult &result) {
            scanned = result;
            loop.stop();
        });
        loop.run();
        BOOST_TEST(!scanned.available, body);
    }
}

BOOST_AUTO_TEST_CASE(rowWithAnImpossibleVersionIsSkipped)
{
    const std::string good = R"({"table":"op","part":"","key":"config","rowVersion":6,"value":""})";
    for (const char *version : {"1e300", "-1", "1.5", "18446744073709551616", "\"6\"", "null", "[6]"}) {
        store.bodies = {R"({"rows":[{"table":"op","part":"","key":"odd","value":"","rowVersion":)" + std::string(version) + "}," + good
                        + R"(],"rowVersion":9})"};
        FollowResult received;
        client.follow("op", 3, fromMilliseconds(50), [&](const FollowResult &result) {
            received = result;
            loop.stop();
        });
        loop.run();
        BOOST_TEST(static_cast<int>(received.state) == static_cast<int>(FollowState::UpToDate), version);
        BOOST_REQUIRE_MESSAGE(received.rows.size() == 1U, version);
        BOOST_TEST(received.rows.front().key == "config");
    }
}

BOOST_AUTO_TEST_CASE(tableIsReadPageByPage)
{
    store.bodies = {R"({"rows":[{"table":"pool","part":"","key":"a","rowVersion":5,"value":""}],"hasMore":true,"rowVersion":9})",
                    R"({"rows":[{"table":"pool","part":"","key":"b","rowVersion":6,"value":""}],"hasMore":false,"rowVersion":11})"};
    ScanResult received;
    client.readTable("pool", [&](const ScanResult &result) {
        received = result;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(received.available);
    BOOST_TEST(received.rows.size() == 2U);
    BOOST_TEST(received.version == 9U); // changes during the read are covered by following from the first page's version
    BOOST_TEST(store.requests.at(1).parameter("startKey") == std::string("a") + '\0');
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock::platform
