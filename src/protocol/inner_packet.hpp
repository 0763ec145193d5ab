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

/// What the system reads of a caller's IPv4 TCP or UDP packet.
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
/// if it is truncated, a fragment other than a whole packet, or of another
/// protocol. Checksums are left to the upstream.
result<inner_packet> parse_inner_packet(std::span<const std::byte> packet);

/// Builds the IPv4 TCP packet with RST and ACK that refuses a SYN, addressed to
/// its sender, with valid checksums.
std::vector<std::byte> build_reset(const inner_packet& syn);

} // namespace boragestand::protocol
