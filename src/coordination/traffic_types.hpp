#pragma once

#include "state/state.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace boragestand::coordination
{

/// Identifies a packet that is held until its flow is decided.
struct hold_ticket
{
    std::uint64_t value{0};

    auto operator<=>(const hold_ticket&) const = default;
};

/// Why an upstream was chosen.
enum class placement_reason : std::uint8_t
{
    existing_flow,   ///< found in the flow table
    default_choice,  ///< weighted rendezvous over the active set
    less_loaded,     ///< a deviation for a shorter wait or for balance
    short_first,     ///< a deviation that avoids upstreams with long work
    pin,             ///< named by a pin that a previous owner sent
    settled_default, ///< recomputed over a settled set
    placed_again     ///< the first upstream did not answer the SYN
};

/// Why a packet is dropped without an answer.
enum class drop_reason : std::uint8_t
{
    malformed,
    unknown_service,
    no_upstream, ///< the service has no upstream that can accept it
    hold_queue_full,
    hold_expired, ///< no slot became free in time; TCP repeats its SYN
    too_many_hops,
    unknown_flow,    ///< the upstream of the flow cannot be determined
    upstream_gone,   ///< at-most-once: never sent to another upstream
    awaiting_backup, ///< the pin was not acknowledged in time
    view_not_fresh,  ///< this instance was cut off and refreshes its view
    already_held,    ///< the first packet of this flow is being held
    cancelled,       ///< the caller gave up before the request was run
    table_full       ///< the flow table has no room
};

/// Names in logs and metrics, the same as the enumerators.
std::string_view name_of(placement_reason reason);
std::string_view name_of(drop_reason reason);

/// A new flow that needs an upstream.
struct flow_arrival
{
    service_id service;
    std::uint64_t flow_hash{0};
    std::uint32_t caller_address{0}; ///< host byte order, for rules
    protocol::request_class work{protocol::request_class::unspecified};
    /// Time left for the request, from the caller or the service's hold limit.
    duration time_left{0};
    /// Identifies the packet if the flow is held.
    hold_ticket ticket;
    /// Whether deviations from the default are allowed: false while the
    /// membership view is unsettled, since two owners may place the same flow.
    bool may_deviate{true};

    auto operator<=>(const flow_arrival&) const = default;
};

/// The flow goes to this upstream.
struct placed
{
    upstream_id upstream;
    transport::endpoint address;
    placement_reason reason{placement_reason::default_choice};

    auto operator<=>(const placed&) const = default;
};

/// The flow waits for a slot under its ticket.
struct held
{
    auto operator<=>(const held&) const = default;
};

/// The packet is dropped without an answer.
struct dropped
{
    drop_reason reason{drop_reason::malformed};

    auto operator<=>(const dropped&) const = default;
};

/// The caller is told that its request was not run.
struct refused
{
    std::uint64_t agreement{0};

    auto operator<=>(const refused&) const = default;
};

/// Decision about a new flow.
using admission = std::variant<placed, held, dropped, refused>;

/// Final decision about a held flow.
struct hold_outcome
{
    hold_ticket ticket;
    std::uint64_t flow_hash{0};
    service_id service;
    admission decision;
    duration waited{0};

    auto operator<=>(const hold_outcome&) const = default;
};

/// How a flow ended, as far as the owner can tell.
enum class flow_end : std::uint8_t
{
    completed,  ///< FIN after data, or the answer was seen
    reset,      ///< RST from the caller
    idle,       ///< no packet within the idle limit
    cancelled,  ///< the caller gave up before an answer
    unanswered, ///< SYNs without a following ACK
    shed,       ///< the upstream said it did not run the request
    moved       ///< another instance owns it now
};

/// The upstream answered the handshake of a flow.
struct flow_established
{
    duration handshake_time{0};

    auto operator<=>(const flow_established&) const = default;
};

/// The flow has been open longer than its service's short limit.
struct flow_became_long
{
    auto operator<=>(const flow_became_long&) const = default;
};

/// Acknowledgement numbers advanced: answer bytes arrived at the caller.
struct flow_progressed
{
    std::uint32_t bytes{0};

    auto operator<=>(const flow_progressed&) const = default;
};

/// A SYN was repeated, so the upstream has not answered so far.
struct syn_repeated
{
    auto operator<=>(const syn_repeated&) const = default;
};

/// The flow is over.
struct flow_ended
{
    flow_end end{flow_end::completed};
    duration age{0};

    auto operator<=>(const flow_ended&) const = default;
};

/// The flow was taken over without an admission: found by pin, by settled
/// default or by handover.
struct flow_adopted
{
    auto operator<=>(const flow_adopted&) const = default;
};

/// What the packets of one flow show about its upstream.
struct flow_observation
{
    service_id service;
    upstream_id upstream;
    protocol::request_class work{protocol::request_class::unspecified};
    std::variant<flow_adopted, flow_established, flow_became_long,
                 flow_progressed, syn_repeated, flow_ended>
        event;
    /// The flow, as in its flow_arrival.
    std::uint64_t flow_hash{0};

    auto operator<=>(const flow_observation&) const = default;
};

/// Answer of a health or load endpoint of an upstream. It may be outdated or
/// wrong.
struct endpoint_report
{
    service_id service;
    upstream_id upstream;
    bool healthy{true};
    std::uint32_t open{0};
    std::uint16_t running{0};

    auto operator<=>(const endpoint_report&) const = default;
};

/// Request to the control group to wake the director. Repeated until it is
/// acknowledged; service and episode together identify it.
struct director_request
{
    service_id service;
    std::uint64_t episode{0};
    std::string reason;

    auto operator<=>(const director_request&) const = default;
};

/// An event of placement or admission that is logged.
struct traffic_event
{
    std::string event; ///< such as upstream_ejected
    service_id service;
    upstream_id upstream;
    std::string reason;

    auto operator<=>(const traffic_event&) const = default;
};

} // namespace boragestand::coordination
