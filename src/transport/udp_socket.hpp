#pragma once

#include "base/base.hpp"
#include "transport/endpoint.hpp"
#include "transport/unique_fd.hpp"

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace boragestand::transport
{

/// Largest datagram in bytes that can be received; longer ones are dropped and
/// counted as truncated.
constexpr std::size_t max_datagram_size = 2048;

/// Maximum number of datagrams per system call.
constexpr std::size_t datagram_batch_size = 64;

/// A datagram to send, in two parts that the kernel concatenates, so that a
/// header can be prepended without copying the payload. The spans must remain
/// valid until send() returns.
struct outgoing_datagram
{
    endpoint destination;
    std::span<const std::byte> head;
    std::span<const std::byte> body;
};

/// A received datagram; the bytes are valid until the next receive call.
struct incoming_datagram
{
    endpoint source;
    std::span<std::byte> bytes;
};

/// Counters of one socket since it was opened.
struct udp_counters
{
    std::uint64_t received{0};
    std::uint64_t sent{0};
    std::uint64_t truncated{0};
    std::uint64_t send_failures{0};
};

/// A non-blocking IPv4 UDP socket that receives and sends datagrams in batches
/// with recvmmsg and sendmmsg.
class udp_socket
{
public:
    /// Binds to a local endpoint; error_kind::unavailable if that fails.
    static result<udp_socket> bind(const endpoint& local);

    ~udp_socket();
    udp_socket(udp_socket&&) noexcept;
    udp_socket& operator=(udp_socket&&) noexcept;

    /// Descriptor for main_loop::watch.
    int fd() const;

    /// The bound endpoint, with the port that the kernel chose if 0 was
    /// requested.
    endpoint local_endpoint() const;

    /// Receives up to datagram_batch_size datagrams without blocking. Empty if
    /// none is available.
    std::span<const incoming_datagram> receive();

    /// Sends datagrams without blocking; those that the kernel does not accept
    /// are dropped and counted as send failures.
    void send(std::span<const outgoing_datagram> datagrams);

    /// Sends one datagram.
    void send_to(const endpoint& destination, std::span<const std::byte> bytes);

    /// Counters since the socket was opened.
    const udp_counters& counters() const;

private:
    struct implementation;
    explicit udp_socket(std::unique_ptr<implementation> implementation);
    std::unique_ptr<implementation> implementation_;
};

} // namespace boragestand::transport
