#include "loop_fixture.hpp"

#include <algorithm>
#include <numeric>

namespace boragestand::transport
{

namespace
{

std::vector<std::byte> filled_bytes(std::size_t size, std::size_t number)
{
    std::vector<std::byte> bytes(size, static_cast<std::byte>(number));
    return bytes;
}

udp_socket open_socket()
{
    auto socket = udp_socket::bind(any_local_port);
    EXPECT_TRUE(socket) << socket.error().message;
    return std::move(*socket);
}

} // namespace

using udp = loop_fixture;

// Guards against datagrams that are lost, reordered or truncated if a send or a
// receive spans several batches.
TEST_F(udp, moves_more_datagrams_than_one_batch_in_order)
{
    udp_socket sender = open_socket();
    udp_socket receiver = open_socket();
    constexpr std::size_t count = 2 * datagram_batch_size + 5;
    std::vector<std::vector<std::byte>> heads;
    std::vector<outgoing_datagram> datagrams;
    const auto body = filled_bytes(7, 0xee);
    for (std::size_t i = 0; i < count; ++i)
    {
        heads.push_back(filled_bytes(i % 40, i));
    }
    for (const auto& head : heads)
    {
        datagrams.push_back({receiver.local_endpoint(), head, body});
    }
    sender.send(datagrams);
    std::vector<std::vector<std::byte>> received;
    const auto watch =
        loop_.watch(receiver.fd(), readiness::readable,
                    [&](readiness)
                    {
                        for (const auto& datagram : receiver.receive())
                        {
                            EXPECT_EQ(datagram.source, sender.local_endpoint());
                            received.emplace_back(datagram.bytes.begin(),
                                                  datagram.bytes.end());
                        }
                    });
    run_until([&] { return received.size() == count; });
    for (std::size_t i = 0; i < count; ++i)
    {
        auto expected = heads[i];
        expected.insert(expected.end(), body.begin(), body.end());
        EXPECT_EQ(received[i], expected);
    }
    EXPECT_EQ(sender.counters().sent, count);
    EXPECT_EQ(receiver.counters().received, count);
    EXPECT_TRUE(receiver.receive().empty());
}

// Guards against a truncated datagram that is accepted as complete.
TEST_F(udp, drops_and_counts_datagrams_that_are_too_long)
{
    udp_socket sender = open_socket();
    udp_socket receiver = open_socket();
    for (const std::size_t size :
         {max_datagram_size, max_datagram_size + 1, std::size_t{3}})
    {
        sender.send_to(receiver.local_endpoint(), filled_bytes(size, size));
    }
    std::vector<std::size_t> sizes;
    const auto watch =
        loop_.watch(receiver.fd(), readiness::readable,
                    [&](readiness)
                    {
                        for (const auto& datagram : receiver.receive())
                        {
                            sizes.push_back(datagram.bytes.size());
                        }
                    });
    run_until([&] { return sizes.size() == 2; });
    EXPECT_EQ(sizes, (std::vector<std::size_t>{max_datagram_size, 3}));
    EXPECT_EQ(receiver.counters().truncated, 1u);
}

// Guards against one failed send that drops the rest of its batch.
TEST_F(udp, sends_the_rest_after_a_failure)
{
    udp_socket sender = open_socket();
    udp_socket receiver = open_socket();
    const auto good = filled_bytes(5, 1);
    const std::vector<std::byte> oversized(70000);
    const std::vector<outgoing_datagram> datagrams{
        {receiver.local_endpoint(), good, {}},
        {receiver.local_endpoint(), oversized, {}},
        {receiver.local_endpoint(), good, {}}};
    sender.send(datagrams);
    std::size_t received = 0;
    run_until(
        [&]
        {
            received += receiver.receive().size();
            return received == 2;
        });
    EXPECT_EQ(sender.counters().send_failures, 1u);
    const auto taken = udp_socket::bind(receiver.local_endpoint());
    ASSERT_FALSE(taken);
    EXPECT_EQ(taken.error().kind, error_kind::unavailable);
}

} // namespace boragestand::transport
