#pragma once

#include "http/HttpServer.h"

#include <string>

namespace banyanlock
{

/// @param id Id of a worker.
/// @param body Body of its announcement.
/// @return The request with which the worker announces itself on the users' platform.
inline ServerRequest announcementRequest(const std::string &id, const std::string &body)
{
    ServerRequest request;
    request.method = "PUT";
    request.path = "/api/instances/" + id;
    request.body = body;
    return request;
}

} // namespace banyanlock
