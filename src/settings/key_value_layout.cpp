#include "settings/key_value_layout.hpp"

#include "settings/log_level.hpp"

#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>

namespace boragestand::settings
{

namespace
{

log_level from_log4cplus_level(log4cplus::LogLevel level)
{
    if (level >= log4cplus::ERROR_LOG_LEVEL)
    {
        return log_level::error;
    }
    if (level >= log4cplus::WARN_LOG_LEVEL)
    {
        return log_level::warn;
    }
    return level >= log4cplus::INFO_LOG_LEVEL ? log_level::info
                                              : log_level::debug;
}

} // namespace

key_value_layout::key_value_layout(std::string instance_pair)
    : instance_pair_(std::move(instance_pair))
{
}

void key_value_layout::formatAndAppend(
    log4cplus::tostream& output,
    const log4cplus::spi::InternalLoggingEvent& event)
{
    output << "time="
           << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                   event.getTimestamp(), true)
           << " level=" << name_of(from_log4cplus_level(event.getLogLevel()))
           << ' ' << instance_pair_ << ' ' << event.getMessage() << '\n';
}

} // namespace boragestand::settings
