#pragma once

#include "configuration_follower.hpp"
#include "configuration_publisher.hpp"
#include "control_link.hpp"
#include "coordination/coordination.hpp"
#include "endpoint_prober.hpp"
#include "entry_log.hpp"
#include "entry_metrics.hpp"
#include "entry_options.hpp"
#include "http_service.hpp"
#include "packet_port.hpp"
#include "peer_port.hpp"
#include "transport/transport.hpp"

#include <memory>

namespace boragestand::entry
{

/// One entry instance: passes events to the router and performs the effects it
/// returns.
class entry_program
{
public:
    /// Opens all sockets; error_kind::unavailable if one cannot be bound.
    static result<std::unique_ptr<entry_program>>
    open(transport::main_loop& loop, transport::timer_service& timers,
         const entry_options& options, settings::event_log& log);

    entry_program(transport::main_loop& loop, transport::timer_service& timers,
                  const entry_options& options, settings::event_log& log,
                  transport::udp_socket packets, transport::udp_socket peers);

    /// Starts a planned stop; the loop quits when it is complete.
    void request_stop();

private:
    result<void> listen(const transport::endpoint& local);
    http_service_hooks make_hooks();
    void handle_event(decltype(coordination::router_event::content) content);
    void perform(const coordination::send_to_instance& effect);
    void perform(const coordination::release_held& effect);
    void perform(const coordination::request_director& effect);
    void perform(const coordination::member_changed& effect);
    void perform(const coordination::fetch_configuration& effect);
    void perform(const coordination::deliver_answer& effect);
    void perform(const coordination::discard_answer& effect);
    void perform(const coordination::stop_completed& effect);
    void perform(const coordination::log_decision& effect);
    void handle_announcement(const upstream_announcement& announcement);
    void handle_withdrawal(service_id service, std::string_view name);
    void apply_configuration(
        const std::shared_ptr<const state::configuration>& configuration);

    transport::main_loop& loop_;
    transport::timer_service& timers_;
    entry_options options_;
    settings::event_log& event_log_;
    entry_log log_;
    entry_metrics metrics_;
    coordination::flow_router router_;
    packet_port packets_;
    peer_port peers_;
    endpoint_prober prober_;
    configuration_publisher publisher_;
    control_link control_;
    configuration_follower follower_;
    http_service service_;
    std::unique_ptr<transport::http2_server> server_;
    transport::subscription tick_timer_;
    bool stopping_{false};
};

} // namespace boragestand::entry
