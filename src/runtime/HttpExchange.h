#pragma once

#include "runtime/HandlePool.h"
#include "runtime/HttpClient.h"

#include <curl/curl.h>

namespace banyanlock
{

/// One exchange with its libcurl handle.
class HttpExchange
{
public:
    /// Prepares a handle for a request.
    /// @param request What to send; kept until the end.
    /// @param callback Called by `finish`; may be empty.
    /// @param pool Where the handle comes from; outlives the exchange.
    HttpExchange(HttpRequest request, HttpClient::Callback callback, HandlePool &pool);

    /// Gives the handle back.
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// @return The libcurl handle.
    CURL *handle() const
    {
        return m_handle;
    }

    /// Makes the result from libcurl's code.
    /// @param code How the transfer ended.
    /// @return The result.
    HttpReply takeReply(CURLcode code);

    /// Makes the result and calls back.
    /// @param code How the transfer ended.
    void finish(CURLcode code);

private:
    static std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target);
    static std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *target);
    void setOptions();
    HttpDelivery deliveryOf(CURLcode code) const;

    HttpRequest m_request;
    HttpClient::Callback m_callback;
    HttpReply m_reply;
    HandlePool &m_pool;
    CURL *m_handle;
    curl_slist *m_headers = nullptr;
};

} // namespace banyanlock
