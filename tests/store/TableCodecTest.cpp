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

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
