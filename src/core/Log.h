#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace banyanlock
{

/// Weight of a log line.
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

/// Writes log lines as JSON objects, one a line, to standard output. It never blocks, and bounds the lines of each kind.
class Log
{
public:
    /// Sets up the sink; call once, before the first line.
    /// @param role Role of the process, put on every line.
    /// @param name Name of the instance, put on every line.
    /// @param level Lines below this level are left out.
    static void start(std::string_view role, std::string_view name, LogLevel level);

    /// Sets the least level of lines that are written.
    /// @param level The level.
    static void setLevel(LogLevel level);

    /// Writes one line.
    /// @param level Weight of the line.
    /// @param event Name of the event, in snake case.
    /// @param fields Further values.
    static void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

    /// Writes an information line.
    /// @param event Name of the event.
    /// @param fields Further values.
    static void info(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        write(LogLevel::Info, event, fields);
    }

    /// Writes a warning line.
    /// @param event Name of the event.
    /// @param fields Further values.
    static void warning(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        write(LogLevel::Warning, event, fields);
    }

    /// @param name Name as in the settings.
    /// @return The level, or `Info` for an unknown name.
    static LogLevel levelFromName(std::string_view name);
};

} // namespace banyanlock
