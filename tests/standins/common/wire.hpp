#pragma once

#include "protocol/protocol.hpp"
#include "tcp_segment.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace boragestand::standins
{

/// Payload of an inner UDP packet.
struct udp_payload
{
    std::string bytes;
};

/// An inner packet with its decoded content.
struct inner_packet
{
    transport::endpoint source;
    transport::endpoint destination;
    std::variant<tcp_segment, udp_payload> content;
};

/// Encapsulates an inner packet with valid checksums in a Geneve datagram.
std::vector<std::byte> encode_datagram(const protocol::geneve_header& header,
                                       const inner_packet& packet);

/// Decodes a Geneve datagram; empty if it is malformed.
std::optional<inner_packet> decode_datagram(std::span<const std::byte> bytes);

} // namespace boragestand::standins
