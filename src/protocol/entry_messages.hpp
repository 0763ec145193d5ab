#pragma once

#include "base/base.hpp"
#include "protocol/flow_key.hpp"
#include "protocol/request_class.hpp"
#include "protocol/upstream_record.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace boragestand::protocol
{

/// Largest encoded entry message in bytes; it must fit one datagram.
constexpr std::size_t max_entry_message_size = 1400;

/// State of an entry instance in the membership view of its peers.
enum class member_state : std::uint8_t
{
    alive = 0,
    suspect = 1,
    leaving = 2,
    dead = 3
};

/// State of a member as the sender knows it. Of two updates on one member, the
/// higher incarnation wins, then the greater member_state.
struct member_update
{
    instance_id member;
    std::uint64_t incarnation{0};
    member_state state{member_state::alive};

    auto operator<=>(const member_update&) const = default;
};

/// Requests a probe_ack, directly or on behalf of another instance.
struct probe
{
    std::uint32_t sequence{0};
    instance_id target;
    /// For an indirect probe, the instance that requested it; otherwise 0.
    instance_id on_behalf_of;
    std::uint64_t revision{0}; ///< configuration revision of the sender
    std::vector<member_update> updates;

    auto operator<=>(const probe&) const = default;
};

/// Answers a probe.
struct probe_ack
{
    std::uint32_t sequence{0};
    instance_id target; ///< the instance that was probed
    std::uint64_t revision{0};
    std::vector<member_update> updates;

    auto operator<=>(const probe_ack&) const = default;
};

/// Flows of one upstream that the sender owns.
struct upstream_load
{
    service_id service;
    upstream_id upstream;
    std::uint32_t open{0};      ///< open flows
    std::uint16_t running{0};   ///< flows estimated to occupy a slot
    std::uint16_t long_work{0}; ///< running flows with long work

    auto operator<=>(const upstream_load&) const = default;
};

/// Load from the sender, sent about four times per second. Upstreams that are
/// not listed have none.
struct load_report
{
    std::uint32_t sequence{0};
    std::vector<upstream_load> loads;

    auto operator<=>(const load_report&) const = default;
};

/// Announced upstreams, sent when they change and with each renewal.
struct upstream_batch
{
    std::vector<upstream_record> records;

    auto operator<=>(const upstream_batch&) const = default;
};

/// One upstream of a settled_set.
struct settled_upstream
{
    upstream_id upstream;
    std::uint16_t weight{100};

    auto operator<=>(const settled_upstream&) const = default;
};

/// A settled set: the upstreams and weights of a service from which a peer can
/// recompute the upstream of each of the sender's flows that has no pin.
struct settled_set
{
    service_id service;
    std::uint32_t version{0}; ///< increases with each change by this sender
    std::vector<settled_upstream> upstreams;

    auto operator<=>(const settled_set&) const = default;
};

/// A pin: the upstream of a flow that cannot be recomputed from the settled set
/// and is therefore stored.
struct flow_pin
{
    std::uint64_t flow_hash{0};
    service_id service;
    upstream_id upstream;

    auto operator<=>(const flow_pin&) const = default;
};

/// Pins that the receiver stores as the backup of the sender.
struct pin_batch
{
    std::uint32_t sequence{0};
    std::vector<flow_pin> added;
    std::vector<std::uint64_t> removed; ///< flow hashes

    auto operator<=>(const pin_batch&) const = default;
};

/// Acknowledges a pin_batch.
struct pin_ack
{
    std::uint32_t sequence{0};

    auto operator<=>(const pin_ack&) const = default;
};

/// State of a flow that a leaving owner transfers to its successor.
struct flow_transfer
{
    flow_key key;
    upstream_id upstream;
    std::uint32_t age_ms{0};
    std::uint32_t acknowledgement{0};
    request_class work{request_class::unspecified};
    bool has_data{false}; ///< data from the caller was forwarded
    bool finished{false}; ///< the caller sent FIN
    bool ended{false};    ///< closed, kept only for late packets

    auto operator<=>(const flow_transfer&) const = default;
};

/// Part of the flow table that a leaving owner transfers.
struct handover_batch
{
    std::uint32_t sequence{0};
    std::vector<flow_transfer> flows;

    auto operator<=>(const handover_batch&) const = default;
};

/// Acknowledges a handover_batch.
struct handover_ack
{
    std::uint32_t sequence{0};

    auto operator<=>(const handover_ack&) const = default;
};

/// Any message between entry instances.
using entry_message =
    std::variant<probe, probe_ack, load_report, upstream_batch, settled_set,
                 pin_batch, pin_ack, handover_batch, handover_ack>;

/// An entry message with the identity and incarnation of its sender.
struct entry_envelope
{
    instance_id from;
    std::uint64_t incarnation{0}; ///< of the sender
    entry_message message;

    auto operator<=>(const entry_envelope&) const = default;
};

/// Encodes an envelope with msgpack; error_kind::resource_exhausted if the
/// result exceeds max_entry_message_size or the limits of the decoder. The
/// caller splits long lists over several messages.
result<std::vector<std::byte>>
encode_entry_message(const entry_envelope& envelope);

/// Decodes an envelope; error_kind::malformed_message for anything that
/// encode_entry_message does not write, including lists that are too long.
result<entry_envelope> decode_entry_message(std::span<const std::byte> bytes);

} // namespace boragestand::protocol
