#pragma once

#include "base/base.hpp"
#include "protocol/flow_key.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace boragestand::protocol
{

/// TCP flags of an inner packet.
struct tcp_flags
{
    bool syn{false};
    bool ack{false};
    bool fin{false};
    bool rst{false};

    auto operator<=>(const tcp_flags&) const = default;
};

/// The header fields that the system uses of an IPv4 packet with TCP or UDP
/// from a caller.
struct inner_packet
{
    transport::endpoint source;
    transport::endpoint destination;
    ip_protocol protocol{ip_protocol::tcp};
    tcp_flags flags;                  ///< all false for UDP
    std::uint32_t sequence{0};        ///< TCP sequence number, else 0
    std::uint32_t acknowledgement{0}; ///< TCP acknowledgement number, else 0
    std::uint16_t payload_size{0};    ///< in bytes, without headers

    auto operator<=>(const inner_packet&) const = default;
};

/// Parses an IPv4 packet that holds TCP or UDP; error_kind::malformed_message
/// if it is truncated, a fragment or of another protocol. Checksums are not
/// verified here; the upstream does that.
result<inner_packet> parse_inner_packet(std::span<const std::byte> packet);

/// Builds the IPv4 packet with TCP RST and ACK, including checksums, that
/// rejects a SYN.
std::vector<std::byte> build_reset(const inner_packet& syn);

} // namespace boragestand::protocol
