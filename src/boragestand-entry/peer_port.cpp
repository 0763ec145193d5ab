#include "peer_port.hpp"

namespace boragestand::entry
{

namespace
{

/// Largest number of batches read per loop iteration.
constexpr int batches_per_turn = 4;

} // namespace

peer_port::peer_port(transport::main_loop& loop,
                     transport::timer_service& timers,
                     transport::udp_socket socket,
                     std::unordered_map<instance_id, transport::endpoint> peers,
                     entry_metrics& metrics, entry_log& log,
                     message_callback on_message)
    : timers_(timers)
    , socket_(std::move(socket))
    , peers_(std::move(peers))
    , metrics_(metrics)
    , log_(log)
    , on_message_(std::move(on_message))
    , watch_(loop.watch(socket_.fd(), transport::readiness::readable,
                        [this](transport::readiness) { receive_all(); }))
{
}

void peer_port::send(const coordination::send_to_instance& message)
{
    const auto peer = peers_.find(message.instance);
    if (peer == peers_.end())
    {
        return;
    }
    const auto bytes = protocol::encode_entry_message(message.envelope);
    if (!bytes)
    {
        log_.log_bad_input("peer_message_out", bytes.error(), peer->second,
                           timers_.now());
        return;
    }
    socket_.send_to(peer->second, *bytes);
}

void peer_port::receive_all()
{
    for (int batch_number = 0; batch_number < batches_per_turn; ++batch_number)
    {
        const auto batch = socket_.receive();
        if (batch.empty())
        {
            return;
        }
        const time_point now = timers_.now();
        for (const auto& datagram : batch)
        {
            handle(datagram, now);
        }
    }
}

void peer_port::handle(const transport::incoming_datagram& datagram,
                       time_point now)
{
    auto envelope = protocol::decode_entry_message(datagram.bytes);
    if (!envelope)
    {
        metrics_.count_bad_message();
        log_.log_bad_input("peer_message", envelope.error(), datagram.source,
                           now);
        return;
    }
    if (!is_from(datagram.source, envelope->from))
    {
        metrics_.count_bad_message();
        log_.log_bad_input(
            "peer_sender",
            {error_kind::malformed_message,
             "the source address does not belong to the sending instance"},
            datagram.source, now);
        return;
    }
    on_message_(std::move(*envelope), now);
}

bool peer_port::is_from(const transport::endpoint& source,
                        instance_id sender) const
{
    const auto peer = peers_.find(sender);
    return peer != peers_.end() && peer->second == source;
}

} // namespace boragestand::entry
