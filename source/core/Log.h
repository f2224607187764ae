#pragma once

#include <string>
#include <string_view>

namespace lagoontiller::core {

enum class LogLevel : int {
    Debug,
    Info,
    Warning,
    Error,
};

/// \brief Writes log lines to standard output through Boost.Log; lines with a level below `threshold` are discarded.
/// Never blocks on a slow reader: lines that do not fit into a bounded buffer are dropped and counted.
void initialiseLogging(LogLevel threshold, std::string nodeName);

/// \brief Switches to writing log lines in blocks; the process must then call `flushLogs` regularly.
void bufferLogs();

/// \brief Writes the buffered lines, as far as the reader of standard output accepts them without blocking.
void flushLogs();

/// \brief One log event: `time=… level=… node=… event=… key=value …`, written when the object is destroyed.
///
/// Values that are empty or contain blanks, quotes, equals signs or line breaks are quoted. Keys, tokens and message
/// bodies must not be logged.
class LogLine {
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& with(std::string_view key, std::string_view value);
    LogLine& with(std::string_view key, const char* value) { return this->with(key, std::string_view(value)); }
    template <typename Number> LogLine& with(std::string_view key, Number value) requires std::is_arithmetic_v<Number>
    {
        return this->append(key, std::to_string(value));
    }

private:
    LogLine& append(std::string_view key, const std::string& value);

    LogLevel level;
    bool enabled;
    std::string text;
};

inline LogLine logInfo(std::string_view event)
{
    return LogLine(LogLevel::Info, event);
}
inline LogLine logWarning(std::string_view event)
{
    return LogLine(LogLevel::Warning, event);
}
inline LogLine logError(std::string_view event)
{
    return LogLine(LogLevel::Error, event);
}

} // namespace lagoontiller::core
