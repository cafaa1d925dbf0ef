#include "core/JsonInput.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{

BOOST_AUTO_TEST_SUITE(JsonInputTest)

BOOST_AUTO_TEST_CASE(numbersAreReadExactlyOrNotAtAll)
{
    const auto read32 = [](const char *text) {
        return wholeNumberOf<std::uint32_t>(parseJson(text));
    };
    BOOST_TEST(read32("0").value() == 0U);
    BOOST_TEST(read32("4294967295").value() == 4294967295U);
    BOOST_TEST(read32("7.0").value() == 7U);
    for (const char *text : {"-1", "4294967296", "7.5", "1e300", "-1e300", "18446744073709551616", "null", "true", "\"7\"", "[7]", "{}"}) {
        BOOST_TEST(!read32(text).has_value(), text);
    }
    const auto read64 = [](const char *text) {
        return wholeNumberOf<std::int64_t>(parseJson(text));
    };
    BOOST_TEST(read64("9223372036854775807").value() == std::numeric_limits<std::int64_t>::max());
    BOOST_TEST(read64("-9223372036854775808").value() == std::numeric_limits<std::int64_t>::min());
    for (const char *text : {"9223372036854775808", "9.3e18", "-9.3e18", "1e300"}) {
        BOOST_TEST(!read64(text).has_value(), text);
    }
    BOOST_TEST(wholeNumberOf<std::uint64_t>(parseJson("18446744073709551615")).value() == std::numeric_limits<std::uint64_t>::max());
    BOOST_TEST(!wholeNumberOf<std::uint64_t>(parseJson("18446744073709551616")).has_value());
}

BOOST_AUTO_TEST_CASE(fractionsOfMeasuresAreDropped)
{
    const nlohmann::json json = parseJson(R"({"a":7.9,"b":1e300,"c":-1,"d":"7"})");
    BOOST_TEST(readMeasure(json, "a", 0, 0, 10) == 7);
    BOOST_TEST(readMeasure(json, "missing", 3, 0, 10) == 3);
    for (const char *field : {"b", "c", "d"}) {
        BOOST_CHECK_THROW(readMeasure(json, field, 0, 0, 10), nlohmann::json::exception);
    }
    BOOST_CHECK_THROW(readMeasure(parseJson("[]"), "a", 0, 0, 10), nlohmann::json::exception);
}

BOOST_AUTO_TEST_CASE(nestingIsLimitedOutsideOfTexts)
{
    const auto nested = [](std::size_t levels) {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    BOOST_CHECK_NO_THROW(parseJson(nested(maxJsonLevels)));
    BOOST_CHECK_THROW(parseJson(nested(maxJsonLevels + 1)), nlohmann::json::exception);
    BOOST_CHECK_THROW(parseJson(nested(100'000)), nlohmann::json::exception);
    BOOST_CHECK_THROW(parseJson(std::string(100'000, '{')), nlohmann::json::exception);
    BOOST_CHECK_NO_THROW(parseJson("\"\\\"" + std::string(1000, '[') + "\""));
    BOOST_CHECK_THROW(parseJson("\"\\"), nlohmann::json::exception);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
