#include "core/LogStream.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace banyanlock
{

bool LogStream::write(const std::string &text) const
{
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking, so longer lines are dropped.
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (text.size() > PIPE_BUF || ::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(m_descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

void LogStream::consume(const boost::log::record_view &view, const string_type &line)
{
    (void)view;
    if (m_dropped > 0 && write("{\"event\":\"log_lines_dropped\",\"count\":" + std::to_string(m_dropped) + "}\n")) {
        m_dropped = 0;
    }
    if (!write(line + "\n")) {
        ++m_dropped;
    }
}

} // namespace banyanlock
