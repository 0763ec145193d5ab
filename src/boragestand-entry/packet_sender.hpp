#pragma once

#include "coordination/coordination.hpp"
#include "transport/transport.hpp"

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace boragestand::entry
{

/// Collects Geneve datagrams and sends them in one batch. Inner packets that
/// are queued by reference must stay valid until flush().
class packet_sender
{
public:
    explicit packet_sender(transport::udp_socket& socket);

    /// Queues an inner packet with a new Geneve header.
    void queue(const transport::endpoint& destination,
               const protocol::geneve_header& header,
               std::span<const std::byte> inner);

    /// Sends the queued datagrams.
    void flush();

private:
    using header_buffer =
        std::array<std::byte, protocol::max_geneve_header_size>;

    transport::udp_socket& socket_;
    std::vector<header_buffer> headers_;
    std::vector<transport::outgoing_datagram> datagrams_;
};

} // namespace boragestand::entry
