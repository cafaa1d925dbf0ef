#include "store/TableCodec.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{

BOOST_AUTO_TEST_SUITE(TableCodecTest)

BOOST_AUTO_TEST_CASE(transactionRoundTripsThroughJson)
{
    TableTransaction transaction;
    transaction.changeId = "a/1";
    transaction.checks = {{"t", "k", 7}};
    transaction.writes = {{"t", "k", "v\"\n"}, {"t", "gone", std::nullopt}};
    const Result<TableTransaction> decoded = decodeTransaction(encodeTransaction(transaction));
    BOOST_REQUIRE(isOk(decoded));
    BOOST_TEST(valueOf(decoded).checks[0].version == 7U);
    BOOST_TEST(valueOf(decoded).writes[0].value.value() == "v\"\n");
    BOOST_TEST(!valueOf(decoded).writes[1].value.has_value());
    BOOST_TEST(!isOk(decodeTransaction("{\"checks\": 3}")));
    BOOST_TEST(!isOk(decodeScan("")));
    BOOST_TEST(escapeQuery("a/b c") == "a%2Fb%20c");
}

BOOST_AUTO_TEST_CASE(unreadableRowIsSkippedAndOthersAreRead)
{
    for (const char *odd :
         {R"({"table":"t","key":"odd","version":1e300,"value":""})", R"({"table":"t","key":"odd","version":-1,"value":""})",
          R"({"table":"t","key":"odd","version":1,"value":7})", R"({"key":"odd"})", "7", "null", "[[]]"}) {
        const Result<ScanResult> scan
            = decodeScan(R"({"version":9,"rows":[)" + std::string(odd) + R"(,{"table":"t","key":"k","version":8,"value":"v"}]})");
        BOOST_REQUIRE_MESSAGE(isOk(scan), odd);
        BOOST_TEST(valueOf(scan).version == 9U);
        BOOST_REQUIRE_MESSAGE(valueOf(scan).rows.size() == 1U, odd);
        BOOST_TEST(valueOf(scan).rows.front().key == "k");
    }
    for (const char *text : {R"({"version":-1,"rows":[]})", R"({"version":1e300,"rows":[]})", R"({"version":"9","rows":[]})"}) {
        BOOST_TEST(!isOk(decodeScan(text)), text);
    }
    BOOST_TEST(!isOk(decodeScan(std::string(100'000, '['))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
