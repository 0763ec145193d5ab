#include "packet_port.hpp"

#include <variant>

namespace boragestand::entry
{

namespace
{

/// Limit of the total size of held packets in bytes; a SYN takes about 60.
constexpr std::size_t held_capacity = 16 * 1024 * 1024;

/// Largest number of batches read per loop iteration. The limit keeps packet
/// load from delaying timers and control messages.
constexpr int batches_per_turn = 8;

/// Hash of the payload of a UDP packet; 0 for TCP.
std::uint64_t payload_hash(const protocol::inner_packet& summary,
                           std::span<const std::byte> bytes)
{
    if (summary.protocol != protocol::ip_protocol::udp)
    {
        return 0;
    }
    constexpr std::size_t udp_header_size = 8;
    const std::size_t ip_header_size =
        (std::to_integer<std::size_t>(bytes[0]) & 0x0f) * 4;
    return hash_bytes(
        bytes.subspan(ip_header_size + udp_header_size, summary.payload_size));
}

} // namespace

packet_port::packet_port(instance_id self, transport::main_loop& loop,
                         transport::timer_service& timers,
                         transport::udp_socket socket, packet_routes routes,
                         coordination::flow_router& router,
                         entry_metrics& metrics, entry_log& log)
    : self_(self)
    , timers_(timers)
    , socket_(std::move(socket))
    , routes_(std::move(routes))
    , router_(router)
    , metrics_(metrics)
    , log_(log)
    , sender_(socket_)
    , held_(held_capacity)
    , watch_(loop.watch(socket_.fd(), transport::readiness::readable,
                        [this](transport::readiness) { receive(); }))
{
}

void packet_port::release(const coordination::release_held& release)
{
    const auto packet = held_.take_packet(release.ticket);
    if (!packet)
    {
        return;
    }
    metrics_.add_hold_time(release.waited);
    apply_decision(release.decision,
                   {packet->header, packet->summary, packet->bytes});
    // The bytes are queued by reference and are freed on return.
    sender_.flush();
}

void packet_port::receive()
{
    for (int batch_number = 0; batch_number < batches_per_turn; ++batch_number)
    {
        const auto batch = socket_.receive();
        if (batch.empty())
        {
            return;
        }
        handle_batch(batch);
    }
}

void packet_port::handle_batch(
    std::span<const transport::incoming_datagram> batch)
{
    const time_point start = timers_.now();
    for (const auto& datagram : batch)
    {
        handle(datagram, start);
    }
    sender_.flush();
    metrics_.add_decision_time((timers_.now() - start) / batch.size());
}

void packet_port::handle(const transport::incoming_datagram& datagram,
                         time_point now)
{
    const auto geneve = protocol::decode_geneve(datagram.bytes);
    if (!geneve)
    {
        metrics_.count_drop(coordination::drop_reason::malformed);
        log_.log_bad_input("geneve", geneve.error(), datagram.source, now);
        return;
    }
    const std::span<const std::byte> bytes =
        datagram.bytes.subspan(geneve->size);
    const auto summary = protocol::parse_inner_packet(bytes);
    if (!summary)
    {
        metrics_.count_drop(coordination::drop_reason::malformed);
        log_.log_bad_input("inner_packet", summary.error(), datagram.source,
                           now);
        return;
    }
    const auto decision =
        router_.decide({now, *summary, geneve->header,
                        payload_hash(*summary, bytes), held_.next_ticket()});
    apply_decision(decision, {geneve->header, *summary, bytes});
}

void packet_port::apply_decision(const coordination::packet_decision& decision,
                                 const caller_packet& packet)
{
    std::visit([&](const auto& chosen) { perform(chosen, packet); }, decision);
}

void packet_port::perform(const coordination::forward_to_upstream& forward,
                          const caller_packet& packet)
{
    if (forward.reason != coordination::placement_reason::existing_flow)
    {
        metrics_.count_placement(forward.reason);
        log_.log_placement(packet.summary, forward);
    }
    protocol::geneve_header header = packet.header;
    header.hops = 0;
    header.forwarded_by = self_;
    sender_.queue(forward.address, header, packet.bytes);
}

void packet_port::perform(const coordination::forward_to_instance& forward,
                          const caller_packet& packet)
{
    const auto route = routes_.instances.find(forward.instance);
    if (route == routes_.instances.end())
    {
        metrics_.count_drop(coordination::drop_reason::unknown_flow);
        return;
    }
    log_.log_forwarding(packet.summary, forward);
    protocol::geneve_header header = packet.header;
    header.hops = forward.hops;
    header.forwarded_by = self_;
    sender_.queue(route->second, header, packet.bytes);
}

void packet_port::perform(const coordination::held&,
                          const caller_packet& packet)
{
    log_.log_held_flow(packet.summary);
    if (!held_.add(packet.header, packet.summary, packet.bytes))
    {
        metrics_.count_drop(coordination::drop_reason::hold_queue_full);
        log_.log_drop(packet.summary,
                      {coordination::drop_reason::hold_queue_full});
    }
}

void packet_port::perform(const coordination::dropped& drop,
                          const caller_packet& packet)
{
    metrics_.count_drop(drop.reason);
    log_.log_drop(packet.summary, drop);
}

void packet_port::perform(const coordination::refused& refusal,
                          const caller_packet& packet)
{
    log_.log_refusal(packet.summary, refusal);
    if (packet.summary.protocol != protocol::ip_protocol::tcp)
    {
        return;
    }
    const auto reset = protocol::build_reset(packet.summary);
    protocol::geneve_header header;
    header.forwarded_by = self_;
    sender_.queue(routes_.callers, header, reset);
    // The reset is queued by reference and is freed on return.
    sender_.flush();
}

} // namespace boragestand::entry
