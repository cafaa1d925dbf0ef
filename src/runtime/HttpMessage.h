#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// One header field.
struct HttpHeader {
    std::string name; ///< Field name.
    std::string value; ///< Field value.
};

/// A request over HTTP, as a client sends it.
struct HttpRequest {
    std::string method = "GET"; ///< Method in capitals.
    std::string url; ///< Whole URL with IP number and port.
    std::vector<HttpHeader> headers; ///< Further header fields.
    std::string body; ///< Body; sent if not empty or for POST and PUT.
    long timeoutMilliseconds = 5000; ///< Limit for the whole exchange.
    bool freshConnection = false; ///< Make a new connection: open ones may have gone silent.
    bool neverRepeat = false; ///< Send over a fresh connection, so that the library can't send it twice.
};

/// How an exchange ended.
enum class HttpDelivery : unsigned char {
    Complete, ///< The whole answer is there.
    NotSent, ///< No connection could be made: the server never saw the request.
    TimedOut, ///< No whole answer in time; the server may have acted.
    Truncated, ///< The answer was cut short; the server may have acted.
    Lost, ///< The connection broke; the server may have acted.
};

/// Result of an exchange.
struct HttpReply {
    HttpDelivery delivery = HttpDelivery::Lost; ///< How it ended.
    int status = 0; ///< Status code of a complete answer.
    std::string contentType; ///< Content type of a complete answer.
    std::string body; ///< Body of a complete answer.
    std::string entityTag; ///< `ETag` of a complete answer.
    std::string error; ///< The library's words on a failure.
};

} // namespace banyanlock
