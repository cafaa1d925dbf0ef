#pragma once

#include "core/Result.h"
#include "http/HttpServer.h"

#include <string>

namespace banyanlock
{

/// Builds an `application/problem+json` error response with the numeric code, its name and the code's default outcome.
/// @param error Code and detail.
/// @return The response.
ServerResponse problemResponse(const Error &error);

/// Builds an error response for a request whose outcome the request pipeline determined.
/// @param error Code and detail.
/// @param outcome Outcome of the request.
/// @param attempt Id of the last attempt; may be empty.
/// @return The response.
ServerResponse problemResponse(const Error &error, Outcome outcome, const std::string &attempt);

/// Builds a response with a JSON body and status 200.
/// @param text JSON text.
/// @return The response.
ServerResponse jsonResponse(std::string text);

} // namespace banyanlock
