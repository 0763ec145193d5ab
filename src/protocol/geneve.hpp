#pragma once

#include "base/base.hpp"
#include "protocol/request_class.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace boragestand::protocol
{

/// UDP port of Geneve (RFC 8926).
constexpr std::uint16_t geneve_port = 6081;

/// Largest Geneve header that encode_geneve writes, in bytes.
constexpr std::size_t max_geneve_header_size = 64;

/// The fields of a Geneve header that the system uses. The decoder skips
/// unknown options, but rejects a header with an unknown critical option.
struct geneve_header
{
    /// Expected length of the work, set by the fabric or the owner of the flow.
    request_class work{request_class::unspecified};
    /// Number of times that the packet was forwarded between entry instances.
    std::uint8_t hops{0};
    /// Instance that forwarded the packet; 0 if it came from the fabric.
    instance_id forwarded_by;
    /// Remaining time for the request in milliseconds, if the caller set a
    /// deadline.
    std::optional<std::uint32_t> deadline_ms;
    /// Request identity, on platforms that provide it.
    std::optional<std::uint64_t> request;

    auto operator<=>(const geneve_header&) const = default;
};

/// A decoded header and the size of its encoding in bytes.
struct decoded_geneve
{
    geneve_header header;
    std::size_t size{0};
};

/// Decodes the header of a datagram whose inner packet is IPv4;
/// error_kind::malformed_message if the header is truncated or has another
/// version, another payload protocol or an unknown critical option.
result<decoded_geneve> decode_geneve(std::span<const std::byte> datagram);

/// Encodes a header for an inner IPv4 packet; returns the part of the buffer
/// that was written.
std::span<const std::byte>
encode_geneve(const geneve_header& header,
              std::array<std::byte, max_geneve_header_size>& buffer);

} // namespace boragestand::protocol
