#include "core/Log.h"

#include "core/LogStream.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <unistd.h>
#include <utility>

namespace banyanlock
{
namespace
{

namespace logging = boost::log;

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

struct LogIdentity {
    std::string role;
    std::string name;
    LogLevel level = LogLevel::Error;
    bool started = false;
};

LogIdentity &identity()
{
    static LogIdentity instance;
    return instance;
}

std::string utcTimestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(milliseconds));
    return text.data();
}

/// Number of lines of one event in the current one-second window.
struct EventRateLimit {
    std::chrono::steady_clock::time_point second{};
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
};

/// Applies the rate limit of an event to one line.
/// @return Number of lines of the event suppressed since the last written one, or an empty value if this line is to be suppressed.
std::optional<std::uint64_t> admitLine(std::string_view event)
{
    constexpr std::uint32_t maxLinesPerSecond = 200; // for each event; 40 KB/s at 200 bytes a line
    static std::mutex mutex;
    static std::map<std::string, EventRateLimit, std::less<>> limits;
    const std::lock_guard lock(mutex);
    auto found = limits.find(event);
    if (found == limits.end()) {
        found = limits.emplace(std::string(event), EventRateLimit()).first;
    }
    EventRateLimit &limit = found->second;
    const auto now = std::chrono::steady_clock::now();
    if (now - limit.second >= std::chrono::seconds(1)) {
        limit.second = now;
        limit.written = 0;
    }
    if (limit.written >= maxLinesPerSecond) {
        ++limit.suppressed;
        return std::nullopt;
    }
    ++limit.written;
    return std::exchange(limit.suppressed, 0);
}

std::int64_t bounded(std::int64_t number)
{
    return number;
}

/// Shortens a text, which may quote input of any size.
std::string bounded(const std::string &text)
{
    constexpr std::size_t maxTextBytes = 2000;
    return text.size() <= maxTextBytes ? text : text.substr(0, maxTextBytes) + "... (" + std::to_string(text.size()) + " bytes)";
}

} // namespace

void Log::start(std::string_view role, std::string_view name, LogLevel level)
{
    identity() = {std::string(role), std::string(name), level, true};
    auto backend = boost::make_shared<LogStream>(STDOUT_FILENO);
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<LogStream>>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

void Log::setLevel(LogLevel level)
{
    identity().level = level;
}

void Log::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!identity().started || level < identity().level) {
        return;
    }
    const std::optional<std::uint64_t> suppressed = admitLine(event);
    if (!suppressed) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = utcTimestamp();
    line["level"] = levelNames[static_cast<std::size_t>(level)];
    line["role"] = identity().role;
    line["name"] = identity().name;
    line["event"] = event;
    if (*suppressed > 0) {
        line["suppressed_before"] = *suppressed;
    }
    for (const LogField &field : fields) {
        std::visit(
            [&](const auto &value) {
                line[std::string(field.name)] = bounded(value);
            },
            field.value);
    }
    static logging::sources::logger_mt logger;
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

LogLevel Log::levelFromName(std::string_view name)
{
    const auto found = std::ranges::find(levelNames, name);
    return found == levelNames.end() ? LogLevel::Info : static_cast<LogLevel>(found - levelNames.begin());
}

} // namespace banyanlock
