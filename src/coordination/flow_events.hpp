#pragma once

#include "coordination/traffic_types.hpp"

#include <compare>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace boragestand::coordination
{

/// A caller's packet, from the fabric or forwarded by another instance.
struct packet_event
{
    time_point now;
    protocol::inner_packet packet;
    protocol::geneve_header header;
    /// Hash of the payload of a UDP datagram; 0 for TCP.
    std::uint64_t payload_hash{0};
    /// Identifies the packet if the program has to hold it.
    hold_ticket ticket;

    auto operator<=>(const packet_event&) const = default;
};

/// Send the packet to an upstream.
struct forward_to_upstream
{
    service_id service;
    upstream_id upstream;
    transport::endpoint address;
    placement_reason reason{placement_reason::existing_flow};

    auto operator<=>(const forward_to_upstream&) const = default;
};

/// Send the packet to another entry instance.
struct forward_to_instance
{
    instance_id instance;
    std::uint8_t hops{1};

    auto operator<=>(const forward_to_instance&) const = default;
};

/// Decision about one packet. held: keep it under its ticket until an effect
/// names the ticket. refused: answer with a reset.
using packet_decision = std::variant<forward_to_upstream, forward_to_instance,
                                     held, dropped, refused>;

/// Time has passed; about every 10 ms.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

/// A message of another entry instance.
struct peer_message
{
    protocol::entry_envelope envelope;

    auto operator<=>(const peer_message&) const = default;
};

/// A configuration was received; older revisions are ignored.
struct configuration_received
{
    std::shared_ptr<const state::configuration> configuration;

    auto operator<=>(const configuration_received&) const = default;
};

/// An upstream announced itself to this instance.
struct upstream_announced
{
    protocol::upstream_record record;

    auto operator<=>(const upstream_announced&) const = default;
};

/// A health or load endpoint answered.
struct endpoint_answered
{
    endpoint_report report;

    auto operator<=>(const endpoint_answered&) const = default;
};

/// The control group has accepted a director request.
struct director_acknowledged
{
    service_id service;
    std::uint64_t episode{0};

    auto operator<=>(const director_acknowledged&) const = default;
};

/// The operator or SIGTERM asks for a planned stop.
struct stop_requested
{
    auto operator<=>(const stop_requested&) const = default;
};

/// On platforms that route answers back through the instances: an answer was
/// seen. It is matched by request identity only.
struct answer_seen
{
    std::uint64_t request{0};
    service_id service;
    upstream_id upstream;
    bool complete{true};
    bool shed{false}; ///< the upstream says that it did not run the request

    auto operator<=>(const answer_seen&) const = default;
};

/// On platforms that know requests: the caller cancelled.
struct request_cancelled
{
    std::uint64_t request{0};

    auto operator<=>(const request_cancelled&) const = default;
};

/// Any input of the router other than a packet.
struct router_event
{
    time_point now;
    wall_time wall_now;
    std::variant<tick, peer_message, configuration_received, upstream_announced,
                 endpoint_answered, director_acknowledged, stop_requested,
                 answer_seen, request_cancelled>
        content;

    auto operator<=>(const router_event&) const = default;
};

/// Send a message to an entry instance.
struct send_to_instance
{
    instance_id instance;
    protocol::entry_envelope envelope;

    auto operator<=>(const send_to_instance&) const = default;
};

/// Decide the held packets of a ticket; the decision is never held.
struct release_held
{
    hold_ticket ticket;
    packet_decision decision;
    duration waited{0};

    auto operator<=>(const release_held&) const = default;
};

/// Ask control to wake the director.
struct request_director
{
    director_request request;

    auto operator<=>(const request_director&) const = default;
};

/// A member's state changed; the program logs it.
struct member_changed
{
    instance_id member;
    protocol::member_state state{protocol::member_state::alive};
    std::uint64_t incarnation{0};

    auto operator<=>(const member_changed&) const = default;
};

/// A peer has a newer configuration than this instance.
struct fetch_configuration
{
    instance_id peer;
    std::uint64_t revision{0};

    auto operator<=>(const fetch_configuration&) const = default;
};

/// Deliver an answer to the caller of this request.
struct deliver_answer
{
    std::uint64_t request{0};

    auto operator<=>(const deliver_answer&) const = default;
};

/// Drop an answer that belongs to no open request.
struct discard_answer
{
    std::uint64_t request{0};

    auto operator<=>(const discard_answer&) const = default;
};

/// A planned stop is complete; the process may exit.
struct stop_completed
{
    std::uint64_t flows_transferred{0};

    auto operator<=>(const stop_completed&) const = default;
};

/// Log a decision of placement or admission.
struct log_decision
{
    std::string event; ///< such as upstream_ejected or settled_set_changed
    service_id service;
    upstream_id upstream;
    std::string reason;

    auto operator<=>(const log_decision&) const = default;
};

/// An action that the program has to carry out.
using router_effect =
    std::variant<send_to_instance, release_held, request_director,
                 member_changed, fetch_configuration, deliver_answer,
                 discard_answer, stop_completed, log_decision>;

/// Effects in the order in which they are to be carried out.
using router_effects = std::vector<router_effect>;

} // namespace boragestand::coordination
