#pragma once

#include "protocol/protocol.hpp"

#include <array>
#include <cstdint>

namespace boragestand::state
{

/// Stage of a flow at its owner.
enum class flow_state : std::uint8_t
{
    free,           ///< the record holds no flow
    waiting,        ///< in the hold queue
    awaiting_pin,   ///< placed, first datagram waits for the backup
    awaiting_owner, ///< waits for a lost member to say if it is the owner
    opening,        ///< first packet forwarded, no answer seen yet
    established,    ///< the caller confirmed that the upstream answered
    closing,        ///< FIN or RST seen, kept for late packets
    moved           ///< another instance owns it, kept for late packets
};

/// The owner's state of one flow. Times are milliseconds of the router's clock
/// and wrap around after 49 days, so only differences may be compared.
struct alignas(64) flow_record
{
    std::uint64_t hash{0};
    std::uint32_t caller_address{0};
    std::uint32_t destination_address{0};
    std::uint16_t caller_port{0};
    std::uint16_t destination_port{0};
    service_id service;
    std::uint32_t upstream{0}; ///< entry of the upstream address list
    std::uint32_t opened_ms{0};
    std::uint32_t last_packet_ms{0};
    std::uint32_t acknowledgement{0};
    std::uint32_t first_sequence{0}; ///< of the SYN, 0 if it was not seen
    protocol::ip_protocol protocol{protocol::ip_protocol::tcp};
    flow_state state{flow_state::free};
    protocol::request_class work{protocol::request_class::unspecified};
    std::uint8_t repeated_syns{0};
    /// Position in the member list plus one of the instances that were sent a
    /// pin; 0 for none.
    std::array<std::uint8_t, 2> backups{};
    bool has_data : 1 {false};      ///< data from the caller was forwarded
    bool is_exception : 1 {false};  ///< not at its settled default upstream
    bool is_long : 1 {false};       ///< open beyond the service's short limit
    bool progressed : 1 {false};    ///< the caller acknowledged answer bytes
    bool end_reported : 1 {false};  ///< its end was reported to placement
    bool pin_queued : 1 {false};    ///< its pin waits for the send budget
    bool first_acked : 1 {false};   ///< backups[0] confirmed the pin
    bool second_acked : 1 {false};  ///< backups[1] confirmed the pin
    bool transferring : 1 {false};  ///< in a hand-over batch not yet confirmed
    bool has_request : 1 {false};   ///< a request identity refers to it
    bool finished : 1 {false};      ///< the caller sent FIN
    bool was_forwarded : 1 {false}; ///< a packet was sent to an upstream

    /// The key of the flow.
    protocol::flow_key key() const
    {
        return {service,
                {caller_address, caller_port},
                {destination_address, destination_port},
                protocol};
    }

    /// Whether the record belongs to the flow with this key.
    bool is(const protocol::flow_key& other) const
    {
        return caller_address == other.caller.address &&
               caller_port == other.caller.port && service == other.service &&
               destination_address == other.destination.address &&
               destination_port == other.destination.port &&
               protocol == other.protocol;
    }
};

// One cache line, so that a lookup costs one access to the record.
static_assert(sizeof(flow_record) == 64);

} // namespace boragestand::state
