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

/// The payload of an inner UDP packet.
struct udp_payload
{
    std::string bytes;
};

/// An inner packet with its content, as the doubles of hosts see it.
struct host_packet
{
    transport::endpoint source;
    transport::endpoint destination;
    std::variant<tcp_segment, udp_payload> content;
};

/// Builds a Geneve datagram around an inner packet with valid checksums.
std::vector<std::byte> encode_datagram(const protocol::geneve_header& header,
                                       const host_packet& packet);

/// Reads a Geneve datagram; nothing if it is malformed.
std::optional<host_packet> decode_datagram(std::span<const std::byte> bytes);

} // namespace boragestand::standins
