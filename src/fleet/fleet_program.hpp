#pragma once

#include "fleet/fleet_log.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace boragestand::fleet
{

/// Common parts of the fleet's programs: loop, timers, log, signals, and
/// settings that are reloaded after SIGHUP or when their file has changed.
class fleet_program
{
public:
    /// Opens the log. Errors as of settings::event_log::open.
    static result<std::unique_ptr<fleet_program>>
    open(settings::settings_watch settings);

    transport::main_loop& loop() { return loop_; }
    transport::timer_service& timers() { return timers_; }
    fleet_log& log() { return log_; }
    const settings::fleet_settings& settings() const
    {
        return settings_.current();
    }

    /// Called at SIGTERM and SIGINT; it must make the loop end.
    void on_stop(std::function<void()> callback)
    {
        stop_callback_ = std::move(callback);
    }

    /// Called when settings have changed that take effect at once, after the
    /// log level.
    void
    on_reload(std::function<void(const settings::fleet_settings&)> callback)
    {
        reload_callback_ = std::move(callback);
    }

    /// Runs the loop until it quits.
    void run() { loop_.run(); }

    /// Exits at once with a status, without joining threads of the log library;
    /// log lines are unbuffered.
    [[noreturn]] static void exit_process(int status);

private:
    fleet_program(settings::settings_watch settings,
                  std::unique_ptr<settings::event_log> lines);

    void stop();
    void reload(bool forced);

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    settings::settings_watch settings_;
    std::unique_ptr<settings::event_log> lines_;
    fleet_log log_;
    std::function<void()> stop_callback_;
    std::function<void(const settings::fleet_settings&)> reload_callback_;
    std::vector<transport::subscription> subscriptions_;
};

/// The seeds of the settings as addresses of other instances, which use the
/// same port as this one.
std::vector<transport::endpoint>
seeds_of(const settings::fleet_settings& settings);

/// Prints an error that ends a program and returns its exit status.
int exit_status_of(std::string_view program, const error& cause);

} // namespace boragestand::fleet
