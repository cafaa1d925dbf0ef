#include "runtime/HttpClient.h"

#include "runtime/HttpExchange.h"

#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace banyanlock
{

/// Runs the exchanges: owns the client's thread, its libcurl multi handle and the queue of new exchanges.
class HttpClient::Impl
{
public:
    explicit Impl(long connectionsPerHost)
        : m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, connectionsPerHost);
        m_thread = std::thread([this] {
            run();
        });
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        curl_multi_wakeup(m_multi);
        m_thread.join();
        for (HttpExchange *exchange : m_active) {
            curl_multi_remove_handle(m_multi, exchange->handle());
            delete exchange;
        }
        curl_multi_cleanup(m_multi);
    }

    void send(HttpRequest request, Callback callback)
    {
        auto exchange = std::make_unique<HttpExchange>(std::move(request), std::move(callback), m_pool);
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            wasEmpty = m_incoming.empty();
            m_incoming.push_back(std::move(exchange));
        }
        if (wasEmpty) {
            curl_multi_wakeup(m_multi);
        }
    }

private:
    static constexpr int pollTimeoutMilliseconds = 1000;

    bool startIncoming()
    {
        std::vector<std::unique_ptr<HttpExchange>> incoming;
        {
            const std::lock_guard lock(m_mutex);
            incoming.swap(m_incoming);
            if (m_stopping) {
                return false;
            }
        }
        for (std::unique_ptr<HttpExchange> &exchange : incoming) {
            curl_multi_add_handle(m_multi, exchange->handle());
            m_active.push_back(exchange.release());
        }
        return true;
    }

    void finishCompleted()
    {
        int remainingMessages = 0;
        while (CURLMsg *message = curl_multi_info_read(m_multi, &remainingMessages)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            CURL *handle = message->easy_handle;
            char *privateData = nullptr;
            curl_easy_getinfo(handle, CURLINFO_PRIVATE, &privateData);
            // CURLINFO_PRIVATE is the HttpExchange pointer that its constructor set with CURLOPT_PRIVATE.
            std::unique_ptr<HttpExchange> exchange(reinterpret_cast<HttpExchange *>(privateData));
            curl_multi_remove_handle(m_multi, handle);
            std::erase(m_active, exchange.get());
            exchange->finish(code);
        }
    }

    void run()
    {
        while (startIncoming()) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishCompleted();
            curl_multi_poll(m_multi, nullptr, 0, pollTimeoutMilliseconds, nullptr);
        }
    }

    HandlePool m_pool;
    CURLM *m_multi;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<HttpExchange>> m_incoming;
    std::vector<HttpExchange *> m_active;
    bool m_stopping = false;
    std::thread m_thread;
};

HttpClient::HttpClient(long connectionsPerHost)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialised;
    m_impl = std::make_unique<Impl>(connectionsPerHost);
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpRequest request, Callback callback)
{
    m_impl->send(std::move(request), std::move(callback));
}

HttpReply HttpClient::exchange(const HttpRequest &request)
{
    HandlePool pool;
    HttpExchange exchange(request, nullptr, pool);
    return exchange.takeReply(curl_easy_perform(exchange.handle()));
}

} // namespace banyanlock
