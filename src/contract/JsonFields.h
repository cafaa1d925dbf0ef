#pragma once

#include "core/Result.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Reads the fields of a JSON object and collects what is wrong with them.
class JsonFields
{
public:
    /// @param json Object to read.
    /// @param path Path of the object, for messages; empty for the root.
    /// @param error Receives the first fault.
    JsonFields(const nlohmann::json &json, std::string path, std::string &error);

    /// Refuses fields that are not named.
    /// @param names All fields that the object may have.
    void rejectUnknown(std::initializer_list<std::string_view> names);

    /// Reads a name: 1 to 64 letters, digits, dashes, dots and underscores.
    /// @param field Field to read.
    /// @param value Receives the value.
    void readName(const char *field, std::string &value);

    /// Reads a number; a missing field keeps the value.
    /// @param field Field to read.
    /// @param value Receives the value.
    /// @param minimum Least value.
    /// @param maximum Largest value.
    void readNumber(const char *field, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum);

    /// Reads a truth value; a missing field keeps the value.
    /// @param field Field to read.
    /// @param value Receives the value.
    void readBool(const char *field, bool &value);

    /// Reads one of several words; a missing field keeps the value.
    /// @param field Field to read.
    /// @param value Receives the word.
    /// @param allowed Words that are allowed.
    void readEnum(const char *field, std::string &value, std::initializer_list<std::string_view> allowed);

    /// @param field Field to look up.
    /// @return The field, or null if it is missing or the root is no object.
    const nlohmann::json *find(const char *field) const;

    /// Notes a fault, unless one was noted before.
    /// @param field Field concerned.
    /// @param reason What is wrong.
    void fail(const std::string &field, const std::string &reason);

    /// @param field Field to name.
    /// @return Its path from the root.
    std::string pathOf(const std::string &field) const;

private:
    const nlohmann::json &m_json;
    std::string m_path;
    std::string &m_error;
};

/// Parses JSON text.
/// @param text Text to parse.
/// @param code Code of the error.
/// @return The object, or an error with the place of the fault.
Result<nlohmann::json> parseJsonObject(const std::string &text, ResultCode code);

} // namespace banyanlock
