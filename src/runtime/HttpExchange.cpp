#include "runtime/HttpExchange.h"

#include <strings.h>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr long connectTimeoutMilliseconds = 1000;

} // namespace

HttpExchange::HttpExchange(HttpRequest request, HttpClient::Callback callback, HandlePool &pool)
    : m_request(std::move(request))
    , m_callback(std::move(callback))
    , m_pool(pool)
    , m_handle(pool.acquire())
{
    setOptions();
}

HttpExchange::~HttpExchange()
{
    curl_slist_free_all(m_headers);
    m_pool.release(m_handle);
}

std::size_t HttpExchange::appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<HttpExchange *>(target)->m_reply.body.append(data, size * count);
    return size * count;
}

std::size_t HttpExchange::readHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    constexpr std::string_view name = "etag:";
    std::string_view line(data, size * count);
    if (line.size() > name.size() && strncasecmp(line.data(), name.data(), name.size()) == 0) {
        line.remove_prefix(name.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
            line.remove_suffix(1);
        }
        static_cast<HttpExchange *>(target)->m_reply.entityTag = line;
    }
    return size * count;
}

int HttpExchange::beforeSend(void *exchange, char *, char *, int, int)
{
    auto *self = static_cast<HttpExchange *>(exchange);
    // libcurl calls this before each sending, also before it resends after a reused connection has closed.
    if (std::exchange(self->m_sent, true)) {
        self->m_resendPrevented = true;
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

void HttpExchange::setOptions()
{
    curl_easy_setopt(m_handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, m_request.timeoutMilliseconds);
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &HttpExchange::appendBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &HttpExchange::readHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    if (!m_request.body.empty() || m_request.method == "POST" || m_request.method == "PUT") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request.body.c_str());
    }
    if (m_request.freshConnection) {
        curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (m_request.ownConnection) {
        curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!m_request.mayResend && m_request.method != "GET") {
        curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &HttpExchange::beforeSend);
        curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    }
    m_headers = curl_slist_append(m_headers, "Expect:");
    for (const HttpHeader &header : m_request.headers) {
        m_headers = curl_slist_append(m_headers, (header.name + ": " + header.value).c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
}

HttpDelivery HttpExchange::deliveryOf(CURLcode code) const
{
    long requestBytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    switch (code) {
    case CURLE_OK:
        return HttpDelivery::Complete;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        // The failed connection may be a retry by libcurl, after a reused connection closed with the request already sent on it.
        return requestBytes == 0 ? HttpDelivery::NotSent : HttpDelivery::Lost;
    case CURLE_OPERATION_TIMEDOUT:
        return HttpDelivery::TimedOut;
    case CURLE_PARTIAL_FILE:
        return HttpDelivery::Truncated;
    default:
        return HttpDelivery::Lost;
    }
}

HttpReply HttpExchange::takeReply(CURLcode code)
{
    m_reply.delivery = deliveryOf(code);
    if (code != CURLE_OK) {
        m_reply.error = m_resendPrevented ? "connection closed before the response" : curl_easy_strerror(code);
        return std::move(m_reply);
    }
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    m_reply.status = static_cast<int>(status);
    const char *contentType = nullptr;
    curl_easy_getinfo(m_handle, CURLINFO_CONTENT_TYPE, &contentType);
    m_reply.contentType = contentType == nullptr ? "" : contentType;
    return std::move(m_reply);
}

void HttpExchange::finish(CURLcode code)
{
    HttpReply reply = takeReply(code);
    if (m_callback) {
        m_callback(std::move(reply));
    }
}

} // namespace banyanlock
