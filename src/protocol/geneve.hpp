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

/// The fields of a Geneve header that the system uses. Options of other classes
/// are skipped when decoding, except critical ones, which make it fail.
struct geneve_header
{
    /// Class of the request, from the fabric or the owner.
    request_class work{request_class::unspecified};
    /// Times the packet was passed between entry instances.
    std::uint8_t hops{0};
    /// Instance that passed the packet on; 0 if it came from the fabric.
    instance_id passed_by;
    /// Time left for the request in milliseconds, if the caller gave one.
    std::optional<std::uint32_t> deadline_ms;
    /// Request identity, on platforms that know it.
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
/// error_kind::malformed_message if it is truncated, of another version, has an
/// unknown critical option or another payload protocol.
result<decoded_geneve> decode_geneve(std::span<const std::byte> datagram);

/// Encodes a header for an inner IPv4 packet; returns the part of the buffer
/// that was written.
std::span<const std::byte>
encode_geneve(const geneve_header& header,
              std::array<std::byte, max_geneve_header_size>& buffer);

} // namespace boragestand::protocol
