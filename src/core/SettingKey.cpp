#include "core/SettingKey.h"

#include "core/Endpoint.h"
#include "core/PartMode.h"

#include <array>
#include <charconv>
#include <cmath>

namespace banyanlock
{
namespace
{

constexpr double thousand = 1000.0;

} // namespace

std::string_view settingUnitName(SettingUnit unit)
{
    static constexpr std::array<std::string_view, 11> names{
        "text", "address", "list of addresses", "list of texts", "URL", "milliseconds", "bytes", "count", "percent", "share", "switch"};
    return names[static_cast<std::size_t>(unit)];
}

std::string checkSettingText(SettingUnit unit, const std::string &value)
{
    if (value.empty()) {
        return "must not be empty";
    }
    if (unit == SettingUnit::Address || unit == SettingUnit::AddressList) {
        return Endpoint::parse(value).has_value() ? "" : "'" + value + "' is not an IPv4 address with a port, like 127.0.0.1:8080";
    }
    if (unit == SettingUnit::Url) {
        constexpr std::string_view scheme = "http://";
        const bool valid = value.starts_with(scheme) && Endpoint::parse(value.substr(scheme.size())).has_value();
        return valid ? "" : "'" + value + "' is not a URL like http://127.0.0.1:8080";
    }
    if (unit == SettingUnit::Switch) {
        return parsePartMode(value).has_value() ? "" : "'" + value + "' is not one of auto, on, off";
    }
    return {};
}

bool parseSettingNumber(const std::string &value, std::int64_t &number)
{
    const char *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

bool parseSettingShare(const std::string &value, std::int64_t &thousandths)
{
    double number = 0.0;
    const char *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number, std::chars_format::fixed);
    constexpr double limit = 1e6; // a thousandfold of it is exact
    if (parsed.ec != std::errc() || parsed.ptr != end || !(std::abs(number) <= limit)) {
        return false;
    }
    thousandths = std::llround(number * thousand);
    return true;
}

std::string formatSettingNumber(SettingUnit unit, std::int64_t number)
{
    if (unit != SettingUnit::Share) {
        return std::to_string(number);
    }
    std::array<char, 32> text{};
    const auto written = std::to_chars(text.data(), text.data() + text.size(), static_cast<double>(number) / thousand);
    return {text.data(), written.ptr};
}

} // namespace banyanlock
