#include "core/JsonInput.h"

namespace banyanlock
{
namespace
{

/// Checks the nesting without recursion and without building the document, since each level takes memory.
bool isNestedTooDeeply(const std::string &text)
{
    std::size_t level = 0;
    bool inString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (inString) {
            if (character == '\\') {
                ++position;
            } else if (character == '"') {
                inString = false;
            }
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            if (++level > maxJsonLevels) {
                return true;
            }
        } else if ((character == ']' || character == '}') && level > 0) {
            --level;
        }
    }
    return false;
}

} // namespace

nlohmann::json parseJson(const std::string &text)
{
    if (isNestedTooDeeply(text)) {
        refuseJson("document", "must have at most " + std::to_string(maxJsonLevels) + " levels");
    }
    return nlohmann::json::parse(text);
}

void refuseJson(const std::string &name, const std::string &reason)
{
    constexpr int errorId = 501;
    throw nlohmann::json::other_error::create(errorId, name + " " + reason, nullptr);
}

std::int64_t readMeasure(const nlohmann::json &json, const char *field, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    const auto found = json.find(field);
    if (json.is_object() && found == json.end()) {
        return fallback;
    }
    if (!json.is_object()) {
        refuseJson(field, "must be a field of an object");
    }
    if (found->is_number_float()) {
        return static_cast<std::int64_t>(readReal(*found, field, static_cast<double>(minimum), static_cast<double>(maximum)));
    }
    return readWhole<std::int64_t>(*found, field, minimum, maximum);
}

double readReal(const nlohmann::json &json, const char *name, double minimum, double maximum)
{
    const double number = json.is_number() ? json.get<double>() : std::numeric_limits<double>::quiet_NaN();
    if (!(number >= minimum && number <= maximum)) {
        refuseJson(name, "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return number;
}

} // namespace banyanlock
