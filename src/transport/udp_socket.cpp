#include "transport/udp_socket.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace boragestand::transport
{

namespace
{

// Buffers a burst of about 1,000 datagrams while the loop does other work. The
// kernel caps it at net.core.rmem_max.
constexpr int receive_buffer_bytes = 2 * 1024 * 1024;

endpoint bound_endpoint(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return from_sockaddr(address);
}

iovec to_iovec(std::span<const std::byte> bytes)
{
    return {const_cast<std::byte*>(bytes.data()), bytes.size()};
}

} // namespace

struct udp_socket::implementation
{
    unique_fd fd;
    endpoint local;
    udp_counters counters;
    std::array<std::array<std::byte, max_datagram_size>, datagram_batch_size>
        buffers;
    std::array<sockaddr_in, datagram_batch_size> sources;
    std::array<iovec, datagram_batch_size> receive_parts;
    std::array<mmsghdr, datagram_batch_size> receive_headers;
    std::array<incoming_datagram, datagram_batch_size> received;
    std::array<sockaddr_in, datagram_batch_size> destinations;
    std::array<std::array<iovec, 2>, datagram_batch_size> send_parts;
    std::array<mmsghdr, datagram_batch_size> send_headers;

    void prepare_receive()
    {
        for (std::size_t i = 0; i < datagram_batch_size; ++i)
        {
            receive_parts[i] = {buffers[i].data(), buffers[i].size()};
            msghdr& header = receive_headers[i].msg_hdr;
            header = {};
            header.msg_name = &sources[i];
            header.msg_namelen = sizeof sources[i];
            header.msg_iov = &receive_parts[i];
            header.msg_iovlen = 1;
        }
    }

    void prepare_send(std::span<const outgoing_datagram> batch)
    {
        for (std::size_t i = 0; i < batch.size(); ++i)
        {
            destinations[i] = to_sockaddr(batch[i].destination);
            send_parts[i] = {to_iovec(batch[i].head), to_iovec(batch[i].body)};
            msghdr& header = send_headers[i].msg_hdr;
            header = {};
            header.msg_name = &destinations[i];
            header.msg_namelen = sizeof destinations[i];
            header.msg_iov = send_parts[i].data();
            header.msg_iovlen = send_parts[i].size();
        }
    }

    void send_batch(std::span<const outgoing_datagram> batch)
    {
        prepare_send(batch);
        std::size_t done = 0;
        while (done < batch.size())
        {
            const int count = ::sendmmsg(
                fd.value(), &send_headers[done],
                static_cast<unsigned>(batch.size() - done), MSG_DONTWAIT);
            if (count > 0)
            {
                counters.sent += static_cast<std::uint64_t>(count);
                done += static_cast<std::size_t>(count);
                continue;
            }
            if (errno == EINTR)
            {
                continue;
            }
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS)
            {
                counters.send_failures += batch.size() - done;
                return;
            }
            // The error applies to the first datagram only, for example if
            // there is no route to its destination.
            ++counters.send_failures;
            ++done;
        }
    }
};

udp_socket::udp_socket(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

udp_socket::~udp_socket() = default;
udp_socket::udp_socket(udp_socket&&) noexcept = default;
udp_socket& udp_socket::operator=(udp_socket&&) noexcept = default;

result<udp_socket> udp_socket::bind(const endpoint& local)
{
    auto state = std::make_unique<implementation>();
    state->fd = unique_fd(
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in address = to_sockaddr(local);
    if (!state->fd ||
        ::bind(state->fd.value(), reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0)
    {
        return failure(error_kind::unavailable,
                       "UDP endpoint " + to_string(local) +
                           " cannot be bound: " + std::strerror(errno));
    }
    ::setsockopt(state->fd.value(), SOL_SOCKET, SO_RCVBUF,
                 &receive_buffer_bytes, sizeof receive_buffer_bytes);
    state->local = bound_endpoint(state->fd.value());
    return udp_socket(std::move(state));
}

int udp_socket::fd() const
{
    return implementation_->fd.value();
}

endpoint udp_socket::local_endpoint() const
{
    return implementation_->local;
}

std::span<const incoming_datagram> udp_socket::receive()
{
    implementation& state = *implementation_;
    state.prepare_receive();
    const int count = ::recvmmsg(state.fd.value(), state.receive_headers.data(),
                                 datagram_batch_size, MSG_DONTWAIT, nullptr);
    std::size_t complete = 0;
    for (int i = 0; i < count; ++i)
    {
        const mmsghdr& header = state.receive_headers[i];
        if (header.msg_hdr.msg_flags & MSG_TRUNC)
        {
            ++state.counters.truncated;
            continue;
        }
        ++state.counters.received;
        state.received[complete++] = {
            from_sockaddr(state.sources[i]),
            std::span(state.buffers[i]).first(header.msg_len)};
    }
    return {state.received.data(), complete};
}

void udp_socket::send(std::span<const outgoing_datagram> datagrams)
{
    while (!datagrams.empty())
    {
        const auto batch =
            datagrams.first(std::min(datagrams.size(), datagram_batch_size));
        implementation_->send_batch(batch);
        datagrams = datagrams.subspan(batch.size());
    }
}

void udp_socket::send_to(const endpoint& destination,
                         std::span<const std::byte> bytes)
{
    const outgoing_datagram datagram{destination, bytes, {}};
    send({&datagram, 1});
}

const udp_counters& udp_socket::counters() const
{
    return implementation_->counters;
}

} // namespace boragestand::transport
