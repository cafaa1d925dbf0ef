#pragma once

#include "core/SettingsDocument.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace banyanlock
{

/// Unit of a setting, for checks, messages and the generated reference page.
enum class SettingUnit : std::uint8_t {
    Text,
    Address, ///< IPv4 address and port, such as `127.0.0.1:8080`.
    AddressList,
    TextList,
    Url, ///< `http://` followed by an IPv4 address and port.
    Milliseconds,
    Bytes,
    Count,
    Percent,
    Share, ///< Decimal number such as `0.25`, stored in thousandths.
    Switch, ///< `auto`, `on` or `off`; `parsePartMode` reads it.
};

/// @param unit Unit to look up.
/// @return Name of the unit.
std::string_view settingUnitName(SettingUnit unit);

/// One key of a role's settings, bound to the member that stores its value.
/// @tparam Settings Settings structure of the role.
template <typename Settings> struct SettingKey {
    std::string_view name; ///< Key in the file.
    SettingUnit unit; ///< Unit of the value.
    std::variant<std::string Settings::*, std::int64_t Settings::*, std::vector<std::string> Settings::*> member; ///< Member for the value.
    std::int64_t minimum = 0; ///< Smallest value of a number.
    std::int64_t maximum = 0; ///< Largest value of a number.
    bool required = false; ///< Whether the key must be present.
    std::string_view meaning; ///< Human-readable description, one sentence.
};

/// Checks that a text is valid for its unit.
/// @param unit Expected unit.
/// @param value Text from the file.
/// @return Empty if the value is valid, else the reason why it is not.
std::string checkSettingText(SettingUnit unit, const std::string &value);

/// Parses a whole number.
/// @param value Text from the file.
/// @param number Receives the number.
/// @return Whether the text was a whole number.
bool parseSettingNumber(const std::string &value, std::int64_t &number);

/// Parses a decimal number.
/// @param value Text from the file.
/// @param thousandths Receives the number in thousandths, rounded.
/// @return Whether the text was a decimal number in the range of the result.
bool parseSettingShare(const std::string &value, std::int64_t &thousandths);

/// @param unit Unit of a setting with a number.
/// @param number Number as it is stored.
/// @return The text that the file has for it.
std::string formatSettingNumber(SettingUnit unit, std::int64_t number);

/// Checks one entry and stores its value.
/// @param key Key that the entry matched.
/// @param entry Entry of the file.
/// @param settings Receives the value.
/// @return Empty if the value is valid, else the reason why it is not.
template <typename Settings> std::string applySetting(const SettingKey<Settings> &key, const SettingsEntry &entry, Settings &settings)
{
    if (const auto *list = std::get_if<std::vector<std::string> Settings::*>(&key.member)) {
        if (!entry.isList) {
            return "must be a list";
        }
        for (const std::string &value : entry.values) {
            if (std::string reason = checkSettingText(key.unit, value); !reason.empty()) {
                return reason;
            }
        }
        settings.*(*list) = entry.values;
        return {};
    }
    if (entry.isList) {
        return "must be a single value";
    }
    const std::string &value = entry.values.front();
    if (const auto *text = std::get_if<std::string Settings::*>(&key.member)) {
        std::string reason = checkSettingText(key.unit, value);
        if (reason.empty()) {
            settings.*(*text) = value;
        }
        return reason;
    }
    std::int64_t number = 0;
    if (key.unit == SettingUnit::Share ? !parseSettingShare(value, number) : !parseSettingNumber(value, number)) {
        if (key.unit == SettingUnit::Share) {
            return "'" + value + "' is not a number like 0.25";
        }
        return "'" + value + "' is not a whole number of " + std::string(settingUnitName(key.unit));
    }
    if (number < key.minimum || number > key.maximum) {
        return value + " is outside " + formatSettingNumber(key.unit, key.minimum) + " to " + formatSettingNumber(key.unit, key.maximum)
            + " " + std::string(settingUnitName(key.unit));
    }
    settings.*(*std::get_if<std::int64_t Settings::*>(&key.member)) = number;
    return {};
}

/// Reads a role's settings and checks every key.
/// @param path File to read.
/// @param keys All keys of the role.
/// @return The settings, or `InvalidSettings` with one line for every fault: file, line, key and reason.
template <typename Settings> Result<Settings> readSettings(const std::string &path, std::span<const SettingKey<Settings>> keys)
{
    Result<SettingsDocument> loaded = SettingsDocument::load(path);
    if (!isOk(loaded)) {
        return errorOf(loaded);
    }
    const SettingsDocument &document = valueOf(loaded);
    Settings settings;
    std::vector<bool> seen(keys.size(), false);
    std::string faults;
    const auto addFault = [&](int line, const std::string &key, const std::string &reason) {
        faults += faults.empty() ? "" : "\n";
        faults += document.describe(line, key, reason);
    };
    for (const SettingsEntry &entry : document.entries) {
        std::size_t index = 0;
        while (index < keys.size() && keys[index].name != entry.key) {
            ++index;
        }
        if (index == keys.size()) {
            addFault(entry.line, entry.key, "unknown key");
            continue;
        }
        if (seen[index]) {
            addFault(entry.line, entry.key, "given twice");
            continue;
        }
        seen[index] = true;
        if (std::string reason = applySetting(keys[index], entry, settings); !reason.empty()) {
            addFault(entry.line, entry.key, reason);
        }
    }
    for (std::size_t index = 0; index < keys.size(); ++index) {
        if (keys[index].required && !seen[index]) {
            addFault(0, std::string(keys[index].name), "missing, and has no default");
        }
    }
    if (!faults.empty()) {
        return Error{ResultCode::InvalidSettings, faults};
    }
    return settings;
}

/// Formats the table of a role's keys as Markdown.
/// @param role Heading of the table.
/// @param keys All keys of the role.
/// @return Markdown text with unit, range, default and meaning of each key.
template <typename Settings> std::string describeSettings(std::string_view role, std::span<const SettingKey<Settings>> keys)
{
    const Settings defaults;
    std::string text = "## " + std::string(role) + "\n\n| key | unit | range | default | meaning |\n|---|---|---|---|---|\n";
    for (const SettingKey<Settings> &key : keys) {
        std::string range;
        std::string defaultText = key.required ? "(required)" : "";
        if (const auto *number = std::get_if<std::int64_t Settings::*>(&key.member)) {
            range = formatSettingNumber(key.unit, key.minimum) + " to " + formatSettingNumber(key.unit, key.maximum);
            defaultText = key.required ? defaultText : formatSettingNumber(key.unit, defaults.*(*number));
        } else if (const auto *textMember = std::get_if<std::string Settings::*>(&key.member)) {
            defaultText = key.required ? defaultText : defaults.*(*textMember);
        }
        text.append("| `").append(key.name).append("` | ").append(settingUnitName(key.unit)).append(" | ").append(range);
        text.append(" | ").append(defaultText).append(" | ").append(key.meaning).append(" |\n");
    }
    return text;
}

} // namespace banyanlock
