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
    using receiver = std::function<void(protocol::entry_envelope, time_point)>;

    /// peers are the endpoints of the other entry instances; messages from
    /// other senders are dropped.
    peer_port(transport::main_loop& loop, transport::timer_service& timers,
              transport::udp_socket socket,
              std::unordered_map<instance_id, transport::endpoint> peers,
              entry_metrics& metrics, entry_log& log, receiver receive);

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
    receiver receive_;
    transport::subscription watch_;
};

} // namespace boragestand::entry
