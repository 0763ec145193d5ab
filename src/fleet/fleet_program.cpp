#include "fleet/fleet_program.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace boragestand::fleet
{

namespace
{

constexpr duration report_interval = std::chrono::seconds(1);

// A change without SIGHUP must be detected long before the seeds that it names
// are needed; a check costs two system calls.
constexpr duration settings_check_interval = std::chrono::seconds(5);

} // namespace

result<std::unique_ptr<fleet_program>>
fleet_program::open(settings::settings_watch settings)
{
    auto lines = settings::event_log::open(settings.current().log,
                                           settings.current().name);
    if (!lines)
    {
        return tl::unexpected(lines.error());
    }
    return std::unique_ptr<fleet_program>(
        new fleet_program(std::move(settings), std::move(*lines)));
}

fleet_program::fleet_program(settings::settings_watch settings,
                             std::unique_ptr<settings::event_log> lines)
    : settings_(std::move(settings)), lines_(std::move(lines)), log_(*lines_)
{
    // A reader of the log that has gone away must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    log_.lifecycle("start", settings_.current().internal);
    subscriptions_.push_back(timers_.every(report_interval,
                                           [this](time_point now)
                                           { lines_->report_omitted(now); }));
    subscriptions_.push_back(timers_.every(
        settings_check_interval, [this](time_point) { reload(false); }));
    for (const int number : {SIGTERM, SIGINT})
    {
        subscriptions_.push_back(loop_.on_signal(number, [this] { stop(); }));
    }
    subscriptions_.push_back(loop_.on_signal(SIGHUP, [this] { reload(true); }));
}

void fleet_program::stop()
{
    log_.lifecycle("stopping", "signal");
    if (!stop_callback_)
    {
        loop_.quit();
        return;
    }
    stop_callback_();
}

void fleet_program::reload(bool forced)
{
    const auto former = settings_.current();
    const auto changed = settings_.reload(forced);
    if (!changed)
    {
        log_.request_failed("reload", changed.error());
        return;
    }
    if (!*changed)
    {
        if (forced)
        {
            log_.lifecycle("reload", "settings unchanged");
        }
        return;
    }
    const auto later = settings::settings_needing_restart(former, **changed);
    log_.lifecycle("reload",
                   later.empty() ? "in force" : "at the next start: " + later);
    lines_->set_level((*changed)->log.level);
    if (reload_callback_)
    {
        reload_callback_(**changed);
    }
}

void fleet_program::exit_process(int status)
{
    std::_Exit(status);
}

std::vector<transport::endpoint>
seeds_of(const settings::fleet_settings& settings)
{
    const auto port = transport::parse_endpoint(settings.internal)->port;
    std::vector<transport::endpoint> seeds;
    for (const auto& seed : settings.seeds)
    {
        seeds.push_back({transport::parse_endpoint(seed)->address, port});
    }
    return seeds;
}

int exit_status_of(std::string_view program, const error& cause)
{
    std::cerr << program << ": " << cause.message << '\n';
    return error_info_for(cause.kind).exit_status;
}

} // namespace boragestand::fleet
