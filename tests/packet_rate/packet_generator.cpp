// Sends Geneve packets of a number of TCP flows to one endpoint: first the
// handshake of each flow at a limited rate, then data packets of all flows in
// turn as fast as the kernel accepts them, for a limited time.

#include "protocol/protocol.hpp"

#include <tins/tins.h>

#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace boragestand;

namespace
{

constexpr int expected_arguments = 5;
constexpr std::uint32_t first_caller_address = 0x0a010000; // 10.1.0.0
constexpr std::uint16_t caller_port = 20000;
constexpr std::uint16_t service_port = 443;
const std::string service_address = "10.0.0.1";

using packet_bytes = std::vector<std::byte>;

packet_bytes build_packet(std::uint32_t flow, unsigned flags,
                          std::size_t payload_size)
{
    const Tins::IPv4Address source(
        transport::format_address(first_caller_address + flow));
    Tins::TCP tcp(service_port, caller_port);
    tcp.flags(static_cast<Tins::small_uint<12>::repr_type>(flags));
    Tins::IP ip = Tins::IP(service_address, source) / tcp;
    if (payload_size > 0)
    {
        ip /= Tins::RawPDU(std::string(payload_size, 'x'));
    }
    const auto inner = ip.serialize();
    std::array<std::byte, protocol::max_geneve_header_size> buffer{};
    const auto head = protocol::encode_geneve({}, buffer);
    packet_bytes bytes(head.begin(), head.end());
    const auto body = std::as_bytes(std::span(inner));
    bytes.insert(bytes.end(), body.begin(), body.end());
    return bytes;
}

/// Sends each packet once, in batches, with a pause after each batch.
void send_all(transport::udp_socket& socket, const transport::endpoint& target,
              const std::vector<packet_bytes>& packets, duration pause)
{
    std::vector<transport::outgoing_datagram> batch;
    for (std::size_t i = 0; i < packets.size(); ++i)
    {
        batch.push_back({target, packets[i], {}});
        if (batch.size() < transport::datagram_batch_size &&
            i + 1 < packets.size())
        {
            continue;
        }
        socket.send(batch);
        batch.clear();
        const timespec wait{0, std::chrono::nanoseconds(pause).count()};
        if (pause.count() > 0)
        {
            nanosleep(&wait, nullptr);
        }
    }
}

std::vector<packet_bytes> build_all(std::uint32_t flows, unsigned flags,
                                    std::size_t payload_size)
{
    std::vector<packet_bytes> packets;
    for (std::uint32_t flow = 0; flow < flows; ++flow)
    {
        packets.push_back(build_packet(flow, flags, payload_size));
    }
    return packets;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != expected_arguments)
    {
        std::fprintf(stderr,
                     "usage: packet-generator LOCAL TARGET FLOWS SECONDS\n");
        return error_info_for(error_kind::invalid_argument).exit_status;
    }
    const auto local = transport::parse_endpoint(argv[1]);
    const auto target = transport::parse_endpoint(argv[2]);
    const auto flows = static_cast<std::uint32_t>(std::atoi(argv[3]));
    const int seconds = std::atoi(argv[4]);
    auto socket = transport::udp_socket::bind(*local);
    // The bounds prevent mistyped arguments from flooding the machine.
    if (!target || !socket || flows < 1 || flows > 60000 || seconds < 1 ||
        seconds > 30)
    {
        std::fprintf(stderr, "invalid argument\n");
        return error_info_for(error_kind::invalid_argument).exit_status;
    }
    // Handshakes are rate-limited, so that the receiver opens every flow.
    constexpr duration handshake_pause = std::chrono::microseconds(500);
    send_all(*socket, *target, build_all(flows, Tins::TCP::SYN, 0),
             handshake_pause);
    send_all(*socket, *target, build_all(flows, Tins::TCP::ACK, 0),
             handshake_pause);
    const auto data = build_all(flows, Tins::TCP::ACK, 100);
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end)
    {
        send_all(*socket, *target, data, duration{0});
    }
    std::printf(
        "packets_sent=%llu send_failures=%llu\n",
        static_cast<unsigned long long>(socket->counters().sent),
        static_cast<unsigned long long>(socket->counters().send_failures));
    return 0;
}
