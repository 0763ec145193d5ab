#pragma once

#include "http_api.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <optional>

namespace boragestand::control
{

/// One control instance: owns the replica with its disk, the HTTP/2 server and
/// the timers.
class control_program
{
public:
    /// Opens the data directory, starts the replica and the HTTP/2 server.
    static result<std::unique_ptr<control_program>>
    open(transport::main_loop& loop, transport::timer_service& timers,
         const settings::control_settings& settings, settings::event_log& log);

    /// Starts a planned stop: transfers leadership, completes pending responses
    /// and quits the loop.
    void request_stop();

    /// The error that stopped the loop; empty after a planned stop.
    const std::optional<error>& stop_error() const { return failure_; }

private:
    struct addresses
    {
        transport::endpoint own;
        transport::endpoint director;
        std::vector<replica::group_founding::founder> founders;
    };

    control_program(transport::main_loop& loop,
                    transport::timer_service& timers,
                    const settings::control_settings& settings,
                    const addresses& endpoints,
                    std::unique_ptr<replica::replica_disk> disk,
                    settings::event_log& log);

    static result<addresses>
    parse_addresses(const settings::control_settings& settings);
    result<void> start(const transport::endpoint& address);
    void continue_stop(time_point now);
    void fail(const error& cause);

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    control_log log_;
    replica::peer_link peers_;
    replica_host host_;
    configuration_streams streams_;
    director_requests director_;
    entry_reports reports_;
    command_service commands_;
    replica::member_service members_;
    replica::group_founding founding_;
    replica::group_api group_;
    http_api api_;
    std::unique_ptr<transport::http2_server> server_;
    transport::subscription omitted_lines_;
    transport::subscription stop_timer_;
    std::optional<time_point> stop_deadline_;
    bool closing_{false};
    std::optional<error> failure_;
};

} // namespace boragestand::control
