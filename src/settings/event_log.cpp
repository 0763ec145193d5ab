#include "settings/event_log.hpp"

#include "settings/bounded_output.hpp"
#include "settings/key_value_layout.hpp"

#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>

namespace boragestand::settings
{

namespace
{

log4cplus::LogLevel to_log4cplus_level(log_level level)
{
    switch (level)
    {
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::debug:
        break;
    }
    return log4cplus::DEBUG_LOG_LEVEL;
}

// Holds about one second of log lines of a busy entry instance.
constexpr std::size_t output_limit = 256 * 1024;

/// Appender that writes to standard output without blocking.
class bounded_output_appender final : public log4cplus::Appender
{
public:
    bounded_output_appender() : output_(STDOUT_FILENO, output_limit) {}
    ~bounded_output_appender() override { destructorImpl(); }

    void close() override { output_.flush(); }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        output_.write(formatEvent(event));
    }

private:
    bounded_output output_;
};

/// "instance=NAME", quoted like any other value.
std::string format_instance_pair(std::string_view instance)
{
    const std::string line = log_line("").with("instance", instance).text();
    return line.substr(line.find(' ') + 1);
}

log4cplus::SharedAppenderPtr create_appender(const std::string& file)
{
    if (file == standard_output)
    {
        return log4cplus::SharedAppenderPtr(new bounded_output_appender());
    }
    if (file.empty())
    {
        return log4cplus::SharedAppenderPtr(
            new log4cplus::ConsoleAppender(true, true));
    }
    return log4cplus::SharedAppenderPtr(
        new log4cplus::FileAppender(file, std::ios_base::app, true));
}

} // namespace

struct event_log::implementation
{
    log4cplus::Initializer library;
    log4cplus::Logger logger{log4cplus::Logger::getRoot()};
};

result<std::unique_ptr<event_log>> event_log::open(const log_settings& settings,
                                                   std::string_view instance)
{
    if (!settings.file.empty() && settings.file != standard_output &&
        !std::ofstream(settings.file, std::ios_base::app))
    {
        return failure(error_kind::invalid_settings,
                       "log file " + settings.file +
                           " cannot be written: " + std::strerror(errno));
    }
    auto parts = std::make_unique<implementation>();
    // log4cplus starts four worker threads for asynchronous appenders, which
    // are not used here; its minimum is one thread.
    log4cplus::setThreadPoolSize(1);
    const log4cplus::SharedAppenderPtr appender =
        create_appender(settings.file);
    appender->setLayout(
        std::make_unique<key_value_layout>(format_instance_pair(instance)));
    parts->logger.removeAllAppenders();
    parts->logger.addAppender(appender);
    // event_log compares levels itself, before a line is built.
    parts->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    return std::unique_ptr<event_log>(
        new event_log(std::move(parts), settings.level));
}

event_log::event_log(std::unique_ptr<implementation> parts, log_level level)
    : implementation_(std::move(parts)), level_(level)
{
}

event_log::~event_log()
{
    implementation_->logger.removeAllAppenders();
}

void event_log::append(log_level level, const log_line& line)
{
    implementation_->logger.forcedLog(to_log4cplus_level(level), line.text());
}

void event_log::append_limited(log_level level, log_line line,
                               std::uint64_t omitted)
{
    if (omitted > 0)
    {
        line.with("omitted", omitted);
    }
    append(level, line);
}

void event_log::report_omitted(time_point now)
{
    for (const auto& [cause, omitted] : limiter_.take_omitted_counts(now))
    {
        append(log_level::warn, log_line("lines_omitted")
                                    .with("cause", cause)
                                    .with("omitted", omitted));
    }
}

} // namespace boragestand::settings
