#include "core/Log.h"

#include "core/LogSink.h"
#include "core/Time.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <unistd.h>

namespace lagoontiller::core {

namespace {

std::atomic<int> logThreshold { static_cast<int>(LogLevel::Info) };
std::string& nodeNameStorage()
{
    static std::string nodeName;
    return nodeName;
}

std::string_view levelName(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

using Frontend = boost::log::sinks::synchronous_sink<LogSink>;

boost::shared_ptr<Frontend>& frontend()
{
    static boost::shared_ptr<Frontend> sink;
    return sink;
}

bool needsQuotes(std::string_view value) noexcept
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

std::string quote(std::string_view value)
{
    std::string result = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            result += '\\';
        result += (character == '\n' || character == '\r') ? ' ' : character;
    }
    return result + '"';
}

} // namespace

void initialiseLogging(LogLevel threshold, std::string nodeName)
{
    logThreshold = static_cast<int>(threshold);
    nodeNameStorage() = std::move(nodeName);
    boost::log::core::get()->remove_all_sinks();
    frontend() = boost::make_shared<Frontend>(boost::make_shared<LogSink>(STDOUT_FILENO));
    boost::log::core::get()->add_sink(frontend());
}

void bufferLogs()
{
    frontend()->locked_backend()->setBuffered(true);
}

void flushLogs()
{
    if (frontend())
        frontend()->flush();
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : level(level)
    , enabled(static_cast<int>(level) >= logThreshold)
{
    if (!this->enabled)
        return;
    this->text = "time=" + std::to_string(unixMilliseconds()) + " level=" + std::string(levelName(level));
    if (!nodeNameStorage().empty())
        this->text += " node=" + nodeNameStorage();
    this->text += " event=" + std::string(event);
}

LogLine::~LogLine()
{
    if (!this->enabled)
        return;
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << this->text;
}

LogLine& LogLine::with(std::string_view key, std::string_view value)
{
    return this->append(key, needsQuotes(value) ? quote(value) : std::string(value));
}

LogLine& LogLine::append(std::string_view key, const std::string& value)
{
    if (this->enabled)
        this->text += " " + std::string(key) + "=" + value;
    return *this;
}

} // namespace lagoontiller::core
