#include "http/Problem.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{

ServerResponse problemResponse(const Error &error, Outcome outcome, const std::string &attempt)
{
    const ResultCodeInfo &info = infoOf(error.code);
    nlohmann::ordered_json json;
    json["title"] = info.name;
    json["status"] = info.httpStatus;
    json["detail"] = error.detail.empty() ? std::string(info.meaning) : error.detail;
    json["code"] = static_cast<std::uint16_t>(error.code);
    json["name"] = info.name;
    json["outcome"] = outcomeName(outcome);
    if (!attempt.empty()) {
        json["attempt"] = attempt;
    }
    ServerResponse response;
    response.status = info.httpStatus;
    response.contentType = "application/problem+json";
    response.body = std::make_shared<const std::string>(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    return response;
}

ServerResponse problemResponse(const Error &error)
{
    return problemResponse(error, infoOf(error.code).outcome, "");
}

ServerResponse jsonResponse(std::string text)
{
    ServerResponse response;
    response.contentType = "application/json";
    response.body = std::make_shared<const std::string>(std::move(text) + "\n");
    return response;
}

} // namespace banyanlock
