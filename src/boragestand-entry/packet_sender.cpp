#include "packet_sender.hpp"

namespace boragestand::entry
{

packet_sender::packet_sender(transport::udp_socket& socket)
    : socket_(socket), headers_(transport::datagram_batch_size)
{
    datagrams_.reserve(transport::datagram_batch_size);
}

void packet_sender::queue(const transport::endpoint& destination,
                          const protocol::geneve_header& header,
                          std::span<const std::byte> inner)
{
    if (datagrams_.size() == transport::datagram_batch_size)
    {
        flush();
    }
    const auto head =
        protocol::encode_geneve(header, headers_[datagrams_.size()]);
    datagrams_.push_back({destination, head, inner});
}

void packet_sender::flush()
{
    if (datagrams_.empty())
    {
        return;
    }
    socket_.send(datagrams_);
    datagrams_.clear();
}

} // namespace boragestand::entry
