#include "program/OperatorClient.h"

#include "runtime/HttpClient.h"

#include <iostream>
#include <utility>

namespace banyanlock
{

OperatorClient::OperatorClient(std::vector<std::string> entries)
    : m_entries(std::move(entries))
{
}

HttpReply OperatorClient::call(const std::string &method, const std::string &path, const std::vector<HttpHeader> &headers,
                               const std::string &body, long timeoutMilliseconds) const
{
    HttpReply reply;
    reply.delivery = HttpDelivery::NotSent;
    for (const std::string &entry : m_entries) {
        HttpRequest request;
        request.method = method;
        request.url = "http://";
        request.url.append(entry).append(path);
        request.headers = headers;
        request.body = body;
        request.timeoutMilliseconds = timeoutMilliseconds;
        request.ownConnection = method != "GET";
        reply = HttpClient::exchange(request);
        const bool mayTryNext = reply.delivery == HttpDelivery::NotSent || (method == "GET" && reply.delivery != HttpDelivery::Complete);
        if (!mayTryNext) {
            break;
        }
    }
    return reply;
}

bool OperatorClient::succeeded(const HttpReply &reply)
{
    return reply.delivery == HttpDelivery::Complete && reply.status >= 200 && reply.status < 300;
}

ExitCode OperatorClient::reportFailure(const HttpReply &reply, bool asJson)
{
    if (reply.delivery == HttpDelivery::NotSent) {
        std::cerr << "banyanlock: no entry could be reached: " << reply.error << "\n";
        return ExitCode::Unreachable;
    }
    if (reply.delivery != HttpDelivery::Complete) {
        std::cerr << "banyanlock: the entry's answer was lost, the outcome is unknown: " << reply.error << "\n";
        return ExitCode::Unknown;
    }
    const nlohmann::json problem = nlohmann::json::parse(reply.body, nullptr, false);
    if (!problem.is_object() || !problem.contains("outcome")) {
        std::cerr << "banyanlock: unexpected answer with status " << reply.status << "\n";
        return ExitCode::Failed;
    }
    if (asJson) {
        std::cout << problem.dump() << "\n";
    } else {
        std::cerr << "banyanlock: error " << problem.value("code", 0) << " " << problem.value("name", "") << " ("
                  << problem.value("outcome", "") << "): " << problem.value("detail", "") << "\n";
    }
    return problem.value("outcome", "") == "not_run" ? ExitCode::NotRun : ExitCode::Unknown;
}

} // namespace banyanlock
