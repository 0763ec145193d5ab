#pragma once

#include "coordination/coordination.hpp"
#include "entry_log.hpp"
#include "entry_metrics.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <unordered_map>

namespace boragestand::entry
{

/// Exchanges control messages with the other entry instances over UDP.
class peer_port
{
public:
    using message_callback =
        std::function<void(protocol::entry_envelope, time_point)>;

    /// peers holds the endpoints of the other entry instances; messages from
    /// any other endpoint are dropped.
    peer_port(transport::main_loop& loop, transport::timer_service& timers,
              transport::udp_socket socket,
              std::unordered_map<instance_id, transport::endpoint> peers,
              entry_metrics& metrics, entry_log& log,
              message_callback on_message);

    /// Sends a message; one that is too long is dropped and logged.
    void send(const coordination::send_to_instance& message);

private:
    void receive_all();
    void handle(const transport::incoming_datagram& datagram, time_point now);
    bool is_from(const transport::endpoint& source, instance_id sender) const;

    transport::timer_service& timers_;
    transport::udp_socket socket_;
    std::unordered_map<instance_id, transport::endpoint> peers_;
    entry_metrics& metrics_;
    entry_log& log_;
    message_callback on_message_;
    transport::subscription watch_;
};

} // namespace boragestand::entry
