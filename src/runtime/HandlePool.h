#pragma once

#include <curl/curl.h>
#include <mutex>
#include <vector>

namespace banyanlock
{

/// Handles of libcurl that wait for their next exchange. Making one anew costs more than the rest of a small exchange. Safe from every
/// thread.
class HandlePool
{
public:
    HandlePool() = default;

    HandlePool(const HandlePool &) = delete;
    HandlePool &operator=(const HandlePool &) = delete;

    /// Frees the handles that wait.
    ~HandlePool()
    {
        for (CURL *handle : m_idle) {
            curl_easy_cleanup(handle);
        }
    }

    /// @return A handle without options.
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

    /// Takes a handle back; its options are dropped.
    /// @param handle The handle, which belongs to no exchange any more.
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
