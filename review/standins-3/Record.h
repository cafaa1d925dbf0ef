#pragma once

#include "Net.h"

#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review
{

/// Writes what was sent, answered and run, with times in milliseconds.
class Record
{
public:
    /// @param path File to write.
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }

    /// @param line Line to write.
    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
