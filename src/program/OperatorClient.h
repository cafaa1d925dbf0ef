#pragma once

#include "core/Result.h"
#include "program/ExitCode.h"
#include "runtime/HttpMessage.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace banyanlock
{

/// Calls the entries' HTTP interface for the command line.
class OperatorClient
{
public:
    /// @param entries Addresses of the entries, in the order in which they are tried.
    explicit OperatorClient(std::vector<std::string> entries);

    /// Calls one entry; another one only if the call has surely not reached the first.
    /// @param method Method in capitals.
    /// @param path Path with query.
    /// @param headers Further header fields.
    /// @param body Body; may be empty.
    /// @param timeoutMilliseconds Limit for the answer.
    /// @return The exchange with the last entry tried.
    HttpReply call(const std::string &method, const std::string &path, const std::vector<HttpHeader> &headers = {},
                   const std::string &body = "", long timeoutMilliseconds = 15000) const;

    /// Reports a call that did not succeed on standard error.
    /// @param reply The exchange.
    /// @param asJson Whether to print the problem's JSON.
    /// @return The exit code that goes with it.
    static ExitCode reportFailure(const HttpReply &reply, bool asJson);

    /// @param reply The exchange.
    /// @return Whether it ended with a status of success.
    static bool succeeded(const HttpReply &reply);

private:
    std::vector<std::string> m_entries;
};

} // namespace banyanlock
