#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <cstdint>
#include <string>

namespace banyanlock
{

/// Writes whole lines to a file descriptor without blocking. A line that does not fit into the pipe is dropped and counted.
class LogStream : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
public:
    /// @param descriptor File descriptor to write to.
    explicit LogStream(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /// Writes one line. Called by the sink.
    /// @param view Log record; not used.
    /// @param line Text of the record, without line end.
    void consume(const boost::log::record_view &view, const string_type &line);

private:
    bool write(const std::string &text) const;

    int m_descriptor;
    std::uint64_t m_dropped = 0; // lines dropped since the last written one
};

} // namespace banyanlock
