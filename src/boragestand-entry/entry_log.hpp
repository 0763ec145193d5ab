#pragma once

#include "coordination/coordination.hpp"
#include "settings/settings.hpp"
#include "transport/transport.hpp"

#include <map>
#include <string>
#include <string_view>

namespace boragestand::entry
{

/// Writes the log lines of an entry instance. Lines for single packets and
/// placements are at level debug and are not formatted while
/// that level is off.
class entry_log
{
public:
    /// names maps entry instances to their names.
    entry_log(settings::event_log& log,
              std::map<instance_id, std::string> names);

    /// Sets the configuration from which later lines take service names.
    void set_configuration(
        std::shared_ptr<const state::configuration> configuration);

    /// Logs that a flow was placed on an upstream.
    void log_placement(const protocol::inner_packet& packet,
                       const coordination::forward_to_upstream& forward);

    /// Logs that a packet was forwarded to the entry instance that owns its
    /// flow.
    void log_forwarding(const protocol::inner_packet& packet,
                        const coordination::forward_to_instance& forward);

    /// Logs that a new flow waits for a free slot of an upstream.
    void log_held_flow(const protocol::inner_packet& packet);

    /// Logs that a packet was dropped without an answer.
    void log_drop(const protocol::inner_packet& packet,
                  const coordination::dropped& drop);

    /// Logs that a flow was refused under an agreement with the director, so
    /// that the caller knows that its request was not run.
    void log_refusal(const protocol::inner_packet& packet,
                     const coordination::refused& refusal);

    /// Logs input that is malformed or from an unknown sender. The rate is
    /// limited for each kind of input.
    void log_bad_input(std::string_view input, const error& cause,
                       const transport::endpoint& source, time_point now);

    /// Logs that a configuration stream ended. The rate is limited.
    void log_lost_stream(const transport::endpoint& source, const error& cause,
                         time_point now);

    /// Logs an announcement or withdrawal of an upstream.
    void log_announcement(const protocol::upstream_record& record);

    /// Logs that a configuration took effect.
    void log_configuration(const state::configuration& configuration);

    /// Logs a state change of a member.
    void log_member_change(const coordination::member_changed& change);

    /// Logs a router decision that sends no message.
    void log_decision(const coordination::log_decision& decision);

    /// Logs a request to the director for an agreement.
    void log_director_request(const coordination::director_request& request);

    /// Logs the start or a step of the stop of the process.
    void log_lifecycle(std::string_view event, std::uint64_t flows);

private:
    std::string service_name(service_id service) const;
    log_line flow_line(std::string_view event,
                       const protocol::inner_packet& packet) const;

    settings::event_log& log_;
    std::map<instance_id, std::string> names_;
    std::shared_ptr<const state::configuration> configuration_;
};

} // namespace boragestand::entry
