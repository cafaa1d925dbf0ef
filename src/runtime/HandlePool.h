#pragma once

#include <curl/curl.h>
#include <mutex>
#include <vector>

namespace banyanlock
{

/// Pool of idle libcurl easy handles. Reuse matters because creating a handle costs more than the rest of a small exchange. Thread-safe.
class HandlePool
{
public:
    HandlePool() = default;

    HandlePool(const HandlePool &) = delete;
    HandlePool &operator=(const HandlePool &) = delete;

    /// Frees the idle handles.
    ~HandlePool()
    {
        for (CURL *handle : m_idle) {
            curl_easy_cleanup(handle);
        }
    }

    /// @return An idle or new handle, with default options.
    CURL *acquire()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_idle.empty()) {
                CURL *handle = m_idle.back();
                m_idle.pop_back();
                return handle;
            }
        }
        return curl_easy_init();
    }

    /// Returns a handle to the pool and resets its options. Frees it if the pool is full.
    /// @param handle Handle that no exchange uses any more.
    void release(CURL *handle)
    {
        curl_easy_reset(handle);
        {
            const std::lock_guard lock(m_mutex);
            if (m_idle.size() < maxIdleHandles) {
                m_idle.push_back(handle);
                return;
            }
        }
        curl_easy_cleanup(handle);
    }

private:
    static constexpr std::size_t maxIdleHandles = 256;

    std::mutex m_mutex;
    std::vector<CURL *> m_idle;
};

} // namespace banyanlock
