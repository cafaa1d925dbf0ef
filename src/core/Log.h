#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace banyanlock
{

/// Severity of a log line.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// One named value of a log line.
struct LogField {
    std::string_view name; ///< Key in the JSON object.
    std::variant<std::int64_t, std::string> value; ///< Number or text.
};

/// Writes log lines to standard output, one JSON object per line. Never blocks, and limits the rate of lines of each event.
class Log
{
public:
    /// Sets up the sink; must be called once, before the first line. Earlier lines are discarded.
    /// @param role Role of the process, written on every line.
    /// @param name Name of the instance, written on every line.
    /// @param level Minimum level; lines below it are not written.
    static void start(std::string_view role, std::string_view name, LogLevel level);

    /// Sets the minimum level of the lines that are written.
    /// @param level Minimum level.
    static void setLevel(LogLevel level);

    /// Writes one line.
    /// @param level Severity of the line.
    /// @param event Name of the event, in snake case.
    /// @param fields Additional fields.
    static void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

    /// Writes an information line.
    /// @param event Name of the event.
    /// @param fields Additional fields.
    static void info(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        write(LogLevel::Info, event, fields);
    }

    /// Writes a warning line.
    /// @param event Name of the event.
    /// @param fields Additional fields.
    static void warning(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        write(LogLevel::Warning, event, fields);
    }

    /// @param name Name of a level as in the settings.
    /// @return The level, or `Info` for an unknown name.
    static LogLevel levelFromName(std::string_view name);
};

} // namespace banyanlock
