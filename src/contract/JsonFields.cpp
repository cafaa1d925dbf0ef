#include "contract/JsonFields.h"

#include "core/JsonInput.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr std::size_t maxNameLength = 64;

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '.' || character == '_';
}

} // namespace

JsonFields::JsonFields(const nlohmann::json &json, std::string path, std::string &error)
    : m_json(json)
    , m_path(std::move(path))
    , m_error(error)
{
    if (!m_json.is_object()) {
        fail("", "must be an object");
    }
}

std::string JsonFields::pathOf(const std::string &field) const
{
    if (m_path.empty() || field.empty()) {
        return m_path.empty() ? field : m_path;
    }
    return m_path + "." + field;
}

void JsonFields::fail(const std::string &field, const std::string &reason)
{
    if (m_error.empty()) {
        m_error = pathOf(field) + ": " + reason;
    }
}

const nlohmann::json *JsonFields::find(const char *field) const
{
    if (!m_json.is_object()) {
        return nullptr;
    }
    const auto found = m_json.find(field);
    return found == m_json.end() ? nullptr : &*found;
}

void JsonFields::rejectUnknown(std::initializer_list<std::string_view> names)
{
    if (!m_json.is_object()) {
        return;
    }
    for (const auto &item : m_json.items()) {
        if (std::ranges::find(names, item.key()) == names.end()) {
            fail(item.key(), "unknown field");
        }
    }
}

void JsonFields::readName(const char *field, std::string &value)
{
    const nlohmann::json *json = find(field);
    if (json == nullptr || !json->is_string()) {
        fail(field, "must be a string");
        return;
    }
    value = json->get<std::string>();
    if (value.empty() || value.size() > maxNameLength || !std::ranges::all_of(value, isNameCharacter)) {
        fail(field, "must have 1 to 64 letters, digits, dashes, dots and underscores");
    }
}

void JsonFields::readNumber(const char *field, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum)
{
    const nlohmann::json *json = find(field);
    if (json == nullptr) {
        return;
    }
    const std::optional<std::uint32_t> number = json->is_number_unsigned() ? wholeNumberOf(*json, minimum, maximum) : std::nullopt;
    if (!number) {
        fail(field, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return;
    }
    value = *number;
}

void JsonFields::readBool(const char *field, bool &value)
{
    const nlohmann::json *json = find(field);
    if (json == nullptr) {
        return;
    }
    if (!json->is_boolean()) {
        fail(field, "must be true or false");
        return;
    }
    value = json->get<bool>();
}

void JsonFields::readEnum(const char *field, std::string &value, std::initializer_list<std::string_view> allowed)
{
    const nlohmann::json *json = find(field);
    if (json == nullptr) {
        return;
    }
    if (json->is_string() && std::ranges::find(allowed, json->get<std::string>()) != allowed.end()) {
        value = json->get<std::string>();
        return;
    }
    std::string list;
    for (const std::string_view name : allowed) {
        list += (list.empty() ? "" : ", ") + std::string(name);
    }
    fail(field, "must be one of " + list);
}

Result<nlohmann::json> parseJsonObject(const std::string &text, ResultCode code)
{
    try {
        nlohmann::json json = parseJson(text);
        if (!json.is_object()) {
            return Error{code, "the body must be a JSON object"};
        }
        return json;
    } catch (const nlohmann::json::exception &error) {
        return Error{code, error.what()};
    }
}

} // namespace banyanlock
