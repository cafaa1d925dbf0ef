#pragma once

#include "runtime/HandlePool.h"
#include "runtime/HttpClient.h"

#include <curl/curl.h>

namespace banyanlock
{

/// One HTTP exchange (request and response) and its libcurl handle.
class HttpExchange
{
public:
    /// Acquires a handle and configures it for a request.
    /// @param request Request to send; stored for the lifetime of the exchange.
    /// @param callback Called by `finish`; may be empty.
    /// @param pool Pool of handles; must outlive the exchange.
    HttpExchange(HttpRequest request, HttpClient::Callback callback, HandlePool &pool);

    /// Releases the handle to the pool.
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// @return The libcurl handle.
    CURL *handle() const
    {
        return m_handle;
    }

    /// Builds the result from libcurl's result code. May be called once, since it moves the received body out.
    /// @param code Result code of the transfer.
    /// @return Result of the exchange.
    HttpReply takeReply(CURLcode code);

    /// Builds the result and passes it to the callback.
    /// @param code Result code of the transfer.
    void finish(CURLcode code);

private:
    static std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target);
    static std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *target);
    static int beforeSend(void *exchange, char *remoteAddress, char *localAddress, int remotePort, int localPort);
    void setOptions();
    HttpDelivery deliveryOf(CURLcode code) const;

    HttpRequest m_request;
    HttpClient::Callback m_callback;
    HttpReply m_reply;
    HandlePool &m_pool;
    CURL *m_handle;
    curl_slist *m_headers = nullptr;
    bool m_sent = false; // libcurl has begun to send the request
    bool m_resendPrevented = false;
};

} // namespace banyanlock
