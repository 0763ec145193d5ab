#include "request.hpp"
#include "tcp_stream.hpp"
#include "wire.hpp"

#include <gtest/gtest.h>

#include <map>

namespace boragestand::standins
{

namespace
{

using namespace std::chrono_literals;

// Simulated network between two streams that loses, duplicates and reorders
// segments. It runs on simulated time.
class lossy_network
{
public:
    explicit lossy_network(std::uint64_t seed) : random_(seed) {}

    void transmit(std::vector<tcp_segment> segments, tcp_stream& receiver)
    {
        for (tcp_segment& segment : segments)
        {
            const std::uint64_t roll = random_.below(100);
            const int copies = roll < 15 ? 0 : roll < 25 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
            {
                const duration delay(1000 + random_.below(4000));
                in_flight_.emplace(now_ + delay, std::pair(&receiver, segment));
            }
        }
    }

    // Advances time to the next arrival or timeout; false if there is none.
    bool advance(tcp_stream& left, tcp_stream& right)
    {
        std::optional<time_point> next = left.deadline();
        const auto consider = [&](std::optional<time_point> time)
        {
            next = !next || (time && *time < *next) ? time : next;
        };
        consider(right.deadline());
        if (!in_flight_.empty())
        {
            consider(in_flight_.begin()->first);
        }
        if (!next)
        {
            return false;
        }
        now_ = std::max(now_, *next);
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_)
        {
            const auto arrival = in_flight_.extract(in_flight_.begin());
            arrival.mapped().first->receive(arrival.mapped().second, now_);
        }
        left.check_timeout(now_);
        right.check_timeout(now_);
        return true;
    }

    time_point now() const { return now_; }

private:
    random_generator random_;
    time_point now_{1s};
    std::multimap<time_point, std::pair<tcp_stream*, tcp_segment>> in_flight_;
};

} // namespace

// Guards against a stand-in stream that itself loses, repeats or reorders
// bytes, which would be counted as broken flows of the system.
TEST(tcp_stream, delivers_every_byte_over_a_lossy_network)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        lossy_network network(seed);
        const auto first_sequence =
            static_cast<std::uint32_t>(0xfffffff0 + seed);
        tcp_stream caller =
            tcp_stream::connect(first_sequence, network.now(), {});
        const auto syn = caller.take_output().front();
        tcp_stream upstream = tcp_stream::accept(syn, 7, network.now(), {});
        const std::string request_line =
            to_line(request{seed, "s", 1, 2, false, 0});
        const std::string body = body_part(seed, 0, 100000);
        caller.send(request_line, network.now());
        std::string received_request;
        std::string received_body;
        do
        {
            network.transmit(caller.take_output(), upstream);
            network.transmit(upstream.take_output(), caller);
            received_request += upstream.take_received();
            received_body += caller.take_received();
            if (received_request == request_line)
            {
                upstream.send(body, network.now());
                received_request += '.';
            }
            if (received_body.size() == body.size())
            {
                caller.close(network.now());
            }
            if (upstream.is_closed_by_peer())
            {
                upstream.close(network.now());
            }
        } while (network.advance(caller, upstream));
        EXPECT_TRUE(received_body == body) << seed;
        EXPECT_EQ(received_request, request_line + '.') << seed;
        EXPECT_TRUE(caller.is_closed() && upstream.is_closed()) << seed;
    }
}

// Guards against one end state for a refused connection, a reset connection and
// one without answers, which callers count separately.
TEST(tcp_stream, distinguishes_refusal_reset_and_timeout)
{
    const time_point start{1s};
    const auto answer_with = [](bool syn, bool rst, std::uint32_t sequence)
    {
        tcp_segment segment;
        segment.syn = syn;
        segment.rst = rst;
        segment.ack = true;
        segment.sequence = sequence;
        segment.acknowledgement = 101;
        return segment;
    };
    tcp_stream refused = tcp_stream::connect(100, start, {});
    refused.receive(answer_with(false, true, 0), start);
    EXPECT_EQ(refused.current_state(), tcp_stream::state::refused);

    tcp_stream reset = tcp_stream::connect(100, start, {});
    reset.receive(answer_with(true, false, 5), start);
    reset.receive(answer_with(false, true, 6 + 1000000), start);
    EXPECT_EQ(reset.current_state(), tcp_stream::state::established);
    reset.receive(answer_with(false, true, 6), start);
    EXPECT_EQ(reset.current_state(), tcp_stream::state::reset);

    tcp_stream silent = tcp_stream::connect(100, start, {});
    for (int i = 0; i < 100 && silent.deadline(); ++i)
    {
        silent.check_timeout(*silent.deadline());
    }
    EXPECT_EQ(silent.current_state(), tcp_stream::state::lost);
}

// Guards against fields that encode_datagram() or decode_datagram() drops.
TEST(wire, carries_segments_and_datagrams)
{
    const transport::endpoint caller{0x0a090001, 4000};
    const transport::endpoint service{0x0a000001, 443};
    const tcp_segment segment{false, true, true, false, 5, 6, "hello"};
    const auto tcp =
        decode_datagram(encode_datagram({}, {caller, service, segment}));
    ASSERT_TRUE(tcp);
    EXPECT_EQ(tcp->source, caller);
    EXPECT_EQ(tcp->destination, service);
    const auto& received = std::get<tcp_segment>(tcp->content);
    EXPECT_TRUE(received.ack && received.fin && !received.syn && !received.rst);
    EXPECT_EQ(received.sequence, 5u);
    EXPECT_EQ(received.acknowledgement, 6u);
    EXPECT_EQ(received.payload, "hello");
    const auto udp = decode_datagram(
        encode_datagram({}, {caller, service, udp_payload{"question"}}));
    ASSERT_TRUE(udp);
    EXPECT_EQ(std::get<udp_payload>(udp->content).bytes, "question");
}

} // namespace boragestand::standins
