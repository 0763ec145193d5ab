#include "protocol/inner_packet.hpp"

#include "protocol/byte_order.hpp"

namespace boragestand::protocol
{

namespace
{

constexpr std::size_t ip_header_size = 20;
constexpr std::size_t tcp_header_size = 20;
constexpr std::size_t udp_header_size = 8;

constexpr std::uint16_t more_fragments = 0x2000;
constexpr std::uint16_t do_not_fragment = 0x4000;
constexpr std::uint16_t fragment_offset_mask = 0x1fff;

constexpr std::uint8_t tcp_fin = 0x01;
constexpr std::uint8_t tcp_syn = 0x02;
constexpr std::uint8_t tcp_rst = 0x04;
constexpr std::uint8_t tcp_ack = 0x10;

constexpr std::uint8_t default_hop_limit = 64;

tl::unexpected<error> malformed(const char* what)
{
    return failure(error_kind::malformed_message,
                   std::string("inner packet: ") + what);
}

std::uint8_t byte_at(std::span<const std::byte> bytes, std::size_t offset)
{
    return std::to_integer<std::uint8_t>(bytes[offset]);
}

result<inner_packet> parse_tcp(std::span<const std::byte> segment,
                               inner_packet packet)
{
    if (segment.size() < tcp_header_size)
    {
        return malformed("TCP header is truncated");
    }
    const std::size_t header_size =
        std::size_t{4} * (byte_at(segment, 12) >> 4);
    if (header_size < tcp_header_size || header_size > segment.size())
    {
        return malformed("invalid TCP header size");
    }
    const std::uint8_t flags = byte_at(segment, 13);
    packet.protocol = ip_protocol::tcp;
    packet.sequence = read_big_endian<std::uint32_t>(segment, 4);
    packet.acknowledgement = read_big_endian<std::uint32_t>(segment, 8);
    packet.flags = {(flags & tcp_syn) != 0, (flags & tcp_ack) != 0,
                    (flags & tcp_fin) != 0, (flags & tcp_rst) != 0};
    packet.payload_size =
        static_cast<std::uint16_t>(segment.size() - header_size);
    return packet;
}

// Requires at least udp_header_size bytes.
result<inner_packet> parse_udp(std::span<const std::byte> datagram,
                               inner_packet packet)
{
    const auto size = read_big_endian<std::uint16_t>(datagram, 4);
    if (size < udp_header_size || size > datagram.size())
    {
        return malformed("invalid UDP length");
    }
    packet.protocol = ip_protocol::udp;
    packet.payload_size = static_cast<std::uint16_t>(size - udp_header_size);
    return packet;
}

// Sums 16-bit words for the Internet checksum (RFC 1071); the number of bytes
// must be even.
std::uint32_t sum_words(std::span<const std::byte> bytes)
{
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
    {
        sum += read_big_endian<std::uint16_t>(bytes, i);
    }
    return sum;
}

std::uint16_t fold_checksum(std::uint32_t sum)
{
    while (sum >> 16)
    {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return static_cast<std::uint16_t>(~sum);
}

} // namespace

result<inner_packet> parse_inner_packet(std::span<const std::byte> packet)
{
    if (packet.size() < ip_header_size)
    {
        return malformed("IP header is truncated");
    }
    const std::uint8_t first = byte_at(packet, 0);
    const std::size_t header_size = std::size_t{4} * (first & 0x0f);
    if (first >> 4 != 4 || header_size < ip_header_size)
    {
        return malformed("invalid IP header");
    }
    const auto total_size = read_big_endian<std::uint16_t>(packet, 2);
    if (total_size < header_size || total_size > packet.size())
    {
        return malformed("invalid IP total length");
    }
    const auto fragment = read_big_endian<std::uint16_t>(packet, 6);
    if (fragment & (more_fragments | fragment_offset_mask))
    {
        return malformed("IP fragments are not supported");
    }
    const auto payload = packet.subspan(header_size, total_size - header_size);
    const std::uint8_t protocol = byte_at(packet, 9);
    if (payload.size() < udp_header_size)
    {
        return malformed("transport header is truncated");
    }
    inner_packet parsed;
    parsed.source = {read_big_endian<std::uint32_t>(packet, 12),
                     read_big_endian<std::uint16_t>(payload, 0)};
    parsed.destination = {read_big_endian<std::uint32_t>(packet, 16),
                          read_big_endian<std::uint16_t>(payload, 2)};
    if (protocol == static_cast<std::uint8_t>(ip_protocol::tcp))
    {
        return parse_tcp(payload, parsed);
    }
    if (protocol == static_cast<std::uint8_t>(ip_protocol::udp))
    {
        return parse_udp(payload, parsed);
    }
    return malformed("protocol is neither TCP nor UDP");
}

std::vector<std::byte> build_reset(const inner_packet& syn)
{
    std::vector<std::byte> packet(ip_header_size + tcp_header_size);
    const std::span<std::byte> ip(packet.data(), ip_header_size);
    const std::span<std::byte> tcp = std::span(packet).subspan(ip_header_size);

    ip[0] = std::byte{0x45};
    write_big_endian(ip, 2, static_cast<std::uint16_t>(packet.size()));
    write_big_endian(ip, 6, do_not_fragment);
    ip[8] = std::byte{default_hop_limit};
    ip[9] = static_cast<std::byte>(ip_protocol::tcp);
    write_big_endian(ip, 12, syn.destination.address);
    write_big_endian(ip, 16, syn.source.address);
    write_big_endian(ip, 10, fold_checksum(sum_words(ip)));

    write_big_endian(tcp, 0, syn.destination.port);
    write_big_endian(tcp, 2, syn.source.port);
    // The SYN occupies one sequence number.
    write_big_endian(tcp, 8, syn.sequence + 1 + syn.payload_size);
    tcp[12] = std::byte{tcp_header_size / 4 << 4};
    tcp[13] = std::byte{tcp_rst | tcp_ack};
    const std::uint32_t pseudo_header =
        sum_words(ip.subspan(12, 8)) +
        static_cast<std::uint32_t>(ip_protocol::tcp) + tcp_header_size;
    write_big_endian(tcp, 16, fold_checksum(pseudo_header + sum_words(tcp)));
    return packet;
}

} // namespace boragestand::protocol
