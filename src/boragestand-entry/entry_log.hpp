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
/// placements are at level debug; they are not built while it is off.
class entry_log
{
public:
    /// names are those of the entry instances.
    entry_log(settings::event_log& log,
              std::map<instance_id, std::string> names);

    /// Names of services in the lines that follow.
    void use(std::shared_ptr<const state::configuration> configuration);

    /// A flow got an upstream.
    void placed(const protocol::inner_packet& packet,
                const coordination::forward_to_upstream& forward);

    /// A packet went to its owner.
    void passed_on(const protocol::inner_packet& packet,
                   const coordination::forward_to_instance& forward);

    /// A new flow waits for a slot.
    void held(const protocol::inner_packet& packet);

    /// A packet was dropped without an answer.
    void dropped(const protocol::inner_packet& packet,
                 const coordination::dropped& drop);

    /// A caller was told that its request was not run.
    void refused(const protocol::inner_packet& packet,
                 const coordination::refused& refusal);

    /// Input that could not be used; at a bounded rate for each input.
    void bad_input(std::string_view input, const error& cause,
                   const transport::endpoint& source, time_point now);

    /// A configuration stream ended; at a bounded rate.
    void stream_lost(const transport::endpoint& source, const error& cause,
                     time_point now);

    /// An upstream announced itself to this instance.
    void announced(const protocol::upstream_record& record);

    /// A configuration came into effect.
    void configured(const state::configuration& configuration);

    /// A member changed its state.
    void member_changed(const coordination::member_changed& change);

    /// The router made a decision that sends nothing.
    void noted(const coordination::log_decision& decision);

    /// A director is asked to agree.
    void director_requested(const coordination::director_request& request);

    /// The process started or stops.
    void lifecycle(std::string_view event, std::uint64_t flows);

private:
    std::string service_name(service_id service) const;
    log_line flow_line(std::string_view event,
                       const protocol::inner_packet& packet) const;

    settings::event_log& log_;
    std::map<instance_id, std::string> names_;
    std::shared_ptr<const state::configuration> configuration_;
};

} // namespace boragestand::entry
