#include "entry_log.hpp"

#include "state_names.hpp"

namespace boragestand::entry
{

using settings::log_level;

entry_log::entry_log(settings::event_log& log,
                     std::map<instance_id, std::string> names)
    : log_(log)
    , names_(std::move(names))
    , configuration_(std::make_shared<const state::configuration>())
{
}

void entry_log::set_configuration(
    std::shared_ptr<const state::configuration> configuration)
{
    configuration_ = std::move(configuration);
}

void entry_log::log_placement(const protocol::inner_packet& packet,
                              const coordination::forward_to_upstream& forward)
{
    log_.write(log_level::debug,
               [&]
               {
                   return flow_line("flow_placed", packet)
                       .with("service", service_name(forward.service))
                       .with("upstream", forward.upstream.value)
                       .with("address", transport::to_string(forward.address))
                       .with("reason", coordination::name_of(forward.reason));
               });
}

void entry_log::log_forwarding(const protocol::inner_packet& packet,
                               const coordination::forward_to_instance& forward)
{
    log_.write(log_level::debug,
               [&]
               {
                   return flow_line("packet_passed_on", packet)
                       .with("to", forward.instance.value)
                       .with("hops", +forward.hops);
               });
}

void entry_log::log_held_flow(const protocol::inner_packet& packet)
{
    log_.write(log_level::debug,
               [&] { return flow_line("flow_held", packet); });
}

void entry_log::log_drop(const protocol::inner_packet& packet,
                         const coordination::dropped& drop)
{
    log_.write(log_level::debug,
               [&]
               {
                   return flow_line("packet_dropped", packet)
                       .with("reason", coordination::name_of(drop.reason));
               });
}

void entry_log::log_refusal(const protocol::inner_packet& packet,
                            const coordination::refused& refusal)
{
    log_.write(log_level::info,
               [&]
               {
                   return flow_line("flow_refused", packet)
                       .with("agreement", refusal.agreement);
               });
}

void entry_log::log_bad_input(std::string_view input, const error& cause,
                              const transport::endpoint& source, time_point now)
{
    log_.write_limited(log_level::warn, input, now,
                       [&]
                       {
                           return log_line("bad_input")
                               .with("input", input)
                               .with("error", error_info_for(cause.kind).name)
                               .with("message", cause.message)
                               .with("source", transport::to_string(source));
                       });
}

void entry_log::log_lost_stream(const transport::endpoint& source,
                                const error& cause, time_point now)
{
    log_.write_limited(log_level::warn, "configuration_stream", now,
                       [&]
                       {
                           return log_line("configuration_stream_lost")
                               .with("source", transport::to_string(source))
                               .with("error", error_info_for(cause.kind).name)
                               .with("message", cause.message);
                       });
}

void entry_log::log_announcement(const protocol::upstream_record& record)
{
    const bool ready = record.state == protocol::upstream_state::ready;
    log_.write(log_level::debug,
               [&]
               {
                   return log_line("upstream_announced")
                       .with("service", service_name(record.service))
                       .with("upstream", record.name)
                       .with("address", transport::to_string(record.address))
                       .with("ready", ready)
                       .with("lease_ms", record.lease_ms);
               });
}

void entry_log::log_configuration(const state::configuration& configuration)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line("configuration_in_effect")
                       .with("revision", configuration.revision)
                       .with("note", configuration.note_number)
                       .with("services", configuration.services.size());
               });
}

void entry_log::log_member_change(const coordination::member_changed& change)
{
    const auto name = names_.find(change.member);
    log_.write(log_level::info,
               [&]
               {
                   return log_line("member_changed")
                       .with("member", change.member.value)
                       .with("name", name == names_.end() ? "" : name->second)
                       .with("state", name_of(change.state))
                       .with("incarnation", change.incarnation);
               });
}

void entry_log::log_decision(const coordination::log_decision& decision)
{
    log_.write(log_level::info,
               [&]
               {
                   return log_line(decision.event)
                       .with("service", service_name(decision.service))
                       .with("upstream", decision.upstream.value)
                       .with("reason", decision.reason);
               });
}

void entry_log::log_director_request(
    const coordination::director_request& request)
{
    log_.write(log_level::warn,
               [&]
               {
                   return log_line("director_requested")
                       .with("service", service_name(request.service))
                       .with("episode", request.episode)
                       .with("reason", request.reason);
               });
}

void entry_log::log_lifecycle(std::string_view event, std::uint64_t flows)
{
    log_.write(log_level::info,
               [&] { return log_line(event).with("flows", flows); });
}

std::string entry_log::service_name(service_id service) const
{
    const auto* found = configuration_->find_service(service);
    return found == nullptr ? std::to_string(service.value) : found->name;
}

log_line entry_log::flow_line(std::string_view event,
                              const protocol::inner_packet& packet) const
{
    const bool tcp = packet.protocol == protocol::ip_protocol::tcp;
    log_line line(event);
    line.with("caller", transport::to_string(packet.source))
        .with("destination", transport::to_string(packet.destination))
        .with("protocol", tcp ? "tcp" : "udp");
    return line;
}

} // namespace boragestand::entry
