#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

/// @return Milliseconds on the steady clock since the case began.
inline std::int64_t elapsedMilliseconds()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
}

/// File with everything that was sent, answered and run, one line each.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_file << elapsedMilliseconds() << " ms  " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
