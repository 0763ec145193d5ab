#pragma once

#include "coordination/coordination.hpp"
#include "entry_log.hpp"
#include "entry_metrics.hpp"
#include "held_packets.hpp"
#include "packet_sender.hpp"
#include "transport/transport.hpp"

#include <span>
#include <unordered_map>

namespace boragestand::entry
{

/// Destinations of packets that are not sent to an upstream.
struct packet_routes
{
    transport::endpoint callers; ///< fabric endpoint for packets to callers
    /// Geneve endpoints of the other entry instances.
    std::unordered_map<instance_id, transport::endpoint> instances;
};

/// Receives packets on the Geneve socket and forwards, holds or drops them as
/// the router decides.
class packet_port
{
public:
    packet_port(instance_id self, transport::main_loop& loop,
                transport::timer_service& timers, transport::udp_socket socket,
                packet_routes routes, coordination::flow_router& router,
                entry_metrics& metrics, entry_log& log);

    /// Applies the router's decision to a held packet.
    void release(const coordination::release_held& release);

    /// Sends the queued packets.
    void flush() { sender_.flush(); }

    /// Counters of the socket.
    const transport::udp_counters& counters() const
    {
        return socket_.counters();
    }

    /// Number of packets that wait for a decision.
    std::size_t held_count() const { return held_.count(); }

private:
    struct caller_packet
    {
        const protocol::geneve_header& header;
        const protocol::inner_packet& summary;
        std::span<const std::byte> bytes;
    };

    void receive();
    void handle_batch(std::span<const transport::incoming_datagram> batch);
    void handle(const transport::incoming_datagram& datagram, time_point now);
    void apply_decision(const coordination::packet_decision& decision,
                        const caller_packet& packet);
    void perform(const coordination::forward_to_upstream& forward,
                 const caller_packet& packet);
    void perform(const coordination::forward_to_instance& forward,
                 const caller_packet& packet);
    void perform(const coordination::held&, const caller_packet& packet);
    void perform(const coordination::dropped& drop,
                 const caller_packet& packet);
    void perform(const coordination::refused& refusal,
                 const caller_packet& packet);

    instance_id self_;
    transport::timer_service& timers_;
    transport::udp_socket socket_;
    packet_routes routes_;
    coordination::flow_router& router_;
    entry_metrics& metrics_;
    entry_log& log_;
    packet_sender sender_;
    held_packets held_;
    transport::subscription watch_;
};

} // namespace boragestand::entry
