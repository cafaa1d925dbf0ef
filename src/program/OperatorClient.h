#pragma once

#include "core/Result.h"
#include "program/ExitCode.h"
#include "runtime/HttpMessage.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace banyanlock
{

/// HTTP client of the command line for the entries' API.
class OperatorClient
{
public:
    /// @param entries Addresses of the entries, in the order in which they are tried.
    explicit OperatorClient(std::vector<std::string> entries);

    /// Calls the first entry that can be reached. The next entry is tried only if the request was not sent, or if a GET got no complete
    /// answer.
    /// @param method HTTP method in capitals.
    /// @param path Path, with the query if any.
    /// @param headers Additional header fields.
    /// @param body Body; may be empty.
    /// @param timeoutMilliseconds Time limit for the answer of each entry.
    /// @return Result of the exchange with the last entry tried.
    HttpReply call(const std::string &method, const std::string &path, const std::vector<HttpHeader> &headers = {},
                   const std::string &body = "", long timeoutMilliseconds = 15000) const;

    /// Reports a call that did not succeed on standard error.
    /// @param reply Result of the exchange.
    /// @param asJson Whether to print the problem details as JSON on standard output.
    /// @return The matching exit code.
    static ExitCode reportFailure(const HttpReply &reply, bool asJson);

    /// @param reply Result of the exchange.
    /// @return Whether the answer arrived whole with a 2xx status.
    static bool succeeded(const HttpReply &reply);

private:
    std::vector<std::string> m_entries;
};

} // namespace banyanlock
