#include "core/Endpoint.h"
#include "core/PartMode.h"
#include "core/ResultCode.h"
#include "core/SettingKey.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>

namespace banyanlock
{
namespace
{

struct SampleSettings {
    std::string name;
    std::string address;
    std::vector<std::string> peers;
    std::int64_t limit = 10;
    std::int64_t share = 1000;
    std::string part = "auto";
};

std::span<const SettingKey<SampleSettings>> sampleKeys()
{
    using S = SampleSettings;
    using Key = SettingKey<S>;
    static const std::array keys{
        Key{"name", SettingUnit::Text, &S::name, 0, 0, true, ""},
        Key{"address", SettingUnit::Address, &S::address, 0, 0, true, ""},
        Key{"peers", SettingUnit::AddressList, &S::peers, 0, 0, false, ""},
        Key{"limit_ms", SettingUnit::Milliseconds, &S::limit, 1, 100, false, ""},
        Key{"share", SettingUnit::Share, &S::share, 1, 1000, false, ""},
        Key{"part", SettingUnit::Switch, &S::part, 0, 0, false, ""},
    };
    return keys;
}

/// Reads settings from a temporary file with the given text.
Result<SampleSettings> readText(const std::string &text)
{
    char path[] = "/tmp/banyanlock-settings-XXXXXX";
    const int descriptor = mkstemp(path);
    BOOST_REQUIRE(descriptor >= 0);
    std::ofstream(path) << text;
    Result<SampleSettings> result = readSettings(path, sampleKeys());
    std::remove(path);
    return result;
}

void checkReportedFault(const std::string &text, const std::string &fault)
{
    const Result<SampleSettings> result = readText(text);
    BOOST_REQUIRE(!isOk(result));
    BOOST_TEST((errorOf(result).code == ResultCode::InvalidSettings));
    BOOST_TEST(errorOf(result).detail.find(fault) != std::string::npos, errorOf(result).detail);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(goodSettingsAreRead)
{
    const Result<SampleSettings> result = readText("name: a\naddress: 127.0.0.1:80\npeers: [127.0.0.1:81, 127.0.0.1:82]\n");
    BOOST_REQUIRE(isOk(result));
    BOOST_TEST(valueOf(result).peers.size() == 2U);
    BOOST_TEST(valueOf(result).limit == 10);
}

BOOST_AUTO_TEST_CASE(faultsNameLineKeyReasonAndUnit)
{
    const std::string good = "name: a\naddress: 127.0.0.1:80\n";
    checkReportedFault(good + "colour: red\n", ":3: colour: unknown key");
    checkReportedFault(good + "limit_ms: 101\n", ":3: limit_ms: 101 is outside 1 to 100 milliseconds");
    checkReportedFault(good + "limit_ms: soon\n", ":3: limit_ms: 'soon' is not a whole number of milliseconds");
    checkReportedFault(good + "name: b\n", ":3: name: given twice");
    checkReportedFault("name: a\naddress: localhost:80\n", ":2: address: 'localhost:80' is not an IPv4 address with a port");
    checkReportedFault("name: a\n", "address: missing, and has no default");
    checkReportedFault(good + "peers: 127.0.0.1:81\n", ":3: peers: must be a list");
    checkReportedFault("name: [a\n", "(yaml)");
    checkReportedFault("- a\n", "must be a mapping");
}

BOOST_AUTO_TEST_CASE(shareIsReadInThousandthsAndImpossibleOnesAreRefused)
{
    const auto withShare = [](const std::string &share) {
        std::string text = "name: a\naddress: 127.0.0.1:80\nshare: ";
        return text.append(share).append("\n");
    };
    for (const auto &[text, thousandths] : std::map<std::string, std::int64_t>{{"0.12", 120}, {"1", 1000}, {"0.0005", 1}, {"0.25", 250}}) {
        const Result<SampleSettings> result = readText(withShare(text));
        BOOST_REQUIRE(isOk(result));
        BOOST_TEST(valueOf(result).share == thousandths, text);
    }
    checkReportedFault(withShare("0"), ":3: share: 0 is outside 0.001 to 1 share");
    checkReportedFault(withShare("-0.5"), ":3: share: -0.5 is outside 0.001 to 1 share");
    checkReportedFault(withShare("1.5"), ":3: share: 1.5 is outside 0.001 to 1 share");
    for (const char *text : {"half", "nan", "inf", "1e300", "0.5x", "99999999999999999999"}) {
        std::string fault = ":3: share: '";
        fault.append(text).append("' is not a number like 0.25");
        checkReportedFault(withShare(text), fault);
    }
}

// Guards against a misspelt switch that is taken for its default: YAML's `yes` and `On` are not values of a switch.
BOOST_AUTO_TEST_CASE(switchTakesItsThreeValuesOnly)
{
    const std::string good = "name: a\naddress: 127.0.0.1:80\n";
    for (const PartMode mode : {PartMode::Auto, PartMode::On, PartMode::Off}) {
        const Result<SampleSettings> result = readText(good + "part: " + std::string(partModeName(mode)) + "\n");
        BOOST_REQUIRE(isOk(result));
        BOOST_TEST((parsePartMode(valueOf(result).part) == mode));
    }
    for (const char *text : {"yes", "true", "On", "aut", "auto "}) {
        std::string document(good);
        document.append("part: '").append(text).append("'\n");
        std::string fault(":3: part: '");
        fault.append(text).append("' is not one of auto, on, off");
        checkReportedFault(document, fault);
    }
    checkReportedFault(good + "part: ''\n", ":3: part: must not be empty");
    checkReportedFault(good + "part: [on]\n", ":3: part: must be a single value");
}

BOOST_AUTO_TEST_CASE(allFaultsAreReported)
{
    const Result<SampleSettings> result = readText("name: ''\naddress: 1\nsize: 3\n");
    BOOST_REQUIRE(!isOk(result));
    const std::string &detail = errorOf(result).detail;
    BOOST_TEST(std::count(detail.begin(), detail.end(), '\n') == 2);
}

BOOST_AUTO_TEST_CASE(endpointsAreIpNumbersWithPorts)
{
    BOOST_TEST(Endpoint::parse("127.0.0.1:8080").has_value());
    for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "host:80", "1.2.3:80", "127.0.0.1:80x"}) {
        BOOST_TEST(!Endpoint::parse(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(resultCodesAreDistinctAndTheirNumbersRise)
{
    std::set<std::string_view> names;
    int last = -1;
    for (const ResultCodeInfo &info : resultCodeTable()) {
        BOOST_TEST(static_cast<int>(info.code) > last);
        last = static_cast<int>(info.code);
        BOOST_TEST(names.insert(info.name).second);
        BOOST_TEST((resultCodeFromNumber(static_cast<std::uint16_t>(info.code)) == info.code));
    }
    BOOST_TEST((resultCodeFromNumber(9999) == ResultCode::AttemptLost));
}

BOOST_AUTO_TEST_CASE(foreignSettingsAreRefusedWithAReason)
{
    for (const std::string &value :
         {std::string(100'000, '['), std::string(100'000, '{'), std::string("127.0.0.1:70000"), std::string("127.0.0.1:0"),
          std::string("127.0.0.1:-1"), std::string("\xff\xfe"), std::string("\0", 1), std::string("127.0.0.1:99999999999999999999")}) {
        BOOST_TEST(!isOk(readText("name: n\naddress: " + value + "\n")));
    }
    for (const char *number : {"1e300", "-1", "18446744073709551616", "9223372036854775808", "1.5", ".nan", "0x10", "[7]"}) {
        BOOST_TEST(!isOk(readText("name: n\naddress: 127.0.0.1:80\nlimit_ms: " + std::string(number) + "\n")), number);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
