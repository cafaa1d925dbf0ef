#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Maximum nesting of a document. nlohmann::json copies, compares and writes documents recursively.
constexpr std::size_t maxJsonLevels = 64;

/// Parses a document that may come from any writer.
/// @param text JSON text.
/// @return The document.
/// @throws nlohmann::json::exception The text is not JSON, holds a number that no type can hold, or is nested too deeply.
nlohmann::json parseJson(const std::string &text);

/// Reads a whole number without changing its value.
/// @param json Value to read.
/// @param minimum Smallest allowed number.
/// @param maximum Largest allowed number.
/// @return The number, or nothing if the value is not a whole number of the range.
template <std::integral Number>
std::optional<Number> wholeNumberOf(const nlohmann::json &json, Number minimum = std::numeric_limits<Number>::min(),
                                    Number maximum = std::numeric_limits<Number>::max())
{
    const auto within = [&](auto number) {
        return std::cmp_less_equal(minimum, number) && std::cmp_less_equal(number, maximum) ? std::optional(static_cast<Number>(number))
                                                                                            : std::nullopt;
    };
    if (json.is_number_unsigned()) {
        return within(json.get<std::uint64_t>());
    }
    if (json.is_number_integer()) {
        return within(json.get<std::int64_t>());
    }
    if (!json.is_number_float()) {
        return std::nullopt;
    }
    constexpr double exactLimit = 9007199254740992.0; // 2^53; larger numbers may have been rounded
    const double number = json.get<double>();
    if (!(number >= -exactLimit && number <= exactLimit) || static_cast<double>(static_cast<std::int64_t>(number)) != number) {
        return std::nullopt;
    }
    return within(static_cast<std::int64_t>(number));
}

/// Throws the error of a value that is not allowed.
/// @param name Name of the value.
/// @param reason What it must be.
/// @throws nlohmann::json::exception Always.
[[noreturn]] void refuseJson(const std::string &name, const std::string &reason);

/// Reads a whole number.
/// @param json Value to read.
/// @param name Name of the value, for the error.
/// @param minimum Smallest allowed number.
/// @param maximum Largest allowed number.
/// @return The number.
/// @throws nlohmann::json::exception The value is not a whole number of the range.
template <std::integral Number>
Number readWhole(const nlohmann::json &json, const char *name, Number minimum = std::numeric_limits<Number>::min(),
                 Number maximum = std::numeric_limits<Number>::max())
{
    const std::optional<Number> number = wholeNumberOf(json, minimum, maximum);
    if (!number) {
        refuseJson(name, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *number;
}

/// Reads a list of whole numbers.
/// @param json Value to read.
/// @param name Name of the value, for the error.
/// @return The numbers.
/// @throws nlohmann::json::exception The value is not a list of whole numbers that the type can hold.
template <std::integral Number> std::vector<Number> readWholeList(const nlohmann::json &json, const char *name)
{
    if (!json.is_array()) {
        refuseJson(name, "must be a list");
    }
    std::vector<Number> numbers;
    for (const nlohmann::json &number : json) {
        numbers.push_back(readWhole<Number>(number, name));
    }
    return numbers;
}

/// Reads a required whole number of an object.
/// @param json Object that has the field.
/// @param field Name of the field.
/// @param number Receives the number.
/// @throws nlohmann::json::exception The field is missing or is not a whole number that the type can hold.
template <std::integral Number> void readField(const nlohmann::json &json, const char *field, Number &number)
{
    number = readWhole<Number>(json.at(field), field);
}

/// Reads a measured number, whose fraction is dropped.
/// @param json Object that may have the field.
/// @param field Name of the field.
/// @param fallback Number of a missing field.
/// @param minimum Smallest allowed number.
/// @param maximum Largest allowed number.
/// @return The number.
/// @throws nlohmann::json::exception The document is not an object, or the field is not a number of the range.
std::int64_t readMeasure(const nlohmann::json &json, const char *field, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);

/// Reads a number that need not be whole.
/// @param json Value to read.
/// @param name Name of the value, for the error.
/// @param minimum Smallest allowed number.
/// @param maximum Largest allowed number.
/// @return The number.
/// @throws nlohmann::json::exception The value is not a number of the range.
double readReal(const nlohmann::json &json, const char *name, double minimum, double maximum);

} // namespace banyanlock
