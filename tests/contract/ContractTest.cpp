#include "contract/Configuration.h"
#include "contract/ContractCodec.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

constexpr const char *validContract = R"({"workspace": "quotes", "share": 3, "survive_failure_domain_loss": true,
    "guarantees": [{"count": 2, "workers": 2, "accelerators_per_worker": 4, "adjacency": "rack"}],
    "limits": {"requests_per_second": 10, "requests_in_flight": 5, "accelerators": 16}})";

void checkError(const std::string &text, const std::string &error)
{
    const Result<Contract> result = decodeContract(text);
    BOOST_REQUIRE(!isOk(result));
    BOOST_TEST((errorOf(result).code == ResultCode::InvalidContract));
    BOOST_TEST(errorOf(result).detail.find(error) != std::string::npos, errorOf(result).detail);
}

TableRow domainRow(const std::string &state, std::uint64_t version)
{
    return {ConfigurationRows::table, ConfigurationRows::failureDomainKey("fd-a"), version, state};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ContractTest)

BOOST_AUTO_TEST_CASE(contractRoundTripsThroughJson)
{
    const Result<Contract> first = decodeContract(validContract);
    BOOST_REQUIRE(isOk(first));
    const Result<Contract> second = decodeContract(encodeContract(valueOf(first)));
    BOOST_REQUIRE(isOk(second));
    BOOST_TEST(encodeContract(valueOf(first)) == encodeContract(valueOf(second)));
    BOOST_TEST(guaranteedAccelerators(valueOf(second)) == 16U);
    BOOST_TEST(valueOf(second).surviveFailureDomainLoss);
}

BOOST_AUTO_TEST_CASE(errorsNameTheField)
{
    checkError("{", "parse error");
    checkError("[]", "must be a JSON object");
    checkError(R"({"workspace": "a b", "limits": {}})", "workspace: must have 1 to 64");
    checkError(R"({"workspace": "a"})", "limits: missing");
    checkError(R"({"workspace": "a", "limits": {}, "extra": 1})", "extra: unknown field");
    checkError(R"({"workspace": "a", "limits": {"accelerators": -1}})", "limits.accelerators: must be a whole number");
    checkError(R"({"workspace": "a", "limits": {"accelerators": 99999999999}})", "limits.accelerators: must be a whole number");
    checkError(R"({"workspace": "a", "limits": {"accelerators": 1}, "guarantees": [{"workers": 2, "adjacency": "worker"}]})",
               "guarantees[0].workers: must be 1");
    checkError(R"({"workspace": "a", "limits": {"accelerators": 1}, "guarantees": [{"accelerators_per_worker": 2}]})",
               "limits.accelerators: is less than the guaranteed 2");
    checkError(R"({"workspace": "a", "limits": {}, "guarantees": [{"adjacency": "near"}]})", "guarantees[0].adjacency: must be one of");
}

BOOST_AUTO_TEST_CASE(configurationNeverRevertsOnAStaleRead)
{
    Counters counters;
    Configuration configuration(counters);
    BOOST_TEST(configuration.adopt(std::vector<TableRow>{domainRow("in", 5)}));
    BOOST_TEST(configuration.adopt(std::vector<TableRow>{domainRow("out", 9)}));
    BOOST_TEST(!configuration.adopt(std::vector<TableRow>{domainRow("in", 5)}));
    BOOST_TEST(configuration.isOut("fd-a"));
    BOOST_TEST(configuration.version() == 9U);
    BOOST_TEST(counters.value(Counter::ConfigurationStaleIgnored) == 1U);
}

BOOST_AUTO_TEST_CASE(invalidContractKeepsThePreviousOne)
{
    Counters counters;
    Configuration configuration(counters);
    const std::string key = ConfigurationRows::contractKey("quotes");
    configuration.adopt(std::vector<TableRow>{{ConfigurationRows::table, key, 3, validContract}});
    configuration.adopt(std::vector<TableRow>{{ConfigurationRows::table, key, 4, "{"}});
    BOOST_REQUIRE(configuration.findContract("quotes") != nullptr);
    BOOST_TEST(configuration.findContract("quotes")->version == 3U);
    BOOST_TEST(configuration.findContract("nobody") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
