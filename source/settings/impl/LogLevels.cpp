#include "settings/impl/LogLevels.h"

#include <map>

namespace lagoontiller::settings {

core::LogLevel parseLogLevel(const std::string& text)
{
    static const std::map<std::string, core::LogLevel> levels { { "debug", core::LogLevel::Debug },
        { "info", core::LogLevel::Info }, { "warning", core::LogLevel::Warning }, { "error", core::LogLevel::Error } };
    return levels.at(text);
}

} // namespace lagoontiller::settings
