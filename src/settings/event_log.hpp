#pragma once

#include "base/base.hpp"
#include "settings/log_level.hpp"
#include "settings/repeat_limiter.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace boragestand::settings
{

/// A repeated cause is logged at most once in this interval.
constexpr duration repeat_interval = std::chrono::seconds(10);

/// The log of a program: one line of key=value pairs for each event, which
/// starts with time, level and instance. Written through log4cplus.
class event_log
{
public:
    /// Opens the log; error_kind::invalid_settings if the file cannot be
    /// written. A process has one event_log at a time.
    static result<std::unique_ptr<event_log>> open(const log_settings& settings,
                                                   std::string_view instance);

    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Whether lines of this level are written.
    bool enabled(log_level level) const { return level <= level_; }

    /// The current level.
    log_level level() const { return level_; }

    /// Changes the level for subsequent lines.
    void set_level(log_level level) { level_ = level; }

    /// Writes the line that build() returns. build is called only if the level
    /// is enabled, so a disabled event costs a single comparison.
    template <typename Build>
    void write(log_level level, Build&& build)
    {
        if (enabled(level))
        {
            append(level, build());
        }
    }

    /// Like write(), but at most once per cause and repeat_interval. The next
    /// line of the cause gets omitted=COUNT if lines were omitted.
    template <typename Build>
    void write_limited(log_level level, std::string_view cause, time_point now,
                       Build&& build)
    {
        if (!enabled(level))
        {
            return;
        }
        if (const auto omitted = limiter_.admit(cause, now))
        {
            append_limited(level, build(), *omitted);
        }
    }

    /// Logs the numbers of omitted lines of causes that have not occurred
    /// again; call about once a second.
    void report_omitted(time_point now);

private:
    struct implementation;
    event_log(std::unique_ptr<implementation> parts, log_level level);
    void append(log_level level, const log_line& line);
    void append_limited(log_level level, log_line line, std::uint64_t omitted);

    std::unique_ptr<implementation> implementation_;
    log_level level_;
    repeat_limiter limiter_{repeat_interval};
};

} // namespace boragestand::settings
