#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// HTTP header field.
struct HttpHeader {
    std::string name; ///< Field name.
    std::string value; ///< Field value.
};

/// HTTP request of a client.
struct HttpRequest {
    std::string method = "GET"; ///< Method in upper case.
    std::string url; ///< Full URL with IP address and port.
    std::vector<HttpHeader> headers; ///< Additional header fields.
    std::string body; ///< Body; sent if it is not empty, and always for POST and PUT.
    long timeoutMilliseconds = 5000; ///< Timeout of the whole exchange.
    bool freshConnection = false; ///< Open a new connection, because idle ones may be dead without having been closed.
    bool ownConnection = false; ///< Use a fresh connection that is not reused, so that no idle one can be found dead while sending.
    bool mayResend
        = false; ///< Let libcurl resend the request when a reused connection closes before the first byte of the response, although
                 ///< the server may have executed it; a refusal may then be that of the second copy. Always allowed for GET.
};

/// How an exchange ended.
enum class HttpDelivery : unsigned char {
    Complete, ///< The response was received completely.
    NotSent, ///< No connection was established and no byte sent: the server has not received the request.
    TimedOut, ///< No complete response before the timeout; the server may have executed the request.
    Truncated, ///< The response ended before its declared length; the server may have executed the request.
    Lost, ///< The connection failed; the server may have executed the request.
};

/// Result of an HTTP exchange.
struct HttpReply {
    HttpDelivery delivery = HttpDelivery::Lost; ///< How the exchange ended.
    int status = 0; ///< Status code of a complete response.
    std::string contentType; ///< Content type of a complete response.
    std::string body; ///< Body of a complete response.
    std::string entityTag; ///< `ETag` of a complete response.
    std::string error; ///< libcurl's error message if the exchange failed.
};

} // namespace banyanlock
