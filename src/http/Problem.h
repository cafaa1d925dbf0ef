#pragma once

#include "core/Result.h"
#include "http/HttpServer.h"

#include <string>

namespace banyanlock
{

/// Makes an error answer: `application/problem+json` with the numbered code, its name and the outcome.
/// @param error Code and particulars.
/// @return The answer.
ServerResponse problemResponse(const Error &error);

/// Makes an error answer for a request whose outcome was worked out by the pipeline.
/// @param error Code and particulars.
/// @param outcome Outcome of the request.
/// @param attempt Id of the last attempt; may be empty.
/// @return The answer.
ServerResponse problemResponse(const Error &error, Outcome outcome, const std::string &attempt);

/// Makes an answer with a JSON body.
/// @param text JSON text.
/// @return The answer.
ServerResponse jsonResponse(std::string text);

} // namespace banyanlock
