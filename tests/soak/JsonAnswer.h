#pragma once

#include "http/HttpServer.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace banyanlock
{

/// @param status Status code.
/// @param body Body to write.
/// @return An answer with a JSON body.
inline ServerResponse jsonAnswer(int status, const nlohmann::json &body)
{
    ServerResponse response;
    response.status = status;
    response.contentType = "application/json";
    response.body = std::make_shared<const std::string>(body.dump());
    return response;
}

} // namespace banyanlock
