#pragma once

#include "core/Assert.h"
#include "core/ResultCode.h"

#include <string>
#include <utility>
#include <variant>

namespace banyanlock
{

/// A result code with a detailed message.
struct Error {
    ResultCode code = ResultCode::Ok; ///< Code of the failure.
    std::string detail; ///< Human-readable field, value and reason.
};

/// Holds a value, or the error because of which there is none.
template <typename Value> using Result = std::variant<Value, Error>;

/// Value of a result that reports only success.
struct Done {
};

/// @param result Result to check.
/// @return Whether the result holds a value.
template <typename Value> bool isOk(const Result<Value> &result)
{
    return std::holds_alternative<Value>(result);
}

/// @param result Result that holds a value.
/// @return The value.
template <typename Value> Value &valueOf(Result<Value> &result)
{
    BANYANLOCK_ASSERT(isOk(result));
    return *std::get_if<Value>(&result);
}

/// @param result Result that holds a value.
/// @return The value.
template <typename Value> const Value &valueOf(const Result<Value> &result)
{
    BANYANLOCK_ASSERT(isOk(result));
    return *std::get_if<Value>(&result);
}

/// @param result Result that holds an error.
/// @return The error.
template <typename Value> const Error &errorOf(const Result<Value> &result)
{
    return *std::get_if<Error>(&result);
}

} // namespace banyanlock
