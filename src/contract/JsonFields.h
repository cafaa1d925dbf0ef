#pragma once

#include "core/Result.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Reads and validates the fields of a JSON object and records the first error.
class JsonFields
{
public:
    /// @param json Object to read.
    /// @param path Path of the object for error messages; empty for the root.
    /// @param error Receives the first error; must outlive this object.
    JsonFields(const nlohmann::json &json, std::string path, std::string &error);

    /// Rejects fields with other names than those given.
    /// @param names Names of all fields that the object may have.
    void rejectUnknown(std::initializer_list<std::string_view> names);

    /// Reads a required name of 1 to 64 letters, digits, dashes, dots and underscores.
    /// @param field Field to read.
    /// @param value Receives the value.
    void readName(const char *field, std::string &value);

    /// Reads a number. If the field is missing, the value is left unchanged.
    /// @param field Field to read.
    /// @param value Receives the value.
    /// @param minimum Smallest allowed value.
    /// @param maximum Largest allowed value.
    void readNumber(const char *field, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum);

    /// Reads a boolean. If the field is missing, the value is left unchanged.
    /// @param field Field to read.
    /// @param value Receives the value.
    void readBool(const char *field, bool &value);

    /// Reads a string with a fixed set of values. If the field is missing, the value is left unchanged.
    /// @param field Field to read.
    /// @param value Receives the value.
    /// @param allowed Allowed values.
    void readEnum(const char *field, std::string &value, std::initializer_list<std::string_view> allowed);

    /// @param field Field to look up.
    /// @return The field, or null if it is missing or the JSON value is not an object.
    const nlohmann::json *find(const char *field) const;

    /// Records an error, unless one was recorded before.
    /// @param field Invalid field; empty for the object itself.
    /// @param reason Description of the error.
    void fail(const std::string &field, const std::string &reason);

    /// @param field Name of a field; empty for the object itself.
    /// @return Path of the field from the root.
    std::string pathOf(const std::string &field) const;

private:
    const nlohmann::json &m_json;
    std::string m_path;
    std::string &m_error;
};

/// Parses a JSON object.
/// @param text JSON text.
/// @param code Result code of a returned error.
/// @return The object, or an error that describes what is wrong with the text and where.
Result<nlohmann::json> parseJsonObject(const std::string &text, ResultCode code);

} // namespace banyanlock
