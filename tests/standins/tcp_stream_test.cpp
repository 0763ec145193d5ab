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

// A network between two streams that loses, duplicates and reorders segments,
// run on simulated time.
class lossy_network
{
public:
    explicit lossy_network(std::uint64_t seed) : random_(seed) {}

    void carry(std::vector<tcp_segment> segments, tcp_stream& receiver)
    {
        for (tcp_segment& segment : segments)
        {
            const std::uint64_t fate = random_.below(100);
            const int copies = fate < 15 ? 0 : fate < 25 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
            {
                const duration delay(1000 + random_.below(4000));
                flying_.emplace(now_ + delay, std::pair(&receiver, segment));
            }
        }
    }

    // Goes on to the next arrival or timeout; false when nothing is left.
    bool advance(tcp_stream& left, tcp_stream& right)
    {
        std::optional<time_point> next = left.deadline();
        const auto consider = [&](std::optional<time_point> time)
        {
            next = !next || (time && *time < *next) ? time : next;
        };
        consider(right.deadline());
        if (!flying_.empty())
        {
            consider(flying_.begin()->first);
        }
        if (!next)
        {
            return false;
        }
        now_ = std::max(now_, *next);
        while (!flying_.empty() && flying_.begin()->first <= now_)
        {
            const auto arrival = flying_.extract(flying_.begin());
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
    std::multimap<time_point, std::pair<tcp_stream*, tcp_segment>> flying_;
};

} // namespace

// Guards against doubles that lose, repeat or reorder bytes themselves, which
// would be counted as broken flows of the system.
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
        tcp_stream host = tcp_stream::accept(syn, 7, network.now(), {});
        const std::string question =
            to_line(request{seed, "s", 1, 2, false, 0});
        const std::string answer = body_part(seed, 0, 100000);
        caller.send(question, network.now());
        std::string asked;
        std::string answered;
        do
        {
            network.carry(caller.take_output(), host);
            network.carry(host.take_output(), caller);
            asked += host.take_received();
            answered += caller.take_received();
            if (asked == question)
            {
                host.send(answer, network.now());
                asked += '.';
            }
            if (answered.size() == answer.size())
            {
                caller.close(network.now());
            }
            if (host.is_closed_by_peer())
            {
                host.close(network.now());
            }
        } while (network.advance(caller, host));
        EXPECT_TRUE(answered == answer) << seed;
        EXPECT_EQ(asked, question + '.') << seed;
        EXPECT_TRUE(caller.is_done() && host.is_done()) << seed;
    }
}

// Guards against a refusal, a reset and silence that are counted as the same.
TEST(tcp_stream, tells_refusal_reset_and_silence_apart)
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

// Guards against fields that get lost between the doubles.
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
