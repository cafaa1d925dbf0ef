#pragma once

#include "program/CommandContext.h"
#include "program/OperatorClient.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace banyanlock
{

/// Finishes a command that made one call: reports a failure, or prints the answer as JSON or as text.
/// @param parsed Options of the command.
/// @param reply Result of the call.
/// @param print Prints the parsed answer as text.
/// @return Exit code of the command.
template <typename Print> ExitCode finishCall(const ParsedArguments &parsed, const HttpReply &reply, Print print)
{
    if (!OperatorClient::succeeded(reply)) {
        return OperatorClient::reportFailure(reply, wantsJson(parsed));
    }
    if (wantsJson(parsed)) {
        std::cout << reply.body;
    } else {
        print(nlohmann::json::parse(reply.body));
    }
    return ExitCode::Done;
}

} // namespace banyanlock
