#include "wire.hpp"

#include <tins/tins.h>

namespace boragestand::standins
{

namespace
{

Tins::IPv4Address address_of(const transport::endpoint& value)
{
    return Tins::IPv4Address(transport::format_address(value.address));
}

Tins::IP build_packet(const inner_packet& packet, const tcp_segment& segment)
{
    Tins::TCP tcp(packet.destination.port, packet.source.port);
    tcp.seq(segment.sequence);
    tcp.ack_seq(segment.acknowledgement);
    tcp.set_flag(Tins::TCP::SYN, segment.syn);
    tcp.set_flag(Tins::TCP::ACK, segment.ack);
    tcp.set_flag(Tins::TCP::FIN, segment.fin);
    tcp.set_flag(Tins::TCP::RST, segment.rst);
    tcp.window(0xffff);
    Tins::IP ip(address_of(packet.destination), address_of(packet.source));
    ip.ttl(64);
    ip /= segment.payload.empty() ? tcp : tcp / Tins::RawPDU(segment.payload);
    return ip;
}

Tins::IP build_packet(const inner_packet& packet, const udp_payload& payload)
{
    Tins::IP ip(address_of(packet.destination), address_of(packet.source));
    ip.ttl(64);
    ip /= Tins::UDP(packet.destination.port, packet.source.port) /
          Tins::RawPDU(payload.bytes);
    return ip;
}

std::string payload_of(const Tins::PDU& layer)
{
    const auto* raw = layer.find_pdu<Tins::RawPDU>();
    return raw ? std::string(raw->payload().begin(), raw->payload().end())
               : std::string();
}

tcp_segment segment_of(const Tins::TCP& tcp)
{
    tcp_segment segment;
    segment.syn = tcp.get_flag(Tins::TCP::SYN) != 0;
    segment.ack = tcp.get_flag(Tins::TCP::ACK) != 0;
    segment.fin = tcp.get_flag(Tins::TCP::FIN) != 0;
    segment.rst = tcp.get_flag(Tins::TCP::RST) != 0;
    segment.sequence = tcp.seq();
    segment.acknowledgement = tcp.ack_seq();
    segment.payload = payload_of(tcp);
    return segment;
}

} // namespace

std::vector<std::byte> encode_datagram(const protocol::geneve_header& header,
                                       const inner_packet& packet)
{
    std::array<std::byte, protocol::max_geneve_header_size> buffer;
    const auto outer = protocol::encode_geneve(header, buffer);
    Tins::IP ip = std::visit([&](const auto& content)
                             { return build_packet(packet, content); },
                             packet.content);
    const auto serialized = ip.serialize();
    const auto inner = std::as_bytes(std::span(serialized));
    std::vector<std::byte> datagram(outer.begin(), outer.end());
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    return datagram;
}

std::optional<inner_packet> decode_datagram(std::span<const std::byte> bytes)
{
    const auto outer = protocol::decode_geneve(bytes);
    if (!outer)
    {
        return std::nullopt;
    }
    const auto inner = bytes.subspan(outer->size);
    const auto parsed = protocol::parse_inner_packet(inner);
    if (!parsed)
    {
        return std::nullopt;
    }
    try
    {
        const Tins::IP ip(reinterpret_cast<const std::uint8_t*>(inner.data()),
                          static_cast<std::uint32_t>(inner.size()));
        inner_packet packet{parsed->source, parsed->destination, {}};
        if (const auto* tcp = ip.find_pdu<Tins::TCP>())
        {
            packet.content = segment_of(*tcp);
            return packet;
        }
        if (const auto* udp = ip.find_pdu<Tins::UDP>())
        {
            packet.content = udp_payload{payload_of(*udp)};
            return packet;
        }
    }
    catch (const Tins::exception_base&)
    {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace boragestand::standins
